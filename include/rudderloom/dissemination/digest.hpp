/// @file
/// The answer to a node's load report: the lease holder's digest, sent directly or by a relay.
#ifndef RUDDERLOOM_DISSEMINATION_DIGEST_HPP
#define RUDDERLOOM_DISSEMINATION_DIGEST_HPP

#include <cstdint>   // for uint32_t, uint64_t
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/dissemination/configuration_log.hpp"  // for ConfigurationChanges
#include "rudderloom/endpoint_limits/limit_exchange.hpp"   // for LimitTable
#include "rudderloom/fleet/endpoint_record.hpp"            // for EndpointChanges
#include "rudderloom/fleet/fleet_view.hpp"                 // for LoadTable
#include "rudderloom/placement/serving.hpp"                // for ServingChanges
#include "rudderloom/quarantine/crash_news.hpp"            // for QuarantineTable
#include "rudderloom/quota/spending.hpp"                   // for BalanceTable

namespace rudderloom {

/// @brief Older digests are neither forwarded nor used. A takeover of the lease takes about 2 s,
/// during which relays have no newer digest and are as reliable as the holder. After that they have
/// lost contact with a holder that may still be running.
/// @ingroup dissemination
constexpr Duration kMaxDigestAge{3'000};

/// @brief The lease holder's digest of the fleet state, as sent to one node.
/// @ingroup dissemination
struct HolderDigest {
  /// @brief False if the answering node neither holds the lease nor has a digest of the holder to
  /// forward. Then only `crash_news` is set, and `holder` and `epoch` as last known to that node.
  bool is_authoritative = false;
  std::uint64_t epoch = 0;  ///< Of the lease.
  std::string holder;       ///< Address of its holder.
  Duration age{0};          ///< Since the holder created the digest.
  std::uint32_t nodes = 1;  ///< Nodes with fresh load reports, including the holder.
  LoadTable loads;          ///< Of all nodes except the asking node and its members.
  std::string relay;        ///< Address to report to from now on; empty: the answering node.
  bool is_relay = false;    ///< The asking node forwards the digest to nodes that ask it.
  Duration relay_pause{0};  ///< Between two reports of a relay; set by the holder's CPU load.
  bool standby = false;     ///< The asking node is among the first to take over.
  std::vector<std::string> standby_addresses;  ///< Of all standbys.
  bool renewals_fail = false;                  ///< The holder currently can't renew its lease.
  std::uint64_t routes_version = 0;            ///< Of the holder's configuration; 0 for none.
  ServingChanges serving;                      ///< Changes that the asking node lacks.
  EndpointChanges endpoints;                   ///< Changes that the asking node lacks.
  bool has_era = true;  ///< False if sent by an earlier software version without eras.
  /// @brief Time since the store confirmed the list of endpoints.
  std::optional<Duration> endpoints_age;
  /// @brief The digest carries the configuration; false in a small fleet, whose nodes read the
  /// store.
  bool has_configuration = false;
  ConfigurationChanges configuration;  ///< Changes that the asking node lacks.
  /// @brief Time since the store confirmed the configuration.
  std::optional<Duration> configuration_age;
  /// @brief Remaining customer balances when the holder created the digest. Standbys receive all of
  /// them, other nodes those of the customers that their report names.
  BalanceTable balances;
  std::uint64_t report_counted = 0;  ///< The asking node's last report included in `balances`.
  /// @brief Requests that crash the endpoints that run them; empty if unchanged for the asking
  /// node.
  std::optional<QuarantineTable> quarantine;
  /// @brief Crash reports that the answering node is sending to the holder, unless it is the holder
  /// itself: the holder may be unreachable for it and for the asking node.
  CrashNews crash_news;
  /// @brief Limits announced by endpoints; empty if unchanged for the asking node.
  std::optional<LimitTable> limits;
  /// @brief Remaining load times of the units in the asking node's report, counted from when the
  /// holder created the digest.
  LoadsDue loads_due;
  /// @brief Nodes that forward requests; only for a node that needs them.
  GatewayList gateways;
  TurnAssignment turns;          ///< Of the asking node.
  bool gateways_wanted = false;  ///< Some node needs them; relays name all of their group.
  /// @brief Versions that have served lately, when the holder created the digest; empty if the
  /// holder doesn't know what served before it started.
  std::optional<VersionAges> software_versions;
  /// @brief Versions at which streams may begin before the holder has confirmed their start; empty
  /// if the holder is of an earlier version, which confirms nothing.
  std::optional<VersionsByService> settled_versions;
};

/// @brief Adds the transit time to the ages of a digest and its contents.
/// @ingroup dissemination
void AddTransitTime(HolderDigest& digest, Duration transit_time);

}  // namespace rudderloom

#endif
