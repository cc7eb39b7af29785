#include "rudderloom/quarantine/crash_watch.hpp"

#include <utility>  // for exchange

namespace rudderloom {

namespace {

// Number of requests that a node answers in about a minute; takes some 500 KB.
constexpr std::size_t kMaxAnswered = 4'096;

}  // namespace

bool CrashWatch::RecordFailure(const std::string& instance,
                               const RequestDigest& request,
                               TimePoint sent_at,
                               TimePoint now) {
  if (RecentlyAnswered(request)) {
    return false;
  }
  Endpoint& endpoint = endpoints_[instance];
  const bool is_first =
      endpoint.first_failure_at == TimePoint() || now - endpoint.first_failure_at >= kCrashWindow;
  if (is_first) {
    endpoint = {now, {}, false};
  }
  if (sent_at > endpoint.first_failure_at) {
    return false;
  }
  if (endpoint.crashed) {
    news_.crashes.insert({request, KeyOf(instance)});
    return false;
  }
  endpoint.failed_requests.push_back(request);
  return is_first;
}

void CrashWatch::Ended(const std::string& instance, TimePoint now) {
  const auto found = endpoints_.find(instance);
  if (found == endpoints_.end() || now - found->second.first_failure_at >= kCrashWindow) {
    return;
  }
  found->second.crashed = true;
  for (const RequestDigest& request : std::exchange(found->second.failed_requests, {})) {
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
  if (answered_order_.size() > kMaxAnswered) {
    answered_.erase(answered_order_.front());
    answered_order_.pop_front();
  }
}

CrashNews CrashWatch::Take() {
  return std::exchange(news_, {});
}

void CrashWatch::Trim(TimePoint now) {
  std::erase_if(endpoints_, [&](const auto& entry) {
    return now - entry.second.first_failure_at >= kCrashWindow;
  });
}

}  // namespace rudderloom
