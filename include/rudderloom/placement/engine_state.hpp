/// @file
/// What the holder of the lease knows of one model engine, from its reports and its answers to
/// orders. Pure; time is passed in.
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

/// @brief How long a model's load takes, by where its weights come from.
/// @ingroup placement
struct LoadTimes {
  Duration from_memory{1'000};
  Duration from_disk{1'000};
  Duration from_store{4'000};
};

/// @brief One model is to make way for another.
/// @ingroup placement
struct ModelSwap {
  std::string victim;
  std::string newcomer;
  TimePoint ready_at;  ///< When no request for the victim is on its way any more.
};

/// @brief One engine. Methods that return a bool say whether what it may serve has changed.
/// @ingroup placement
struct EngineState {
  std::string id;  ///< Name that the endpoint answers to.
  std::uint64_t born = 0;
  std::string address;
  bool known = false;                ///< A report came since the lease was taken.
  bool doubtful = false;             ///< An order's fate is unknown, or the count of orders is.
  bool awaits_announcement = false;  ///< An order waits until the lease's record names it.
  bool silent = false;               ///< The last report call returned no report.
  bool busy = false;
  std::uint64_t orders_taken = 0;
  std::vector<ResidentModel> models;
  LocalWeights local_weights;
  std::set<std::string> pending_adapters;    ///< `model/adapter`.
  std::optional<PlacementOrder> flight;      ///< Sent, no answer yet.
  std::optional<PlacementOrder> running;     ///< Accepted, its end not yet seen.
  std::optional<PlacementOrder> unanswered;  ///< The last order, until its outcome is known.
  TimePoint running_ends_at;                 ///< Expected end of `running`.
  TimePoint order_at;                        ///< When the last order was sent or answered.
  std::optional<ModelSwap> swap;
  TimePoint ask_at;  ///< When to ask for the next report.
  bool asking = false;
  std::map<std::string, TimePoint> adapter_loaded;  ///< `model/adapter`: when.

  /// @brief An engine of the platform's list that was not known before.
  static EngineState FromRecord(const EndpointRecord& record, TimePoint now);

  /// @brief Takes a report; empty when the engine gave none.
  bool TakeReport(const std::optional<EngineReport>& report, TimePoint now);

  /// @brief Notes an order that is being sent.
  void OrderSent(const PlacementOrder& order, TimePoint now);

  /// @brief Takes an order's outcome.
  /// @param times Of the order's model.
  bool OrderEnded(const PlacementOrder& order,
                  PlacementOutcome outcome,
                  const LoadTimes& times,
                  TimePoint now);

  /// @brief Takes adapters into use whose loads should be over.
  bool TakeAdapters(TimePoint now);

  /// @brief True when it holds the model.
  bool Holds(const std::string& model) const { return FindModel(models, model) != nullptr; }

  /// @brief True when its state is certain and nothing is under way.
  bool Certain() const { return known && !doubtful && !flight && !busy; }

  /// @brief The engine as the planner sees it.
  /// @param resting A former holder may have ordered it a short while ago.
  PlanEngine View(const std::string& instance, const EngineSpec& spec, bool resting) const;

  /// @brief When it is expected to accept another order.
  TimePoint NextOrderAt(TimePoint now) const;

  /// @brief When the load of a model is expected to end; empty if none is ordered or planned.
  /// @param times Of the model.
  std::optional<TimePoint> LoadEndsAt(const std::string& model,
                                      const LoadTimes& times,
                                      TimePoint now) const;

  /// @brief Models with a load that is under way, has an unknown outcome, or is planned by a swap.
  std::set<std::string> IncomingModels() const;

  /// @brief Models that requests may be sent for: none that is about to go.
  std::vector<ResidentModel> Serving() const;

 private:
  bool Carried(const PlacementOrder& order);
  Duration ExpectedLoadTime(const std::string& model, const LoadTimes& times) const;
};

}  // namespace rudderloom

#endif
