/// @file
/// Plans which units to load and unload next, from the wanted and the current state. Pure.
#ifndef RUDDERLOOM_RESIDENCY_PLANNER_HPP
#define RUDDERLOOM_RESIDENCY_PLANNER_HPP

#include <cstdint>  // for uint64_t
#include <string>   // for string
#include <vector>   // for vector

#include "rudderloom/residency/pool_record.hpp"  // for UnitState

namespace rudderloom {

/// @brief Index into PlanInput's lists; -1 for none.
/// @ingroup residency
using PlanIndex = int;
inline constexpr PlanIndex kNoIndex = -1;

/// @brief A unit that is wanted or loaded.
/// @ingroup residency
struct PlanUnit {
  std::string name;
  std::uint64_t memory = 0;
  PlanIndex base = kNoIndex;       ///< For an adapter, the unit of its model.
  PlanIndex successor = kNoIndex;  ///< For an old version, the unit that replaces it.
  std::int64_t copies = 0;  ///< Copies wanted by declaration or event; 0 for undeclared units.
  double demand = 0.0;      ///< Requests running or waiting, smoothed.
};

/// @brief One unit on one endpoint.
/// @ingroup residency
struct PlanEntry {
  PlanIndex unit = kNoIndex;
  UnitState state = UnitState::kLoading;
  std::uint64_t sequence = 0;  ///< Of its latest order; a lower number means an older unit.
};

/// @brief One endpoint of the pool.
/// @ingroup residency
struct PlanEndpoint {
  std::string name;
  std::uint64_t memory = 0;
  std::uint64_t taken = 0;  ///< Memory reserved or reported as used, whichever is more.
  bool usable = true;       ///< Live, not leaving and not drained.
  int zone = 0;
  double slots = 1.0;
  double load = 0.0;  ///< Requests in flight divided by slots.
  std::vector<PlanEntry> entries;
};

/// @brief Input of the planner.
/// @ingroup residency
struct PlanInput {
  std::vector<PlanUnit> units;
  std::vector<PlanEndpoint> endpoints;
  std::int64_t loads = 1;  ///< Number of loads that may be started now.
};

/// @brief One step of a plan.
/// @ingroup residency
struct PlanAction {
  enum class Kind { kLoad, kUnload };
  /// @brief Reason for the step; moves are counted by reason.
  enum class Reason { kUnreachable, kWanted, kDemand, kMakeRoom, kRelocate };
  Kind kind = Kind::kLoad;
  Reason reason = Reason::kWanted;
  PlanIndex endpoint = kNoIndex;
  PlanIndex unit = kNoIndex;
  bool operator==(const PlanAction&) const = default;
};

/// @brief Returns the reason's name as used in metrics and logs.
/// @ingroup residency
std::string_view NameOf(PlanAction::Reason reason);

/// @brief Returns the next steps, most urgent first. Units are unloaded only if their memory is
/// needed, and the last serving copy of a unit is never unloaded for another unit.
/// @ingroup residency
std::vector<PlanAction> Plan(PlanInput input);

}  // namespace rudderloom

#endif
