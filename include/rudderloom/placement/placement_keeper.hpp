/// @file
/// What the holder of the lease orders the model engines to hold. Pure; time is passed in.
///
/// Every order names how many orders its endpoint must have taken so far, so that an order that
/// comes late, after another one, is refused by the endpoint itself. An order is sent only from a
/// state of the endpoint that is known for certain, and only if what it adds fits beside everything
/// that is there then. See docs/design/placement.md.
#ifndef RUDDERLOOM_PLACEMENT_PLACEMENT_KEEPER_HPP
#define RUDDERLOOM_PLACEMENT_PLACEMENT_KEEPER_HPP

#include <deque>     // for deque
#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/fleet/endpoint_directory.hpp"       // for KnownEndpoint
#include "rudderloom/placement/demand.hpp"               // for DemandBoard
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

/// @brief A question to one engine.
/// @ingroup placement
struct ReportCall {
  std::string instance;
  std::string address;
  std::uint64_t born = 0;  ///< Of the life that is asked.
};

/// @brief What the keeper asks its shell to do.
/// @ingroup placement
struct PlacementEffects {
  std::vector<PlacementOrder> orders;
  std::vector<ReportCall> report_calls;
  LoadForecast forecast;  ///< Of recently requested units without running requests.
};

/// @brief The lease as the keeper needs it.
/// @ingroup placement
struct HeldLease {
  std::string holder;
  std::uint64_t epoch = 0;
  TimePoint valid_until;
  OrderScopes announced;  ///< Endpoints that orders may be sent to.
};

/// @brief Keeps what is known of each engine and moves towards what the demand asks for.
/// @ingroup placement
class PlacementKeeper {
 public:
  /// @param lease_bound The least time between orders of two holders.
  PlacementKeeper(Duration load_window, double load_overshoot, Duration lease_bound);

  /// @brief Forgets everything, when the lease is taken anew.
  void Reset(const FormerLease& former, TimePoint now);

  /// @brief This process goes on with the lease under a new token; what it knows is still so.
  void GoOn(const FormerLease& former, TimePoint now);

  /// @brief Endpoints that the lease's record must name.
  const OrderAnnouncements& Announcements() const { return announcements_; }

  /// @brief An engine answered; empty when it did not.
  void Reported(const std::string& instance,
                const std::optional<EngineReport>& report,
                TimePoint now);

  /// @brief What came of an order.
  void OrderEnded(const PlacementOrder& order, PlacementOutcome outcome, TimePoint now);

  /// @brief True while the outcome of an order is not known: it may yet reach its endpoint.
  bool OrdersUnderWay() const { return orders_under_way_ > 0; }

  /// @brief Limits that endpoints have announced; null for none.
  void NoteLimits(EndpointLimitsPtr limits) { limits_ = std::move(limits); }

  /// @brief Moves on; call often while the lease is held.
  PlacementEffects Tick(const RouteTable& routes,
                        const std::map<std::string, KnownEndpoint>& endpoints,
                        const DemandBoard& demand,
                        const LoadTable& loads,
                        const HeldLease& lease,
                        TimePoint now);

  /// @brief What requests may be sent for, by instance: without what is about to be unloaded.
  /// Only engines whose state is known are in it.
  ServingList Serving() const;

  /// @brief Grows whenever Serving changes.
  std::uint64_t ServingVersion() const { return serving_version_; }

 private:
  void Follow(const std::map<std::string, KnownEndpoint>& endpoints, TimePoint now);
  void AskReports(PlacementEffects& effects, TimePoint now);
  void Advance(const ServiceSpec& service,
               const std::vector<std::string>& instances,
               const HeldLease& lease,
               PlacementEffects& effects,
               TimePoint now);
  void Plan(const ServiceSpec& service,
            const std::vector<std::string>& instances,
            const DemandBoard& demand,
            const LoadTable& loads,
            const HeldLease& lease,
            PlacementEffects& effects,
            TimePoint now);
  void AddForecast(const std::string& service,
                   const std::vector<std::string>& instances,
                   const DemandBoard& demand,
                   LoadForecast& forecast,
                   TimePoint now);
  std::optional<double> LimitOf(const std::string& instance) const;
  void LogShortfalls(const PlacementPlan& plan, TimePoint now);
  // Sends an order; false while the endpoint may not be ordered yet.
  bool Send(const std::string& instance,
            EngineState& engine,
            bool load,
            const std::string& model,
            const std::string& adapter,
            const HeldLease& lease,
            PlacementEffects& effects,
            TimePoint now);
  // Loads that swaps under way are yet to start.
  std::size_t PendingSwaps() const;
  void ServingChanged() { ++serving_version_; }

  LoadPacer pacer_;
  OrderAnnouncements announcements_;
  std::map<std::string, EngineState> engines_;
  EndpointLimitsPtr limits_;
  std::map<std::string, LoadTimes> load_times_;  // by model
  std::uint64_t serving_version_ = 1;
  std::size_t orders_under_way_ = 0;  // also to endpoints that are gone by now
  TimePoint shortfalls_logged_at_;
};

}  // namespace rudderloom

#endif
