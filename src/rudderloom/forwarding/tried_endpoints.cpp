#include "forwarding/tried_endpoints.hpp"

#include <algorithm>  // for any_of

namespace rudderloom {

void TriedEndpoints::Add(const std::string& instance, Outcome outcome) {
  excluded_.insert(instance);
  outcomes_[instance] = outcome;
}

bool TriedEndpoints::AnyExcluded(Outcome outcome) const {
  return std::any_of(outcomes_.begin(), outcomes_.end(), [&](const auto& entry) {
    return entry.second == outcome && excluded_.contains(entry.first);
  });
}

bool TriedEndpoints::Readmit(Outcome outcome) {
  bool any = false;
  for (const auto& [instance, recorded] : outcomes_) {
    if (recorded == outcome) {
      any = excluded_.erase(instance) > 0 || any;
    }
  }
  return any;
}

TriedEndpoints::Outcome OutcomeOf(const AttemptResult& result) {
  if (result.outcome == AttemptOutcome::kNotConnected) {
    return TriedEndpoints::Outcome::kUnreachable;
  }
  if (result.feedback == EndpointFeedback::kShed) {
    return TriedEndpoints::Outcome::kFull;
  }
  if (result.outcome != AttemptOutcome::kFailed) {
    return TriedEndpoints::Outcome::kRefused;
  }
  return result.silent ? TriedEndpoints::Outcome::kSilent : TriedEndpoints::Outcome::kFailed;
}

}  // namespace rudderloom
