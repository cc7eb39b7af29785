/// @file
/// Starts of streams as they are saved in the platform's store.
#ifndef RUDDERLOOM_STREAM_VERSIONS_START_BATCH_HPP
#define RUDDERLOOM_STREAM_VERSIONS_START_BATCH_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t

#include "rudderloom/stream_versions/version_book.hpp"  // for StreamStarts

namespace rudderloom {

/// @brief Starts that were saved with one write.
/// @ingroup stream_versions
struct StartBatch {
  std::uint64_t number = 0;  ///< Rises with each write. A later batch is right about a start.
  StreamStarts starts;

  bool operator==(const StartBatch&) const = default;
};

boost::json::object ToJson(const StartBatch& batch);

/// @brief Skips what can't be read: the streams are refused then.
StartBatch StartBatchFromJson(const boost::json::object& object);

}  // namespace rudderloom

#endif
