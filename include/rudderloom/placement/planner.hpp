/// @file
/// Which models and adapters to load where next, given demand and what is there. Pure.
#ifndef RUDDERLOOM_PLACEMENT_PLANNER_HPP
#define RUDDERLOOM_PLACEMENT_PLANNER_HPP

#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/placement/demand.hpp"    // for DemandBoard
#include "rudderloom/routes/route_table.hpp"  // for EngineSpec

namespace rudderloom {

/// @brief One engine as the planner sees it.
/// @ingroup placement
struct PlanEngine {
  std::string instance;
  /// @brief Models with their adapters, also those on their way in, without those on their way out.
  std::map<std::string, std::set<std::string>> models;
  std::set<std::string> resident;  ///< Models that are there now: only they take adapters.
  LocalWeights local_weights;
  std::uint64_t memory_used = 0;  ///< In MB, with everything on its way in or out.
  std::uint32_t adapters = 0;     ///< Adapter places taken, with those on their way.
  bool takes_models = false;      ///< Its state is certain and nothing is under way.
  bool takes_adapters = false;
  /// @brief Model and adapter of its unanswered load order; empty for none, or if it gives no
  /// report.
  std::optional<std::pair<std::string, std::string>> unanswered_adapter;
  EndpointLoad load;
  std::optional<double> requests_per_second;  ///< That it accepts; empty: any number.
  bool copies_count = true;                   ///< Demand can be served by its models.
};

/// @brief Load a model, after unloading another one where there is no room.
/// @ingroup placement
struct ModelStep {
  std::string instance;
  std::string model;
  std::optional<std::string> victim;
  bool asked_for = true;   ///< False: nobody asks for it now; it is to be there in case.
  bool from_store = true;  ///< False: the endpoint has the weights.
};

/// @brief Load an adapter, after unloading another one where no place is free.
/// @ingroup placement
struct AdapterStep {
  std::string instance;
  std::string model;
  std::string adapter;
  std::optional<std::pair<std::string, std::string>> victim;  ///< Model and adapter.
};

/// @brief What the planner decides from.
/// @ingroup placement
struct PlacementInput {
  const std::string& service;
  const EngineSpec& spec;
  std::vector<PlanEngine> engines;
  const DemandBoard& demand;
  TimePoint now;
};

/// @brief A model that demand is worth more copies of than there are.
/// @ingroup placement
struct Shortfall {
  std::string model;
  double pressure = 0.0;
  std::uint32_t copies = 0;  ///< With those on their way, before this plan.
  std::uint32_t wanted = 0;
};

/// @brief The next steps, most urgent first; at most one for each engine.
/// @ingroup placement
struct PlacementPlan {
  std::vector<ModelStep> models;
  std::vector<AdapterStep> adapters;
  std::vector<Shortfall> shortfalls;  ///< Most urgent first.
};

/// @brief How many copies of each model the demand is worth, one at least for each.
/// @param places Models that all engines together can hold.
/// @param engines No model has more copies than there are engines.
/// @ingroup placement
std::map<std::string, std::uint32_t> WantedCopies(const std::map<std::string, double>& pressures,
                                                  std::uint32_t places,
                                                  std::uint32_t engines);

/// @brief Plans the next steps. The last copy of a model goes only when it has long not been asked
/// for, and another model that is asked for has none, or none with places left.
/// @ingroup placement
PlacementPlan PlanPlacement(PlacementInput input);

}  // namespace rudderloom

#endif
