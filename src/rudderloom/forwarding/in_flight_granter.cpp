#include "rudderloom/forwarding/in_flight_granter.hpp"

#include <vector>  // for vector

namespace rudderloom {

std::string InFlightGranter(const FleetView& view,
                            EndpointKey endpoint,
                            const SilentGranters& silent,
                            TimePoint now) {
  std::vector<std::string> addresses = view.standbys;
  addresses.push_back(view.quota_holder);
  std::erase_if(addresses,
                [&](const std::string& address) { return silent.PassedOver(address, now); });
  return ChooseGranter(addresses, endpoint);
}

}  // namespace rudderloom
