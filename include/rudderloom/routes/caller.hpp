/// @file
/// Who sends a request, as the configuration knows it.
#ifndef RUDDERLOOM_ROUTES_CALLER_HPP
#define RUDDERLOOM_ROUTES_CALLER_HPP

#include <cstdint>   // for uint32_t
#include <optional>  // for optional

#include "rudderloom/routes/route_table.hpp"  // for RouteTable

namespace rudderloom {

/// @brief What a caller may do on a route.
/// @ingroup routes
enum class CallerStanding {
  kAnybody,   ///< The route asks for no key.
  kCustomer,  ///< A customer holds the caller's key.
  kUnknown,   ///< The route asks for a key, and nobody holds the one shown, or there is none.
};

/// @brief A caller and, where its key names one, its customer.
/// @ingroup routes
struct Caller {
  CallerStanding standing = CallerStanding::kAnybody;
  const Customer* customer = nullptr;  ///< Of the table; lives as long.
};

/// @brief Finds out who calls. A key shown on a route that asks for none is not looked at.
/// @ingroup routes
Caller IdentifyCaller(const RouteTable& table,
                      const Route& route,
                      const std::optional<KeyDigest>& key);

/// @brief The caller's rank: its customer's, where it has one, before the route's. 0 is first.
/// @ingroup routes
std::uint32_t PriorityOf(const Caller& caller, const Route& route);

}  // namespace rudderloom

#endif
