#include "rudderloom/quarantine/quarantine_trials.hpp"

namespace rudderloom {

namespace {

// Long enough for crashed endpoints to be back, and for reports from all nodes.
constexpr Duration kFirstTrialDelay{20'000};
constexpr int kPauseGrowth = 5;

}  // namespace

void QuarantineTrials::Follow(const QuarantineListPtr& list, TimePoint now) {
  if (list == list_) {
    return;
  }
  list_ = list;
  std::erase_if(
      parts_, [&](const auto& entry) { return !list || !list->quarantined.contains(entry.first); });
  if (!list) {
    return;
  }
  for (const RequestDigest& digest : list->quarantined) {
    if (IsPromptPart(digest)) {
      parts_.try_emplace(digest, Schedule{now + kFirstTrialDelay, kFirstTrialDelay});
    }
  }
}

bool QuarantineTrials::Take(const RequestDigest& part, TimePoint now) {
  const auto found = parts_.find(part);
  if (found == parts_.end() || now < found->second.next_at) {
    return false;
  }
  Schedule& schedule = found->second;
  schedule.pause *= kPauseGrowth;
  schedule.next_at = now + schedule.pause;
  return true;
}

}  // namespace rudderloom
