/// @file
/// The lease holder's view of one model engine, from its reports and its answers to orders. Pure;
/// time is passed in.
#ifndef RUDDERLOOM_PLACEMENT_ENGINE_STATE_HPP
#define RUDDERLOOM_PLACEMENT_ENGINE_STATE_HPP

#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/fleet/endpoint_record.hpp"  // for EngineReport
#include "rudderloom/placement/order.hpp"        // for PlacementOrder
#include "rudderloom/placement/planner.hpp"      // for PlanEngine

namespace rudderloom {

/// @brief Load times of a model, by the location of its weights.
/// @ingroup placement
struct LoadTimes {
  Duration from_memory{1'000};
  Duration from_disk{1'000};
  Duration from_store{4'000};
};

/// @brief A planned replacement of one model by another.
/// @ingroup placement
struct ModelSwap {
  std::string victim;
  std::string replacement;
  TimePoint ready_at;  ///< Time from which no request for the victim is in transit.
};

/// @brief State of one engine. Methods that return a bool report whether the set of models it may
/// serve has changed, unless stated otherwise.
/// @ingroup placement
struct EngineState {
  std::string id;  ///< Endpoint name; stays the same across restarts.
  std::uint64_t born = 0;
  std::string address;
  bool known = false;                ///< A report has arrived since the lease was acquired.
  bool uncertain = false;            ///< An order's outcome or the order count is unknown.
  bool awaits_announcement = false;  ///< An order waits until the lease record lists this endpoint.
  bool silent = false;               ///< The last report call returned no report.
  bool busy = false;
  std::uint64_t orders_taken = 0;
  std::vector<ResidentModel> models;
  LocalWeights local_weights;
  std::set<std::string> pending_adapters;       ///< `model/adapter`.
  std::optional<PlacementOrder> sent_order;     ///< The order sent last, until it is answered.
  std::optional<PlacementOrder> running_order;  ///< Accepted order, until reported complete.
  std::optional<PlacementOrder> unanswered;     ///< The last order, until its outcome is known.
  TimePoint running_ends_at;                    ///< Expected end of `running_order`.
  TimePoint order_at;                           ///< When the last order was sent or answered.
  std::optional<ModelSwap> swap;
  TimePoint next_report_at;  ///< When to request the next report.
  bool report_requested = false;
  std::map<std::string, TimePoint> adapter_loaded;  ///< Load time by `model/adapter`.

  /// @brief Creates the state of an engine newly listed by the platform.
  static EngineState FromRecord(const EndpointRecord& record, TimePoint now);

  /// @brief Applies a report; empty if the engine returned none.
  bool ApplyReport(const std::optional<EngineReport>& report, TimePoint now);

  /// @brief Records an order that is being sent.
  void OrderSent(const PlacementOrder& order, TimePoint now);

  /// @brief Applies an order's outcome.
  /// @param times Load times of the order's model.
  bool OrderEnded(const PlacementOrder& order,
                  PlacementOutcome outcome,
                  const LoadTimes& times,
                  TimePoint now);

  /// @brief Marks adapters as available once their loads should have finished.
  bool MarkLoadedAdapters(TimePoint now);

  /// @brief True if the engine holds the model.
  bool Holds(const std::string& model) const { return FindModel(models, model) != nullptr; }

  /// @brief True if the engine's state is certain and no order is in progress.
  bool Certain() const { return known && !uncertain && !sent_order && !busy; }

  /// @brief Returns the engine's state as planner input.
  /// @param blocked True if a former holder may recently have sent orders to the engine.
  PlanEngine ToPlanEngine(const std::string& instance, const EngineSpec& spec, bool blocked) const;

  /// @brief Returns when the engine is expected to accept another order.
  TimePoint NextOrderAt(TimePoint now) const;

  /// @brief Returns the expected end of a model's load; empty if none is ordered or planned.
  /// @param times Load times of the model.
  std::optional<TimePoint> LoadEndsAt(const std::string& model,
                                      const LoadTimes& times,
                                      TimePoint now) const;

  /// @brief Models whose load is in progress, has an unknown outcome, or is planned by a swap.
  std::set<std::string> IncomingModels() const;

  /// @brief Models that requests may be routed to, without those about to be unloaded.
  std::vector<ResidentModel> Serving() const;

 private:
  bool ApplyOrder(const PlacementOrder& order);
  Duration ExpectedLoadTime(const std::string& model, const LoadTimes& times) const;
};

}  // namespace rudderloom

#endif
