#include "rudderloom/placement/limited_engines.hpp"

#include <algorithm>  // for all_of

namespace rudderloom {

namespace {

// Part of its places that an engine must be able to fill each second for its models to count.
constexpr double kLeastFilledPart = 0.25;

bool Limited(const PlanEngine& engine, std::uint32_t slots) {
  return engine.requests_per_second && *engine.requests_per_second < kLeastFilledPart * slots;
}

}  // namespace

void LeaveLimitedOut(std::vector<PlanEngine>& engines, std::uint32_t slots) {
  const bool all = std::all_of(engines.begin(), engines.end(),
                               [&](const PlanEngine& engine) { return Limited(engine, slots); });
  if (all) {
    return;
  }
  for (PlanEngine& engine : engines) {
    if (Limited(engine, slots)) {
      engine.copies_count = false;
      engine.takes_models = false;
      engine.takes_adapters = false;
    }
  }
}

}  // namespace rudderloom
