/// @file
/// Tells whether the peer of a connection takes what is written to it.
#ifndef RUDDERLOOM_HTTP_WRITE_PROGRESS_HPP
#define RUDDERLOOM_HTTP_WRITE_PROGRESS_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for int64_t

#include "rudderloom/http/asio.hpp"  // for tcp

namespace rudderloom {

/// @brief Follows how much of the written data the peer has acknowledged.
///
/// A socket with a large send buffer accepts nothing for a long time while a slow peer empties the
/// buffer, so the bytes that the socket has accepted don't show whether the peer still reads.
/// @ingroup http
class WriteProgress {
 public:
  /// @param socket Must outlive this object.
  explicit WriteProgress(tcp::socket& socket) : socket_(socket) {}

  /// @brief Counts bytes that the socket has accepted.
  void Accepted(std::size_t bytes) { accepted_ += static_cast<std::int64_t>(bytes); }

  /// @brief True if the peer has acknowledged more than at the last call.
  bool HasGrown();

 private:
  tcp::socket& socket_;
  std::int64_t accepted_ = 0;
  std::int64_t acknowledged_ = 0;
};

}  // namespace rudderloom

#endif
