/// @file
/// Request demand over all entry nodes, smoothed over time.
#ifndef RUDDERLOOM_PLACEMENT_DEMAND_HPP
#define RUDDERLOOM_PLACEMENT_DEMAND_HPP

#include <cstdint>   // for uint32_t
#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"                      // for TimePoint
#include "rudderloom/endpoint_limits/limit_exchange.hpp"  // for SentLimits
#include "rudderloom/fleet/fleet_view.hpp"                // for EndpointLoad
#include "rudderloom/placement/unit_name.hpp"             // for UnitName
#include "rudderloom/quarantine/crash_news.hpp"           // for CrashNews
#include "rudderloom/quota/spending.hpp"                  // for SpendingTable

namespace rudderloom {

/// @brief Requests of one node for one unit at one point in time.
/// @ingroup placement
struct UnitCount {
  std::uint32_t running = 0;  ///< Running on an endpoint.
  std::uint32_t waiting = 0;  ///< Waiting because no endpoint can accept them now.
  /// @brief Total processing time at an endpoint of the requests that arrived since the last count,
  /// including rejected ones.
  Duration offered{0};
  bool operator==(const UnitCount&) const = default;
};

/// @brief Load and demand reported by one entry node.
/// @ingroup placement
struct NodeCounts {
  std::string node;
  std::string incarnation;
  LoadTable loads;
  std::map<UnitName, UnitCount> units;
  std::uint64_t serving_seen = 0;    ///< Serving list version known to the node.
  std::uint64_t routes_version = 0;  ///< Version of the node's active configuration; 0 for none.
  StoreRevision endpoints_seen;      ///< Revision of the endpoint list known to the node.
  /// @brief False for a node of an earlier version, which has no eras.
  bool has_era = true;
  double processor_share = 1.0;  ///< Fraction of one core available to the node.
  std::string address;           ///< Address on which the node listens for peers.
  std::string availability_zone;
  std::uint32_t represented_nodes =
      1;  ///< Number of nodes covered by these counts, including itself.
  std::vector<std::string> avoided_relays;  ///< Relays that recently gave no usable answer.
  std::uint64_t report_number = 0;  ///< Increases with each report of a process; see `SpendingLog`.
  SpendingTable spending;           ///< Spending since the last report.
  CrashNews crash_news;             ///< Recent crashes; repeated for some seconds, then omitted.
  std::uint64_t quarantine_seen = 0;  ///< Quarantine version known to the node.
  SentLimits limits;                  ///< Endpoint limits observed recently.
  std::uint64_t limits_seen = 0;      ///< Version of the limit table known to the node.
  bool reaches_endpoints = true;      ///< False if the node is cut off from all endpoints.
  bool needs_gateways = false;        ///< The node, or one it represents, lacks links to endpoints.
  GatewayList gateways;               ///< The node's own, and some of those that it represents.
  /// @brief False if the node, or one it represents, is of an earlier version, which begins streams
  /// at any version before the lease holder has confirmed it.
  bool confirms_starts = true;
};

/// @brief Merges the offered load, spending, crashes and limits from a node's earlier, unreported
/// counts into its newer counts, which are reported instead.
/// @ingroup placement
void MergeUnreported(const NodeCounts& earlier, NodeCounts& newer);

/// @brief Returns true while counts received at `heard_at` are considered current.
/// @ingroup placement
bool AreCountsCurrent(TimePoint heard_at, TimePoint now);

/// @brief A node that reports to this one, for itself or on behalf of a group.
/// @ingroup placement
struct ReportingNode {
  std::string name;
  std::string address;
  std::string availability_zone;
  double processor_share = 1.0;         ///< Fraction of one core available to the node.
  std::uint32_t represented_nodes = 1;  ///< Number of nodes it reports for, including itself.
  bool reaches_endpoints = true;        ///< False if it is cut off from all endpoints.
  bool needs_gateways = false;          ///< One of them does not reach all endpoints.
  GatewayList gateways = {};            ///< Of the nodes it reports for.
  TimePoint heard_at = {};              ///< Of its last report.
  bool confirms_starts = true;          ///< See `NodeCounts`.
};

/// @brief Demand for one unit.
/// @ingroup placement
struct UnitDemand {
  /// @brief Number of slots its requests need. The maximum of the running and waiting requests,
  /// smoothed to rise quickly and fall slowly, and of the offered load, extrapolated over the time
  /// that a load takes.
  double pressure = 0.0;
  std::uint32_t waiting = 0;    ///< As last counted.
  std::uint32_t running = 0;    ///< As last counted.
  TimePoint last_requested_at;  ///< Time of the last request for it.
};

/// @brief Loads in total and by node, computed once for many readers.
/// @ingroup placement
struct LoadSums {
  LoadTable all;
  std::map<std::string, std::shared_ptr<const LoadTable>> by_node;

  /// @brief Adds a node's loads.
  void Add(const std::string& node, std::shared_ptr<const LoadTable> loads);

  /// @brief Returns the total without one node's loads.
  LoadTable Without(const std::string& node) const;
};

/// @brief Aggregates the nodes' counts. Pure; time is passed in.
/// @ingroup placement
class DemandTracker {
 public:
  /// @brief Applies a node's newest counts.
  void RecordCounts(const NodeCounts& counts, TimePoint now);

  /// @brief Updates the smoothed demand. Call frequently.
  void Tick(TimePoint now);

  /// @brief Returns the demand for a unit; zero if it was never requested.
  UnitDemand DemandFor(const UnitName& unit) const;
  const std::map<UnitName, UnitDemand>& Units() const { return units_; }

  /// @brief Returns the requests by endpoint, in total and by node, from current counts.
  LoadSums Sums(TimePoint now) const;

  /// @brief Returns the nodes with current counts, except the named one.
  std::vector<ReportingNode> ReportingNodes(const std::string& excluded_node, TimePoint now) const;

  /// @brief Time of the first request; empty before it.
  std::optional<TimePoint> FirstRequestAt() const { return first_request_at_; }

  /// @brief Number of nodes with current counts, reported by themselves or on their behalf.
  std::uint32_t Nodes(TimePoint now) const;

 private:
  struct Node {
    std::map<UnitName, UnitCount> units;
    std::shared_ptr<const LoadTable> loads;
    ReportingNode reporting;
    TimePoint heard_at;
  };

  // Moving averages from which a unit's demand is computed.
  struct Smoothed {
    double in_flight = 0.0;     // requests running or waiting
    double offered_fast = 0.0;  // slots needed by requests of the last seconds
    double offered_slow = 0.0;  // the same over a longer period
    Duration arrived{0};        // load offered since the last tick
  };

  static void Smooth(Smoothed& smoothed, double in_flight, double seconds);
  static double Extrapolate(const Smoothed& smoothed, double observed_seconds);

  std::map<std::string, Node> nodes_;
  std::map<UnitName, UnitDemand> units_;
  std::map<UnitName, Smoothed> smoothed_;
  TimePoint smoothed_at_;
  std::optional<TimePoint> first_request_at_;
};

}  // namespace rudderloom

#endif
