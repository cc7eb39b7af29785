#include "rudderloom/placement/limited_engines.hpp"

#include <algorithm>  // for all_of

namespace rudderloom {

namespace {

// Fraction of its slots that an engine must be able to fill each second for its models to count.
constexpr double kMinFilledFraction = 0.25;

bool AcceptsFewRequests(const PlanEngine& engine, std::uint32_t slots) {
  return engine.requests_per_second && *engine.requests_per_second < kMinFilledFraction * slots;
}

}  // namespace

void ExcludeLimitedEngines(std::vector<PlanEngine>& engines, std::uint32_t slots) {
  const bool all_limited =
      std::all_of(engines.begin(), engines.end(),
                  [&](const PlanEngine& engine) { return AcceptsFewRequests(engine, slots); });
  if (all_limited) {
    return;
  }
  for (PlanEngine& engine : engines) {
    if (AcceptsFewRequests(engine, slots)) {
      engine.copies_count = false;
      engine.takes_models = false;
      engine.takes_adapters = false;
    }
  }
}

}  // namespace rudderloom
