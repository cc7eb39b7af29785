#include "forwarding/tried_endpoints.hpp"

namespace rudderloom {

void TriedEndpoints::Add(const std::string& instance, End end) {
  excluded_.insert(instance);
  ends_[instance] = end;
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

}  // namespace rudderloom
