// Requests that crash endpoints: sends what this node has seen to the lease holder, and applies the
// holder's list to this node's request handling.
#include <utility>  // for move

#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

// Limit for the lease record, at 34 bytes per entry. Running nodes know of more than these.
constexpr std::size_t kMaxQuarantinedInLease = 64;

void LogChange(std::string_view event, Severity severity, const RequestDigest& digest) {
  LogLine line(event, severity);
  line.With("request", TextOf(digest));
  if (const auto part = PromptPartOf(digest)) {
    line.With("prompt_part", *part);
  }
}

void LogChanges(const QuarantineList& before, const QuarantineList& after) {
  for (const RequestDigest& request : after.quarantined) {
    if (!before.quarantined.contains(request)) {
      LogChange("request_quarantined", Severity::kWarning, request);
    }
  }
  for (const RequestDigest& request : before.quarantined) {
    if (!after.quarantined.contains(request)) {
      LogChange("quarantine_ended", Severity::kInfo, request);
    }
  }
}

}  // namespace

// Records crashes seen by this node's requests, or by a node that reports here.
void FleetState::RecordCrashNews(const CrashNews& news, TimePoint now) {
  if (news.Empty()) {
    return;
  }
  // Three crashes happen within a short time, so the node that counts them must learn of each at
  // once.
  const bool is_new = news_log_.Add(news, now);
  report_urgent_ = report_urgent_ || is_new;
  if (crash_book_.Take(news, now)) {
    QuarantineChanged();
  }
}

// Applies what another node reports to the holder, taken from its answer. It is not forwarded: the
// nodes that saw the crashes report them for long enough.
void FleetState::ApplyPeerCrashNews(const CrashNews& news, TimePoint now) {
  if (!news.Empty() && crash_book_.Take(news, now)) {
    QuarantineChanged();
  }
}

// Returns true when the statement for nodes that report here needs newer crash news.
bool FleetState::UpdatePublishedNews(TimePoint now) {
  CrashNews news = news_log_.Current(now);
  if (news == published_news_) {
    return false;
  }
  published_news_ = std::move(news);
  return true;
}

// Replaces this node's book by the holder's, which may not include yet what this node still reports
// to the holder.
void FleetState::ApplyQuarantine(const QuarantineTable& table, TimePoint now) {
  const bool replaced = crash_book_.Replace(table.entries, now);
  const bool added = crash_book_.Take(news_log_.Current(now), now);
  quarantine_version_ = table.version;
  if (replaced || added) {
    QuarantineChanged();
  }
}

// Called when the lease is taken: from now on this node's book is authoritative. A node that has
// received no digest from a holder starts from the lease record.
void FleetState::RestoreQuarantine(const FormerLease& lease, TimePoint now) {
  crash_book_.Restore(lease.quarantined, now);
  quarantine_changes_ = 0;
  QuarantineChanged();
}

void FleetState::QuarantineChanged() {
  if (holds_lease_) {
    constexpr unsigned kHalf = 32;
    quarantine_version_ = (lease_.Epoch() << kHalf) | (++quarantine_changes_ & 0xffffffffU);
    lease_.SetQuarantined(crash_book_.Quarantined(kMaxQuarantinedInLease));
  }
  auto list = std::make_shared<const QuarantineList>(crash_book_.List());
  const QuarantineList before = quarantine_ ? *quarantine_ : QuarantineList();
  if (*list == before) {
    return;
  }
  LogChanges(before, *list);
  quarantine_ = list->Empty() ? nullptr : std::move(list);
  MarkViewUrgent();
}

void FleetState::ExpireQuarantine(TimePoint now) {
  if (crash_book_.Expire(now)) {
    QuarantineChanged();
  }
}

// Returns null while the table is empty.
std::shared_ptr<const QuarantineTable> FleetState::MakeQuarantineTable(TimePoint now) const {
  std::vector<SuspectEntry> entries = crash_book_.PublishedEntries(now);
  if (entries.empty()) {
    return nullptr;
  }
  return std::make_shared<const QuarantineTable>(
      QuarantineTable{quarantine_version_, std::move(entries)});
}

}  // namespace rudderloom
