/// @file
/// What requests ask for, over all entry nodes and smoothed over time.
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

/// @brief Requests of one node for one unit at one moment.
/// @ingroup placement
struct UnitCount {
  std::uint32_t running = 0;  ///< On an endpoint.
  std::uint32_t waiting = 0;  ///< No endpoint can take them now.
  /// @brief How long requests that came since the last count would take at an endpoint, together;
  /// also those that were refused.
  Duration offered{0};
  bool operator==(const UnitCount&) const = default;
};

/// @brief What one entry node runs and is asked for.
/// @ingroup placement
struct NodeCounts {
  std::string node;
  std::string incarnation;
  LoadTable loads;
  std::map<UnitName, UnitCount> units;
  std::uint64_t serving_seen = 0;    ///< Version up to which the node knows what is served.
  std::uint64_t routes_version = 0;  ///< Of the configuration in force at the node; 0 for none.
  StoreRevision endpoints_seen;      ///< Up to which the node knows the endpoints.
  /// @brief False: a node of an earlier version, which knows of no eras.
  bool tells_era = true;
  double processor_share = 1.0;  ///< Of one core, that the node may use.
  std::string address;           ///< Where the node hears others.
  std::string availability_zone;
  std::uint32_t stands_for = 1;             ///< Nodes whose counts these are, itself included.
  std::vector<std::string> avoided_relays;  ///< Addresses that gave it no answer of use lately.
  std::uint64_t report_number = 0;    ///< Rises with each report of a process; see `SpendingLog`.
  SpendingTable spending;             ///< Since the last report.
  CrashNews crash_news;               ///< Told for some seconds, then left out.
  std::uint64_t quarantine_seen = 0;  ///< Version of the quarantine that the node knows.
  SentLimits limits;                  ///< Of endpoints, observed lately.
  std::uint64_t limits_seen = 0;      ///< Version of the table of limits that the node knows.
};

/// @brief Adds what was offered to a node, spent and seen to crash at it by its earlier counts to
/// its newer ones, which are told in their place.
/// @ingroup placement
void AddUntold(const NodeCounts& earlier, NodeCounts& newer);

/// @brief True while counts that were heard at `heard_at` are taken to be so still.
/// @ingroup placement
bool CountsFresh(TimePoint heard_at, TimePoint now);

/// @brief A node that reports to this one, for itself or for a group.
/// @ingroup placement
struct ReportingNode {
  std::string name;
  std::string address;
  std::string availability_zone;
  double processor_share = 1.0;  ///< Of one core, that the node may use.
  std::uint32_t stands_for = 1;  ///< Nodes whose counts it tells, itself included.
};

/// @brief Demand for one unit.
/// @ingroup placement
struct UnitDemand {
  /// @brief Places that its requests take: the larger of what runs and waits, which rises quickly
  /// and falls slowly, and of what was offered, foreseen for the time that a load takes.
  double pressure = 0.0;
  std::uint32_t waiting = 0;  ///< As last counted.
  std::uint32_t running = 0;  ///< As last counted.
  TimePoint asked_at;         ///< When it was last asked for.
};

/// @brief Loads of all nodes together and of each, added up once for many readers.
/// @ingroup placement
struct LoadSums {
  LoadTable all;
  std::map<std::string, std::shared_ptr<const LoadTable>> by_node;

  /// @brief Adds a node's loads.
  void Add(const std::string& node, std::shared_ptr<const LoadTable> loads);

  /// @brief All but one node's.
  LoadTable Without(const std::string& node) const;
};

/// @brief Adds up the nodes' counts. Pure; time is passed in.
/// @ingroup placement
class DemandBoard {
 public:
  /// @brief Takes a node's newest counts.
  void Counted(const NodeCounts& counts, TimePoint now);

  /// @brief Smooths; call often.
  void Tick(TimePoint now);

  /// @brief Demand for a unit; nothing when it was never asked for.
  UnitDemand Of(const UnitName& unit) const;
  const std::map<UnitName, UnitDemand>& Units() const { return units_; }

  /// @brief Requests by endpoint over all nodes and of each, from counts that are fresh.
  LoadSums Sums(TimePoint now) const;

  /// @brief The nodes whose counts are fresh, without the one of this name.
  std::vector<ReportingNode> Reporting(const std::string& but, TimePoint now) const;

  /// @brief Since when requests have been seen; empty before the first.
  std::optional<TimePoint> FirstAsked() const { return first_asked_; }

  /// @brief Nodes whose counts are fresh, told by themselves or by others for them.
  std::uint32_t Nodes(TimePoint now) const;

 private:
  struct Node {
    std::map<UnitName, UnitCount> units;
    std::shared_ptr<const LoadTable> loads;
    ReportingNode reporting;
    TimePoint heard_at;
  };

  // What a unit's demand is worked out from.
  struct Smoothed {
    double in_flight = 0.0;     // running or waiting
    double offered_fast = 0.0;  // places that the requests of the last seconds take
    double offered_slow = 0.0;  // the same over a longer time
    Duration arrived{0};        // offered since the last tick
  };

  static void Smooth(Smoothed& smoothed, double in_flight, double seconds);
  static double Foreseen(const Smoothed& smoothed, double known_for);

  std::map<std::string, Node> nodes_;
  std::map<UnitName, UnitDemand> units_;
  std::map<UnitName, Smoothed> smoothed_;
  TimePoint smoothed_at_;
  std::optional<TimePoint> first_asked_;
};

}  // namespace rudderloom

#endif
