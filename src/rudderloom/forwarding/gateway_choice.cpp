#include "rudderloom/forwarding/gateway_choice.hpp"

#include <vector>  // for vector

namespace rudderloom {

namespace {

constexpr Duration kAvoidTime{1'000};

}  // namespace

std::optional<Gateway> GatewayChoice::Choose(const GatewayList& gateways,
                                             const std::set<std::string>& excluded,
                                             std::mt19937_64& random,
                                             TimePoint now) const {
  std::vector<const Gateway*> usable;
  std::vector<const Gateway*> avoided;
  for (const Gateway& gateway : gateways) {
    if (excluded.contains(gateway.address)) {
      continue;
    }
    const auto found = avoided_until_.find(gateway.address);
    const bool avoid = found != avoided_until_.end() && now < found->second;
    (avoid ? avoided : usable).push_back(&gateway);
  }
  const std::vector<const Gateway*>& candidates = usable.empty() ? avoided : usable;
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto load = [&](const Gateway* gateway) {
    const auto found = in_flight_.find(gateway->address);
    return found == in_flight_.end() ? 0U : found->second;
  };
  const Gateway* first = candidates[random() % candidates.size()];
  const Gateway* second = candidates[random() % candidates.size()];
  return load(second) < load(first) ? *second : *first;
}

void GatewayChoice::Ended(const std::string& address) {
  const auto found = in_flight_.find(address);
  if (found != in_flight_.end() && --found->second == 0) {
    in_flight_.erase(found);
  }
}

void GatewayChoice::Failed(const std::string& address, TimePoint now) {
  avoided_until_[address] = now + kAvoidTime;
}

void GatewayChoice::Trim(TimePoint now) {
  std::erase_if(avoided_until_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace rudderloom
