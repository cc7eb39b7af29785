#include "rudderloom/quarantine/crash_watch.hpp"

#include <utility>  // for exchange

namespace rudderloom {

namespace {

// Takes some 500 KB.
constexpr std::size_t kMaxAnswered = 4'096;
// Parts that sound requests share are answered again within this time. A part that begins to crash
// endpoints later is blamed once it is over.
constexpr Duration kPartAnsweredMemory{10'000};

}  // namespace

bool CrashWatch::RecordFailure(const std::string& instance,
                               const RequestDigests& request,
                               TimePoint sent_at,
                               TimePoint now) {
  RequestDigests suspects = request;
  std::erase_if(suspects,
                [&](const RequestDigest& digest) { return RecentlyAnswered(digest, now); });
  if (suspects.empty()) {
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
    AddCrashes(suspects, instance);
    return false;
  }
  endpoint.suspects.insert(endpoint.suspects.end(), suspects.begin(), suspects.end());
  return is_first;
}

void CrashWatch::Ended(const std::string& instance, TimePoint now) {
  const auto found = endpoints_.find(instance);
  if (found == endpoints_.end() || now - found->second.first_failure_at >= kCrashWindow) {
    return;
  }
  found->second.crashed = true;
  AddCrashes(std::exchange(found->second.suspects, {}), instance);
}

void CrashWatch::AddCrashes(const RequestDigests& suspects, const std::string& instance) {
  for (const RequestDigest& suspect : suspects) {
    news_.crashes.insert({suspect, KeyOf(instance)});
  }
}

void CrashWatch::Answered(const RequestDigests& request,
                          const QuarantineListPtr& list,
                          TimePoint now) {
  for (const RequestDigest& digest : request) {
    if (list && (list->suspects.contains(digest) || list->quarantined.contains(digest))) {
      news_.cleared.insert(digest);
    }
    RememberAnswered(digest, now);
  }
}

void CrashWatch::Review(const QuarantineList& list, TimePoint now) {
  for (const std::set<RequestDigest>* digests : {&list.suspects, &list.quarantined}) {
    for (const RequestDigest& digest : *digests) {
      if (RecentlyAnswered(digest, now)) {
        news_.cleared.insert(digest);
      }
    }
  }
}

void CrashWatch::RememberAnswered(const RequestDigest& request, TimePoint now) {
  if (!answered_.insert_or_assign(request, now).second) {
    return;
  }
  answered_order_.push_back(request);
  if (answered_order_.size() > kMaxAnswered) {
    answered_.erase(answered_order_.front());
    answered_order_.pop_front();
  }
}

bool CrashWatch::RecentlyAnswered(const RequestDigest& request, TimePoint now) const {
  const auto found = answered_.find(request);
  return found != answered_.end() &&
         (!IsPromptPart(request) || now - found->second < kPartAnsweredMemory);
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
