/// @file
/// Identifies the caller of a request from its API key.
#ifndef RUDDERLOOM_ROUTES_CALLER_HPP
#define RUDDERLOOM_ROUTES_CALLER_HPP

#include <cstdint>   // for uint32_t
#include <optional>  // for optional

#include "rudderloom/routes/route_table.hpp"  // for RouteTable

namespace rudderloom {

/// @brief Result of checking a caller's key on a route.
/// @ingroup routes
enum class CallerStatus {
  kAnonymous,  ///< The route requires no key.
  kCustomer,   ///< The key belongs to a customer.
  kUnknown,    ///< The route requires a key, but it is missing or belongs to no customer.
};

/// @brief A caller and the customer that its key belongs to, if any.
/// @ingroup routes
struct Caller {
  CallerStatus standing = CallerStatus::kAnonymous;
  const Customer* customer = nullptr;  ///< Owned by the route table.
};

/// @brief Identifies the caller. A key sent to a route that requires none is ignored.
/// @ingroup routes
Caller IdentifyCaller(const RouteTable& table,
                      const Route& route,
                      const std::optional<KeyDigest>& key);

/// @brief Priority of a caller: its customer's if that has one, otherwise the route's. 0 is the
/// most urgent.
/// @ingroup routes
std::uint32_t PriorityOf(const Caller& caller, const Route& route);

}  // namespace rudderloom

#endif
