/// @file
/// Services to which a new configuration moves the streams of others.
#ifndef RUDDERLOOM_STREAM_VERSIONS_MOVED_STREAMS_HPP
#define RUDDERLOOM_STREAM_VERSIONS_MOVED_STREAMS_HPP

#include <set>     // for set
#include <string>  // for string
#include <tuple>   // for tie

#include "rudderloom/routes/route_table.hpp"  // for RouteTable

namespace rudderloom {

/// @brief Streams that began at one service and may be taken up at another one.
/// @ingroup stream_versions
struct MovedStreams {
  std::string from;
  std::string to;

  bool operator==(const MovedStreams&) const = default;
  bool operator<(const MovedStreams& other) const {
    return std::tie(from, to) < std::tie(other.from, other.to);
  }
};

/// @brief Returns the pairs of services between which streams move when `current` replaces
/// `former`: by a route's other services or weights, or by a route that is added or removed.
/// @ingroup stream_versions
std::set<MovedStreams> FindMovedStreams(const RouteTable& former, const RouteTable& current);

}  // namespace rudderloom

#endif
