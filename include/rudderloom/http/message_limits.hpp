/// @file
/// Limits on HTTP messages of any peer.
#ifndef RUDDERLOOM_HTTP_MESSAGE_LIMITS_HPP
#define RUDDERLOOM_HTTP_MESSAGE_LIMITS_HPP

#include <cstddef>  // for size_t

namespace rudderloom {

/// @brief Bytes of a message that a connection holds until they can be parsed: a header, the
/// extension of a chunk, or trailers. Beast throws from within a read at a field of 64 KB.
/// @ingroup http
inline constexpr std::size_t kMaxUnparsedBytes = std::size_t{60} * 1024;

}  // namespace rudderloom

#endif
