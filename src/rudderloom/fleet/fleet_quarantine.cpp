// Requests that crash endpoints: what this node has seen, on its way to the holder of the lease,
// and the holder's list, on its way back and to traffic.
#include <utility>  // for move

#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

// In the lease's record, 34 bytes each. More of them are known to the nodes that live.
constexpr std::size_t kMostInLease = 64;

void LogChanges(const QuarantineList& before, const QuarantineList& after) {
  for (const RequestDigest& request : after.quarantined) {
    if (!before.quarantined.contains(request)) {
      LogLine("request_quarantined", Severity::kWarning).With("request", TextOf(request));
    }
  }
  for (const RequestDigest& request : before.quarantined) {
    if (!after.quarantined.contains(request)) {
      LogLine("quarantine_ended").With("request", TextOf(request));
    }
  }
}

}  // namespace

// What this node's requests met, or another node's that reports here.
void FleetState::TakeCrashNews(const CrashNews& news, TimePoint now) {
  if (news.Empty()) {
    return;
  }
  // Three ends are soon over: whoever counts them hears of each at once.
  const bool is_new = news_log_.Add(news, now);
  urgent_ = urgent_ || is_new;
  if (crash_book_.Take(news, now)) {
    QuarantineChanged();
  }
}

// Another node answers with what it is telling the holder. That is not told on: the nodes that saw
// it do so for long enough.
void FleetState::HearCrashNews(const CrashNews& news, TimePoint now) {
  if (!news.Empty() && crash_book_.Take(news, now)) {
    QuarantineChanged();
  }
}

// Nodes that ask this one must hear other news than those of its last statement.
bool FleetState::NewsToTell(TimePoint now) {
  CrashNews news = news_log_.Current(now);
  if (news == told_news_) {
    return false;
  }
  told_news_ = std::move(news);
  return true;
}

// The holder's book replaces this node's. What this node goes on telling the holder may not be in
// it yet.
void FleetState::TakeQuarantine(const QuarantineTable& table, TimePoint now) {
  const bool replaced = crash_book_.Replace(table.entries, now);
  const bool added = crash_book_.Take(news_log_.Current(now), now);
  quarantine_version_ = table.version;
  if (replaced || added) {
    QuarantineChanged();
  }
}

// The lease was taken: the book of this node counts from now on. One that has heard no holder knows
// what the lease's record tells.
void FleetState::BeginQuarantine(const FormerLease& lease, TimePoint now) {
  crash_book_.Restore(lease.quarantined, now);
  quarantine_changes_ = 0;
  QuarantineChanged();
}

void FleetState::QuarantineChanged() {
  if (holds_) {
    constexpr unsigned kHalf = 32;
    quarantine_version_ = (lease_.Epoch() << kHalf) | (++quarantine_changes_ & 0xffffffffU);
    lease_.NoteQuarantined(crash_book_.Quarantined(kMostInLease));
  }
  auto list = std::make_shared<const QuarantineList>(crash_book_.List());
  const QuarantineList before = quarantine_ ? *quarantine_ : QuarantineList();
  if (*list == before) {
    return;
  }
  LogChanges(before, *list);
  quarantine_ = list->Empty() ? nullptr : std::move(list);
  ChangedForTraffic();
}

void FleetState::ExpireQuarantine(TimePoint now) {
  if (crash_book_.Expire(now)) {
    QuarantineChanged();
  }
}

// Null while there is nothing to tell.
std::shared_ptr<const QuarantineTable> FleetState::MakeQuarantineTable(TimePoint now) const {
  std::vector<SuspectEntry> entries = crash_book_.Told(now);
  if (entries.empty()) {
    return nullptr;
  }
  return std::make_shared<const QuarantineTable>(
      QuarantineTable{quarantine_version_, std::move(entries)});
}

}  // namespace rudderloom
