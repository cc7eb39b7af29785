/// @file
/// Placement with engines that accept only a few requests per second.
#ifndef RUDDERLOOM_PLACEMENT_LIMITED_ENGINES_HPP
#define RUDDERLOOM_PLACEMENT_LIMITED_ENGINES_HPP

#include <vector>  // for vector

#include "rudderloom/placement/planner.hpp"  // for PlanEngine

namespace rudderloom {

/// @brief Excludes rate-limited engines from the plan, so that their models are loaded elsewhere
/// and nothing is loaded on them, unless all engines are rate-limited. Orders to them would also
/// need reports, which may count as requests.
/// @param slots Number of request slots of each engine.
/// @ingroup placement
void ExcludeLimitedEngines(std::vector<PlanEngine>& engines, std::uint32_t slots);

}  // namespace rudderloom

#endif
