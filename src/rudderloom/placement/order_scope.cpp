#include "rudderloom/placement/order_scope.hpp"

#include <algorithm>  // for all_of, count_if, max, min

namespace rudderloom {

namespace {

constexpr const char* kLocalName = "local";
constexpr const char* kWeightStoreName = "weight_store";

}  // namespace

bool Covers(const OrderScopes& scopes, const std::string& instance, OrderScope scope) {
  const auto found = scopes.find(instance);
  return found != scopes.end() && found->second >= scope;
}

bool CoversAll(const OrderScopes& scopes, const OrderScopes& part) {
  return std::all_of(part.begin(), part.end(),
                     [&](const auto& entry) { return Covers(scopes, entry.first, entry.second); });
}

OrderScopes Common(const OrderScopes& left, const OrderScopes& right) {
  OrderScopes common;
  for (const auto& [instance, scope] : left) {
    if (const auto found = right.find(instance); found != right.end()) {
      common[instance] = std::min(scope, found->second);
    }
  }
  return common;
}

OrderScopes Union(OrderScopes left, const OrderScopes& right) {
  for (const auto& [instance, scope] : right) {
    OrderScope& joined = left.try_emplace(instance, scope).first->second;
    joined = std::max(joined, scope);
  }
  return left;
}

std::size_t CountWeightStore(const OrderScopes& scopes) {
  return static_cast<std::size_t>(
      std::count_if(scopes.begin(), scopes.end(),
                    [](const auto& entry) { return entry.second == OrderScope::kWeightStore; }));
}

boost::json::object ToJson(const OrderScopes& scopes) {
  boost::json::object object;
  for (const auto& [instance, scope] : scopes) {
    object[instance] = scope == OrderScope::kWeightStore ? kWeightStoreName : kLocalName;
  }
  return object;
}

// An unreadable value is treated as the wider scope, so that the reader avoids the endpoint for
// longer.
OrderScopes OrderScopesFromJson(const boost::json::object& object) {
  OrderScopes scopes;
  for (const auto& [instance, value] : object) {
    const bool local = value.is_string() && value.as_string() == kLocalName;
    scopes[std::string(instance)] = local ? OrderScope::kLocal : OrderScope::kWeightStore;
  }
  return scopes;
}

}  // namespace rudderloom
