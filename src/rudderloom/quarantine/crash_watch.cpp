#include "rudderloom/quarantine/crash_watch.hpp"

#include <utility>  // for exchange

namespace rudderloom {

namespace {

// Between a break and the answer that nobody listens, in either order. All connections of a process
// break as it ends; a supervisor starts it again after this time at the soonest.
constexpr Duration kTogether{500};
// Requests that broke together need one answer.
constexpr Duration kAskEvery{100};

}  // namespace

bool CrashWatch::Broke(const std::string& instance, const RequestDigest& request, TimePoint now) {
  Endpoint& endpoint = endpoints_[instance];
  if (endpoint.ended_at != TimePoint() && now - endpoint.ended_at < kTogether) {
    news_.crashes.insert({request, KeyOf(instance)});
    return false;
  }
  endpoint.breaks.push_back({request, now});
  if (endpoint.asked_at != TimePoint() && now - endpoint.asked_at < kAskEvery) {
    return false;
  }
  endpoint.asked_at = now;
  return true;
}

void CrashWatch::Ended(const std::string& instance, TimePoint now) {
  const auto found = endpoints_.find(instance);
  if (found == endpoints_.end()) {
    return;
  }
  Endpoint& endpoint = found->second;
  endpoint.ended_at = now;
  for (const Break& broke : std::exchange(endpoint.breaks, {})) {
    if (now - broke.at < kTogether) {
      news_.crashes.insert({broke.request, KeyOf(instance)});
    }
  }
}

CrashNews CrashWatch::Take() {
  return std::exchange(news_, {});
}

void CrashWatch::Trim(TimePoint now) {
  std::erase_if(endpoints_, [&](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    const bool broke_lately =
        !endpoint.breaks.empty() && now - endpoint.breaks.back().at < kTogether;
    return !broke_lately && now - endpoint.ended_at >= kTogether;
  });
}

}  // namespace rudderloom
