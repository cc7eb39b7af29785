/// @file
/// What traffic sees of the configuration and the endpoints: immutable, replaced as a whole.
#ifndef RUDDERLOOM_FLEET_FLEET_VIEW_HPP
#define RUDDERLOOM_FLEET_FLEET_VIEW_HPP

#include <algorithm>  // for min
#include <cstdint>    // for uint32_t
#include <map>        // for map
#include <memory>     // for shared_ptr
#include <string>     // for string
#include <vector>     // for vector

#include "rudderloom/endpoint_limits/endpoint_limit.hpp"  // for EndpointLimitsPtr
#include "rudderloom/fleet/endpoint_key.hpp"              // for EndpointKey
#include "rudderloom/fleet/endpoint_record.hpp"           // for EndpointRecord
#include "rudderloom/placement/load_forecast.hpp"         // for LoadForecastPtr
#include "rudderloom/quarantine/crash_news.hpp"           // for QuarantineListPtr
#include "rudderloom/quota/spending.hpp"                  // for QuotaWordPtr
#include "rudderloom/routes/route_table.hpp"              // for RouteTablePtr

namespace rudderloom {

/// @brief Requests that are running or waiting on an endpoint, as somebody last counted them.
/// @ingroup fleet
struct EndpointLoad {
  std::uint32_t requests = 0;
  std::uint32_t deferred = 0;       ///< Of these, those that are to run after all others.
  std::uint64_t unread_tokens = 0;  ///< Of prompts whose answers have not begun.

  EndpointLoad& operator+=(const EndpointLoad& other) {
    requests += other.requests;
    deferred += other.deferred;
    unread_tokens += other.unread_tokens;
    return *this;
  }
  EndpointLoad& operator-=(const EndpointLoad& other) {
    requests -= std::min(requests, other.requests);
    deferred -= std::min(deferred, other.deferred);
    unread_tokens -= std::min(unread_tokens, other.unread_tokens);
    return *this;
  }
  bool operator==(const EndpointLoad&) const = default;
};

/// @brief Loads by endpoint.
/// @ingroup fleet
using LoadTable = std::map<EndpointKey, EndpointLoad>;

/// @brief One endpoint as traffic sees it.
/// @ingroup fleet
struct FleetEndpoint {
  EndpointRecord record;
  bool last_resort = false;  ///< No longer listed: only where nothing else is there.
  EndpointLoad others;       ///< Of the other entry nodes, as last heard.
};

/// @brief One consistent view; a request keeps it for as long as it needs it.
/// @ingroup fleet
struct FleetView {
  RouteTablePtr routes;                  ///< Null before the first configuration.
  std::vector<FleetEndpoint> endpoints;  ///< Those that may get new requests.
  std::map<std::string, std::vector<std::uint32_t>, std::less<>> by_service;  ///< Indices.
  std::uint32_t live_nodes = 1;  ///< Entry nodes that share limits, with this one.
  bool endpoints_known = false;  ///< The platform's list has been read.
  QuotaWordPtr quota;            ///< What customers may spend; null before the first word.
  std::string quota_holder;      ///< Address of the holder, which grants more; empty: not known.
  std::string quota_relay;       ///< Of the relay that does while there is no holder; empty: none.
  EndpointLimitsPtr limits;      ///< That endpoints have announced; null: none.
  /// @brief Until then the holder hands out permits for endpoints with limits, after that its
  /// deputy.
  TimePoint holder_permits_until;
  std::string deputy;             ///< Address of the holder's deputy; empty: not known.
  LoadForecastPtr load_forecast;  ///< Null: no loads are forecast.
  QuarantineListPtr quarantine;   ///< Requests that end the endpoints that run them; null: none.
};

/// @brief A view that nobody changes any more.
/// @ingroup fleet
using FleetViewPtr = std::shared_ptr<const FleetView>;

}  // namespace rudderloom

#endif
