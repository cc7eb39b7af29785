#include "rudderloom/endpoint_limits/endpoint_pauses.hpp"

#include <algorithm>  // for max

namespace rudderloom {

void EndpointPauses::Pause(EndpointKey endpoint, TimePoint until) {
  TimePoint& paused_until = paused_until_[endpoint];
  paused_until = std::max(paused_until, until);
}

Duration EndpointPauses::Remaining(EndpointKey endpoint, TimePoint now) const {
  const auto paused = paused_until_.find(endpoint);
  return paused == paused_until_.end() ? Duration(0)
                                       : std::max(Duration(0), Between(now, paused->second));
}

void EndpointPauses::Trim(TimePoint now) {
  std::erase_if(paused_until_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace rudderloom
