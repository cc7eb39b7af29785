/// @file
/// Plans which models and adapters to load next and on which engine, from demand and the current
/// state. Pure.
#ifndef RUDDERLOOM_PLACEMENT_PLANNER_HPP
#define RUDDERLOOM_PLACEMENT_PLANNER_HPP

#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/placement/demand.hpp"    // for DemandTracker
#include "rudderloom/routes/route_table.hpp"  // for EngineSpec

namespace rudderloom {

/// @brief Planner input for one engine.
/// @ingroup placement
struct PlanEngine {
  std::string instance;
  /// @brief Models with their adapters, including those being loaded and excluding those being
  /// unloaded.
  std::map<std::string, std::set<std::string>> models;
  std::set<std::string> resident;  ///< Models currently loaded; only these can load adapters.
  LocalWeights local_weights;
  std::uint64_t memory_used = 0;  ///< In MB, including everything being loaded or unloaded.
  std::uint32_t adapters = 0;     ///< Adapter slots in use, including pending loads.
  bool takes_models = false;      ///< State is certain and no order is in progress.
  bool takes_adapters = false;
  /// @brief Model and adapter of its unanswered load order; empty for none, or if it gives no
  /// report.
  std::optional<std::pair<std::string, std::string>> unanswered_adapter;
  EndpointLoad load;
  std::optional<double> requests_per_second;  ///< Rate limit of the engine; empty if unlimited.
  bool copies_count = true;                   ///< Its models count as copies that serve demand.
};

/// @brief Loads a model, first unloading another one if there is no room.
/// @ingroup placement
struct ModelStep {
  std::string instance;
  std::string model;
  std::optional<std::string> victim;
  bool requested = true;  ///< False if no requests ask for it now, so that the load is speculative.
  bool from_store = true;  ///< False if the endpoint has the weights locally.
};

/// @brief Loads an adapter, first unloading another one if no slot is free.
/// @ingroup placement
struct AdapterStep {
  std::string instance;
  std::string model;
  std::string adapter;
  std::optional<std::pair<std::string, std::string>> victim;  ///< Model and adapter.
};

/// @brief Input of the planner.
/// @ingroup placement
struct PlacementInput {
  const std::string& service;
  const EngineSpec& spec;
  std::vector<PlanEngine> engines;
  const DemandTracker& demand;
  TimePoint now;
};

/// @brief A model with fewer copies than its demand warrants.
/// @ingroup placement
struct Shortfall {
  std::string model;
  double pressure = 0.0;
  std::uint32_t copies = 0;  ///< Copies before this plan, including those being loaded.
  std::uint32_t wanted = 0;
};

/// @brief The next steps, most urgent first; at most one per engine.
/// @ingroup placement
struct PlacementPlan {
  std::vector<ModelStep> models;
  std::vector<AdapterStep> adapters;
  std::vector<Shortfall> shortfalls;  ///< Most urgent first.
};

/// @brief Returns the number of copies of each model that its demand warrants, at least one each.
/// @param places Number of models that all engines together can hold.
/// @param engines Number of engines, which is the maximum number of copies of a model.
/// @ingroup placement
std::map<std::string, std::uint32_t> WantedCopies(const std::map<std::string, double>& pressures,
                                                  std::uint32_t places,
                                                  std::uint32_t engines);

/// @brief Plans the next steps. The last copy of a model is unloaded only if it has not been
/// requested for a long time and a requested model has no copy, or none with free slots.
/// @ingroup placement
PlacementPlan PlanPlacement(PlacementInput input);

}  // namespace rudderloom

#endif
