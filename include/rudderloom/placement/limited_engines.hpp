/// @file
/// Placement beside engines that accept only few requests a second.
#ifndef RUDDERLOOM_PLACEMENT_LIMITED_ENGINES_HPP
#define RUDDERLOOM_PLACEMENT_LIMITED_ENGINES_HPP

#include <vector>  // for vector

#include "rudderloom/placement/planner.hpp"  // for PlanEngine

namespace rudderloom {

/// @brief Has the models of such engines loaded elsewhere, and nothing there, unless all engines
/// are like that. What is ordered there would take reports as well, which may count as requests.
/// @param slots Of each engine.
/// @ingroup placement
void LeaveLimitedOut(std::vector<PlanEngine>& engines, std::uint32_t slots);

}  // namespace rudderloom

#endif
