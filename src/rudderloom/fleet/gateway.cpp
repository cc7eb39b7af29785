#include "rudderloom/fleet/gateway.hpp"

#include <algorithm>   // for partial_sort
#include <functional>  // for hash

namespace rudderloom {

GatewayList SelectGateways(const GatewayList& all, const std::string& node, std::size_t count) {
  GatewayList selected = all;
  if (selected.size() <= count) {
    return selected;
  }
  // Rendezvous hash of node and gateway: spreads the nodes evenly, and keeps their connections
  // while the list changes.
  const auto rank = [&](const Gateway& gateway) {
    return std::hash<std::string>{}(node + " " + gateway.address);
  };
  const auto end = selected.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
      selected.begin(), end, selected.end(),
      [&](const Gateway& left, const Gateway& right) { return rank(left) > rank(right); });
  selected.erase(end, selected.end());
  return selected;
}

}  // namespace rudderloom
