/// @file
/// Endpoints to which this node sends nothing for a while.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_ENDPOINT_PAUSES_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_ENDPOINT_PAUSES_HPP

#include <map>  // for map

#include "rudderloom/base/clock.hpp"          // for TimePoint
#include "rudderloom/fleet/endpoint_key.hpp"  // for EndpointKey

namespace rudderloom {

/// @brief Pauses of single endpoints. Owned by the traffic thread; time is passed in.
/// @ingroup endpoint_limits
class EndpointPauses {
 public:
  /// @brief Pauses the endpoint until `until`, unless a longer pause is in effect.
  void Pause(EndpointKey endpoint, TimePoint until);

  /// @brief Returns true while the endpoint must get no requests of this node.
  bool Paused(EndpointKey endpoint, TimePoint now) const {
    return Remaining(endpoint, now) > Duration(0);
  }

  /// @brief Returns the time until the endpoint may be used; zero if it may be used now.
  Duration Remaining(EndpointKey endpoint, TimePoint now) const;

  /// @brief Drops expired entries.
  void Trim(TimePoint now);

 private:
  std::map<EndpointKey, TimePoint> paused_until_;
};

}  // namespace rudderloom

#endif
