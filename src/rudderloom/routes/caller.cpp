#include "rudderloom/routes/caller.hpp"

namespace rudderloom {

Caller IdentifyCaller(const RouteTable& table,
                      const Route& route,
                      const std::optional<KeyDigest>& key) {
  if (!table.NeedsKeys() || route.is_public) {
    return {};
  }
  const Customer* customer = key ? table.Customers().Find(*key) : nullptr;
  if (customer == nullptr) {
    return {CallerStatus::kUnknown, nullptr};
  }
  return {CallerStatus::kCustomer, customer};
}

std::uint32_t PriorityOf(const Caller& caller, const Route& route) {
  if (caller.customer != nullptr && caller.customer->priority) {
    return *caller.customer->priority;
  }
  return route.priority;
}

}  // namespace rudderloom
