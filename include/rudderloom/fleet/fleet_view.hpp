/// @file
/// The configuration and endpoints as request handling sees them: immutable, replaced as a whole.
#ifndef RUDDERLOOM_FLEET_FLEET_VIEW_HPP
#define RUDDERLOOM_FLEET_FLEET_VIEW_HPP

#include <algorithm>  // for min
#include <cstdint>    // for uint32_t
#include <map>        // for map
#include <memory>     // for shared_ptr
#include <string>     // for string
#include <vector>     // for vector

#include "rudderloom/endpoint_limits/endpoint_limit.hpp"    // for EndpointLimitsPtr
#include "rudderloom/fleet/endpoint_key.hpp"                // for EndpointKey
#include "rudderloom/fleet/endpoint_record.hpp"             // for EndpointRecord
#include "rudderloom/fleet/gateway.hpp"                     // for GatewayList
#include "rudderloom/placement/load_forecast.hpp"           // for LoadForecastPtr
#include "rudderloom/quarantine/crash_news.hpp"             // for QuarantineListPtr
#include "rudderloom/quota/spending.hpp"                    // for QuotaSnapshotPtr
#include "rudderloom/routes/route_table.hpp"                // for RouteTablePtr
#include "rudderloom/stream_versions/service_versions.hpp"  // for VersionsByService

namespace rudderloom {

/// @brief Requests running or waiting on an endpoint, as last counted.
/// @ingroup fleet
struct EndpointLoad {
  std::uint32_t requests = 0;
  std::uint32_t deferred = 0;       ///< Of these, requests that run only after all others.
  std::uint64_t unread_tokens = 0;  ///< Prompt tokens of requests whose answers have not begun.

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

/// @brief Loads by endpoint key.
/// @ingroup fleet
using LoadTable = std::map<EndpointKey, EndpointLoad>;

/// @brief One endpoint as request handling sees it.
/// @ingroup fleet
struct FleetEndpoint {
  EndpointRecord record;
  bool last_resort = false;       ///< No longer listed: used only when there is no other endpoint.
  EndpointLoad other_nodes_load;  ///< Load from the other entry nodes, as last received.
};

/// @brief A consistent view; a request keeps its view for as long as needed.
/// @ingroup fleet
struct FleetView {
  RouteTablePtr routes;                  ///< Null before the first configuration.
  std::vector<FleetEndpoint> endpoints;  ///< Those that may get new requests.
  std::map<std::string, std::vector<std::uint32_t>, std::less<>>
      by_service;  ///< Indices into `endpoints`.
  /// @brief That have served lately, also of endpoints that have gone.
  VersionsByService software_versions;
  /// @brief `software_versions` includes what served before this process started.
  bool knows_version_history = false;
  /// @brief Versions at which streams may begin before the lease holder has confirmed their start.
  VersionsByService settled_versions;
  /// @brief A lease record is known to exist or to have existed, so that no later process concludes
  /// that nothing has served before.
  bool streams_may_begin = false;
  std::uint32_t live_nodes = 1;  ///< Entry nodes that share limits, including this one.
  bool endpoints_known = false;  ///< The platform's list has been read.
  QuotaSnapshotPtr quota;        ///< Customer balances; null before the first are received.
  std::string quota_holder;      ///< Address of the holder, which grants more; empty: unknown.
  std::string
      quota_relay;  ///< Address of the relay that grants while there is no holder; empty: none.
  EndpointLimitsPtr limits;  ///< Limits announced by endpoints; null: none.
  /// @brief Until then the holder issues permits for endpoints with limits; afterwards its deputy
  /// does.
  TimePoint holder_permits_until;
  std::string deputy;                 ///< Address of the holder's deputy; empty: unknown.
  std::vector<std::string> standbys;  ///< Addresses of the nodes that may take the lease over.
  LoadForecastPtr load_forecast;      ///< Null: no forecast.
  GatewayList gateways;               ///< Known only while this node lacks links to endpoints.
  QuarantineListPtr quarantine;  ///< Requests that crash the endpoints that run them; null: none.
  bool holds_lease = false;      ///< This node holds the placement lease.
};

/// @brief Shared pointer to an immutable view.
/// @ingroup fleet
using FleetViewPtr = std::shared_ptr<const FleetView>;

}  // namespace rudderloom

#endif
