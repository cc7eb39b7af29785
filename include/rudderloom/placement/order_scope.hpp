/// @file
/// The endpoints that a holder of the placement lease may send orders to, as listed in the lease
/// record. See docs/design/placement.md.
#ifndef RUDDERLOOM_PLACEMENT_ORDER_SCOPE_HPP
#define RUDDERLOOM_PLACEMENT_ORDER_SCOPE_HPP

#include <boost/json.hpp>  // for object
#include <cstddef>         // for size_t
#include <map>             // for map
#include <string>          // for string

namespace rudderloom {

/// @brief The kinds of orders permitted; each value includes the previous ones.
/// @ingroup placement
enum class OrderScope {
  kLocal,        ///< Orders that start no load from the weight store.
  kWeightStore,  ///< Includes loads from the weight store.
};

/// @brief Order scopes by endpoint instance.
/// @ingroup placement
using OrderScopes = std::map<std::string, OrderScope>;

/// @brief Returns true if `scopes` allow orders of `scope` to the endpoint.
/// @ingroup placement
bool Covers(const OrderScopes& scopes, const std::string& instance, OrderScope scope);

/// @brief Returns true if `scopes` cover every entry of `part`.
/// @ingroup placement
bool CoversAll(const OrderScopes& scopes, const OrderScopes& part);

/// @brief Returns the scopes that both arguments allow.
/// @ingroup placement
OrderScopes Common(const OrderScopes& left, const OrderScopes& right);

/// @brief Returns the scopes that either argument allows.
/// @ingroup placement
OrderScopes Union(OrderScopes left, const OrderScopes& right);

/// @brief Returns the number of endpoints on which loads from the weight store may start.
/// @ingroup placement
std::size_t CountWeightStore(const OrderScopes& scopes);

boost::json::object ToJson(const OrderScopes& scopes);
OrderScopes OrderScopesFromJson(const boost::json::object& object);

}  // namespace rudderloom

#endif
