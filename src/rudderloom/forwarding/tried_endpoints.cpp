#include "forwarding/tried_endpoints.hpp"

#include <algorithm>  // for any_of

namespace rudderloom {

void TriedEndpoints::Add(const std::string& instance, End end) {
  excluded_.insert(instance);
  ends_[instance] = end;
}

bool TriedEndpoints::AnyUnreachable() const {
  return std::any_of(ends_.begin(), ends_.end(), [&](const auto& entry) {
    return entry.second == End::kUnreachable && excluded_.contains(entry.first);
  });
}

bool TriedEndpoints::Take(End end) {
  bool any = false;
  for (const auto& [instance, how] : ends_) {
    if (how == end) {
      any = excluded_.erase(instance) > 0 || any;
    }
  }
  return any;
}

TriedEndpoints::End EndOf(const AttemptResult& result) {
  if (result.outcome == AttemptOutcome::kNotConnected) {
    return TriedEndpoints::End::kUnreachable;
  }
  const bool can_serve = result.outcome == AttemptOutcome::kFailed && !result.silent;
  return can_serve ? TriedEndpoints::End::kFailed : TriedEndpoints::End::kRefused;
}

}  // namespace rudderloom
