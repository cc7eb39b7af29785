/// @file
/// Software versions at which streams began.
#ifndef RUDDERLOOM_STREAM_VERSIONS_VERSION_BOOK_HPP
#define RUDDERLOOM_STREAM_VERSIONS_VERSION_BOOK_HPP

#include <cstddef>        // for size_t
#include <cstdint>        // for uint32_t
#include <deque>          // for deque
#include <string>         // for string
#include <unordered_map>  // for unordered_map
#include <vector>         // for vector

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief A stream and the software version of the endpoint that began it.
/// @ingroup stream_versions
struct StreamStart {
  std::string began_as;  ///< Id of the client's attempt.
  std::string software_version;
  std::uint32_t attempt = 0;  ///< Of the node, before the first event. A later one is right.

  bool operator==(const StreamStart&) const = default;
};

/// @brief Several starts, in the order in which they were recorded.
/// @ingroup stream_versions
using StreamStarts = std::vector<StreamStart>;

/// @brief Remembers at which version streams began, longer than streams take. Does no I/O; time is
/// passed in. Clients choose the ids, so those that are empty, very long or not printable are not
/// recorded.
/// @ingroup stream_versions
class VersionBook {
 public:
  /// @brief Records a start, unless a later attempt of the node is known to have begun the stream.
  void Record(const StreamStart& start, TimePoint now);

  /// @brief Records a start that an earlier process saved, unless one is known already or the book
  /// is full.
  void RecordSaved(const StreamStart& start, TimePoint now);

  /// @brief Returns the next starts, at most `count`, that are neither saved nor returned before.
  StreamStarts TakeUnsaved(std::size_t count);

  /// @brief Returns the version at which a stream began; empty if it is not known.
  std::string Find(const std::string& began_as) const;

  /// @brief Returns everything that is still remembered.
  StreamStarts All() const;

  /// @brief Returns true if a start of this attempt would be known: its id is recordable, and no
  /// start was dropped before its time for want of room.
  bool WouldKnow(const std::string& began_as, TimePoint now) const;

  /// @brief Drops expired entries.
  void Trim(TimePoint now);

 private:
  struct Entry {
    std::string software_version;
    TimePoint recorded_at;
    std::uint32_t attempt = 0;
  };
  struct Recorded {
    std::string began_as;
    TimePoint at;
    bool saved = false;
  };

  std::unordered_map<std::string, Entry> entries_;  // by the id of the client's attempt
  std::deque<Recorded> order_;                      // a replaced entry stands in it twice
  std::size_t next_unsaved_ = 0;                    // index in `order_`
  TimePoint dropped_at_;  // when a start was last dropped for want of room
};

}  // namespace rudderloom

#endif
