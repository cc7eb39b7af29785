/// @file
/// Decides which models and adapters the lease holder orders each engine to load or unload. Pure;
/// time is passed in.
///
/// Every order carries the number of orders that its endpoint must have accepted so far, so the
/// endpoint itself rejects an order that arrives late, after another one. An order is sent only
/// when the state of the endpoint is known for certain, and only if its additions fit beside
/// everything the endpoint holds at that time. See docs/design/placement.md.
#ifndef RUDDERLOOM_PLACEMENT_PLACEMENT_KEEPER_HPP
#define RUDDERLOOM_PLACEMENT_PLACEMENT_KEEPER_HPP

#include <deque>     // for deque
#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/fleet/endpoint_directory.hpp"       // for KnownEndpoint
#include "rudderloom/placement/demand.hpp"               // for DemandTracker
#include "rudderloom/placement/serving.hpp"              // for ServingList
#include "rudderloom/placement/engine_state.hpp"         // for EngineState
#include "rudderloom/placement/lease_keeper.hpp"         // for FormerLease
#include "rudderloom/placement/load_forecast.hpp"        // for LoadForecast
#include "rudderloom/placement/load_pacer.hpp"           // for LoadPacer
#include "rudderloom/placement/order_announcements.hpp"  // for OrderAnnouncements
#include "rudderloom/placement/order.hpp"                // for PlacementOrder
#include "rudderloom/placement/planner.hpp"              // for PlannedStep
#include "rudderloom/routes/route_table.hpp"             // for RouteTable

namespace rudderloom {

/// @brief A request for a report from one engine.
/// @ingroup placement
struct ReportCall {
  std::string instance;
  std::string address;
  std::uint64_t born = 0;  ///< Start time of the endpoint instance to be asked.
};

/// @brief Actions that the keeper asks its caller to carry out.
/// @ingroup placement
struct PlacementEffects {
  std::vector<PlacementOrder> orders;
  std::vector<ReportCall> report_calls;
  LoadForecast forecast;  ///< Expected loads of recently requested units without running requests.
};

/// @brief The fields of the held lease that the keeper uses.
/// @ingroup placement
struct HeldLease {
  std::string holder;
  std::uint64_t epoch = 0;
  TimePoint valid_until;
  OrderScopes announced;  ///< Endpoints that may receive orders.
};

/// @brief Tracks the state of each engine and sends orders until the loaded models match demand.
/// @ingroup placement
class PlacementKeeper {
 public:
  /// @param lease_bound Minimum time between orders of two holders.
  PlacementKeeper(Duration load_window, double load_overshoot, Duration lease_bound);

  /// @brief Discards all engine state after this process has acquired the lease.
  void Reset(const FormerLease& former, TimePoint now);

  /// @brief Continues to hold the lease under a new token. Engine state remains valid.
  void ContinueLease(const FormerLease& former, TimePoint now);

  /// @brief Endpoints that the lease record must list.
  const OrderAnnouncements& Announcements() const { return announcements_; }

  /// @brief Applies an engine's report; empty if the engine did not answer.
  void OnReport(const std::string& instance,
                const std::optional<EngineReport>& report,
                TimePoint now);

  /// @brief Applies the outcome of an order.
  void OrderEnded(const PlacementOrder& order, PlacementOutcome outcome, TimePoint now);

  /// @brief True while an order's outcome is unknown, so that it may still reach its endpoint.
  bool HasOrdersInFlight() const { return orders_in_flight_ > 0; }

  /// @brief Sets the request limits announced by endpoints; null for none.
  void SetEndpointLimits(EndpointLimitsPtr limits) { limits_ = std::move(limits); }

  /// @brief Advances the state machine. Call frequently while the lease is held.
  PlacementEffects Tick(const RouteTable& routes,
                        const std::map<std::string, KnownEndpoint>& endpoints,
                        const DemandTracker& demand,
                        const LoadTable& loads,
                        const HeldLease& lease,
                        TimePoint now);

  /// @brief Models and adapters that requests may be routed to, by instance, without those about to
  /// be unloaded. Contains only engines whose state is known.
  ServingList Serving() const;

  /// @brief Increases whenever the result of Serving changes.
  std::uint64_t ServingVersion() const { return serving_version_; }

 private:
  void UpdateEngines(const std::map<std::string, KnownEndpoint>& endpoints, TimePoint now);
  void RequestReports(PlacementEffects& effects, TimePoint now);
  void AdvanceSwaps(const ServiceSpec& service,
                    const std::vector<std::string>& instances,
                    const HeldLease& lease,
                    PlacementEffects& effects,
                    TimePoint now);
  void Plan(const ServiceSpec& service,
            const std::vector<std::string>& instances,
            const DemandTracker& demand,
            const LoadTable& loads,
            const HeldLease& lease,
            PlacementEffects& effects,
            TimePoint now);
  void AddForecast(const std::string& service,
                   const std::vector<std::string>& instances,
                   const DemandTracker& demand,
                   LoadForecast& forecast,
                   TimePoint now);
  std::optional<double> LimitOf(const std::string& instance) const;
  void LogShortfalls(const PlacementPlan& plan, TimePoint now);
  // Sends an order. Returns false while the endpoint may not receive orders yet.
  bool Send(const std::string& instance,
            EngineState& engine,
            bool load,
            const std::string& model,
            const std::string& adapter,
            const HeldLease& lease,
            PlacementEffects& effects,
            TimePoint now);
  // Number of pending swaps, each of which still has to start a load.
  std::size_t PendingSwaps() const;
  void IncrementServingVersion() { ++serving_version_; }

  LoadPacer pacer_;
  OrderAnnouncements announcements_;
  std::map<std::string, EngineState> engines_;
  EndpointLimitsPtr limits_;
  std::map<std::string, LoadTimes> load_times_;  // load times by model
  std::uint64_t serving_version_ = 1;
  std::size_t orders_in_flight_ = 0;  // includes orders to endpoints that have since left
  TimePoint shortfalls_logged_at_;
};

}  // namespace rudderloom

#endif
