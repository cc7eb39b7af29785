#include "rudderloom/stream_versions/version_book.hpp"

#include <algorithm>  // for all_of

namespace rudderloom {

namespace {

// Longer than any stream and its client's attempts to take it up.
constexpr Duration kRetention{60'000};
constexpr std::size_t kMaxEntries = 200'000;
constexpr std::size_t kMaxIdLength = 64;  // characters

bool IsRecordable(const std::string& began_as) {
  constexpr char kFirstPrintable = '!';
  constexpr char kLastPrintable = '~';
  return !began_as.empty() && began_as.size() <= kMaxIdLength &&
         std::all_of(began_as.begin(), began_as.end(), [](char character) {
           return character >= kFirstPrintable && character <= kLastPrintable;
         });
}

}  // namespace

void VersionBook::Record(const StreamStart& start, TimePoint now) {
  Trim(now);
  if (!IsRecordable(start.began_as)) {
    return;
  }
  const auto known = entries_.find(start.began_as);
  if (known != entries_.end() && known->second.attempt > start.attempt) {
    return;
  }
  entries_[start.began_as] = {start.software_version, now, start.attempt};
  order_.push_back({start.began_as, now});
}

void VersionBook::RecordSaved(const StreamStart& start, TimePoint now) {
  Trim(now);
  if (!IsRecordable(start.began_as)) {
    return;
  }
  if (order_.size() >= kMaxEntries) {
    dropped_at_ = now;
    return;
  }
  const auto [entry, added] =
      entries_.try_emplace(start.began_as, Entry{start.software_version, now, start.attempt});
  if (added) {
    order_.push_back({start.began_as, now, true});
  }
}

StreamStarts VersionBook::TakeUnsaved(std::size_t count) {
  StreamStarts starts;
  for (; next_unsaved_ < order_.size() && starts.size() < count; ++next_unsaved_) {
    const Recorded& recorded = order_[next_unsaved_];
    const auto entry = entries_.find(recorded.began_as);
    if (!recorded.saved && entry != entries_.end()) {
      starts.push_back({recorded.began_as, entry->second.software_version});
    }
  }
  return starts;
}

std::string VersionBook::Find(const std::string& began_as) const {
  const auto found = entries_.find(began_as);
  return found == entries_.end() ? std::string() : found->second.software_version;
}

StreamStarts VersionBook::All() const {
  StreamStarts starts;
  starts.reserve(entries_.size());
  for (const auto& [began_as, entry] : entries_) {
    starts.push_back({began_as, entry.software_version, entry.attempt});
  }
  return starts;
}

bool VersionBook::WouldKnow(const std::string& began_as, TimePoint now) const {
  return IsRecordable(began_as) && now - dropped_at_ >= kRetention;
}

void VersionBook::Trim(TimePoint now) {
  while (!order_.empty() &&
         (now - order_.front().at >= kRetention || order_.size() > kMaxEntries)) {
    dropped_at_ = now - order_.front().at < kRetention ? now : dropped_at_;
    const auto entry = entries_.find(order_.front().began_as);
    if (entry != entries_.end() && entry->second.recorded_at == order_.front().at) {
      entries_.erase(entry);
    }
    order_.pop_front();
    next_unsaved_ -= next_unsaved_ > 0 ? 1 : 0;
  }
}

}  // namespace rudderloom
