#include "rudderloom/dissemination/source_choice.hpp"

#include <algorithm>  // for max

namespace rudderloom {

namespace {

// The word must have been fresh for so long before a node gives up its own watch.
constexpr Duration kTrustAfter{1'500};
// What a word tells is some 600 ms old on its way: where it must be younger, nodes would go to and
// fro between the word and the store.
constexpr Duration kLeastUseful{700};
// Parts of the oldest age at which nodes that others rely on ask the store themselves. What is left
// is the time in which the answer reaches those others: of 1.6 s each step has more than the 0.25 s
// between two reports and a call to the store. A word of a holder that is well is younger than
// half.
constexpr double kStandbyPart = 0.6;
constexpr double kRelayPart = 0.8;
// Part of the oldest age by which nodes that wait for a first word give up at different times.
constexpr double kSpreadPart = 0.5;

Duration PartOf(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

Duration OldestFor(NodeDuty duty, Duration oldest) {
  switch (duty) {
    case NodeDuty::kStandby:
      return PartOf(oldest, kStandbyPart);
    case NodeDuty::kRelay:
      return PartOf(oldest, kRelayPart);
    case NodeDuty::kNone:
    case NodeDuty::kHolder:
      return oldest;
  }
  return oldest;
}

}  // namespace

std::string_view NameOf(Following following) {
  switch (following) {
    case Following::kStore:
      return "store";
    case Following::kStoreOnce:
      return "store_once";
    case Following::kForOthers:
      return "store_for_others";
    case Following::kHolder:
      return "holder";
  }
  return "unknown";
}

SourceChoice::SourceChoice(Duration oldest, StartKind start, double spread)
    : oldest_(oldest),
      start_(start),
      wait_at_start_(oldest + PartOf(oldest, spread * kSpreadPart)) {}

std::optional<TimePoint> SourceChoice::ConfirmedAt() const {
  if (!confirmed_at_ || !word_confirmed_at_) {
    return confirmed_at_ ? confirmed_at_ : word_confirmed_at_;
  }
  return std::max(*confirmed_at_, *word_confirmed_at_);
}

void SourceChoice::NotTold() {
  may_wait_ = false;
  fresh_since_.reset();
  word_confirmed_at_.reset();
}

void SourceChoice::Heard(Duration age, TimePoint now) {
  if (!WordIsFresh(oldest_, now)) {
    fresh_since_.reset();
  }
  word_confirmed_at_ = now - age;
  if (!fresh_since_ && WordIsFresh(oldest_, now)) {
    fresh_since_ = now;
  }
}

bool SourceChoice::WordIsFresh(Duration oldest, TimePoint now) const {
  return word_confirmed_at_ && now - *word_confirmed_at_ <= oldest;
}

// From the start until the word has been fresh for long enough, or has not come in time.
bool SourceChoice::Waits(TimePoint now) {
  started_at_ = started_at_.value_or(now);
  const bool fresh = WordIsFresh(oldest_, now);
  may_wait_ = may_wait_ && (fresh || now - *started_at_ < wait_at_start_);
  return may_wait_;
}

Following SourceChoice::Choose(NodeDuty duty, TimePoint now) {
  if (oldest_ < kLeastUseful) {
    return Following::kStore;
  }
  if (duty == NodeDuty::kHolder) {
    fresh_since_.reset();
    may_wait_ = false;
    return Following::kForOthers;
  }
  if (!WordIsFresh(OldestFor(duty, oldest_), now)) {
    fresh_since_.reset();
  }
  if (fresh_since_ && now - *fresh_since_ >= kTrustAfter) {
    may_wait_ = false;
    return Following::kHolder;
  }
  if (Waits(now)) {
    return start_ == StartKind::kFirst ? Following::kHolder : Following::kStoreOnce;
  }
  return duty == NodeDuty::kNone ? Following::kStore : Following::kForOthers;
}

}  // namespace rudderloom
