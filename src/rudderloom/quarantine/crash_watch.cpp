#include "rudderloom/quarantine/crash_watch.hpp"

#include <utility>  // for exchange

namespace rudderloom {

namespace {

// From an endpoint's first break to the answer that nobody listens, in either order. All
// connections of a process break as it ends; a proxy before it may listen on for a while.
constexpr Duration kTogether{1'500};
// Requests that broke together need one answer, and one more where a proxy gave the first.
constexpr Duration kAskEvery{100};
// Requests that a node answers in about a minute, in some 500 KB.
constexpr std::size_t kMostAnswered = 4'096;

}  // namespace

bool CrashWatch::Broke(const std::string& instance,
                       const RequestDigest& request,
                       TimePoint sent_at,
                       TimePoint now) {
  if (Survived(request)) {
    return false;
  }
  Endpoint& endpoint = endpoints_[instance];
  if (endpoint.first_broke_at == TimePoint() || now - endpoint.first_broke_at >= kTogether) {
    endpoint = {now, {}, false, std::nullopt};
  }
  if (sent_at > endpoint.first_broke_at) {
    return false;
  }
  if (endpoint.ended) {
    news_.crashes.insert({request, KeyOf(instance)});
    return false;
  }
  endpoint.broke.push_back(request);
  if (endpoint.asked_at && now - *endpoint.asked_at < kAskEvery) {
    return false;
  }
  endpoint.asked_at = now;
  return true;
}

void CrashWatch::Ended(const std::string& instance, TimePoint now) {
  const auto found = endpoints_.find(instance);
  if (found == endpoints_.end() || now - found->second.first_broke_at >= kTogether) {
    return;
  }
  found->second.ended = true;
  for (const RequestDigest& request : std::exchange(found->second.broke, {})) {
    news_.crashes.insert({request, KeyOf(instance)});
  }
}

void CrashWatch::Answered(const RequestDigest& request, const QuarantineListPtr& list) {
  if (list && (list->suspects.contains(request) || list->quarantined.contains(request))) {
    news_.cleared.insert(request);
  }
  if (!answered_.insert(request).second) {
    return;
  }
  answered_order_.push_back(request);
  if (answered_order_.size() > kMostAnswered) {
    answered_.erase(answered_order_.front());
    answered_order_.pop_front();
  }
}

CrashNews CrashWatch::Take() {
  return std::exchange(news_, {});
}

void CrashWatch::Trim(TimePoint now) {
  std::erase_if(endpoints_,
                [&](const auto& entry) { return now - entry.second.first_broke_at >= kTogether; });
}

}  // namespace rudderloom
