#include "rudderloom/attempts/event_sequence.hpp"

#include <algorithm>   // for max
#include <functional>  // for hash

namespace rudderloom {

namespace {

// After so many equal steps an id is right: a wrong one would have had to fit its neighbours.
constexpr std::uint32_t kConfirmingSteps = 2;

std::size_t HashOf(const StreamEvent& event) {
  return std::hash<std::string>{}(event.text);
}

}  // namespace

EventSequence EventSequence::Consecutive() {
  EventSequence sequence;
  sequence.first_ = 0;
  sequence.step_ = 1;
  sequence.regular_steps_ = kConfirmingSteps;
  return sequence;
}

void EventSequence::BeginAttempt() {
  has_new_event_ = false;
  repeated_.reset();
}

EventSequence::Verdict EventSequence::Take(const StreamEvent& event) {
  if (!resumable_) {
    return Verdict::kPass;
  }
  const Verdict verdict = IsFurtherAttempt() ? TakeFirst(event) : TakeNext(event);
  if (verdict == Verdict::kPass && event.id) {
    last_ = event.id;
    last_text_ = HashOf(event);
    has_new_event_ = true;
  }
  return verdict;
}

bool EventSequence::MayEnd() const {
  if (!resumable_ || !IsFurtherAttempt()) {
    return true;
  }
  return repeated_ ? repeated_ == last_ : regular_steps_ >= kConfirmingSteps;
}

bool EventSequence::RepeatsLast(const StreamEvent& event) const {
  return event.id == last_ && HashOf(event) == last_text_;
}

// The last event of an attempt, and the first of the next one, may be closer to their neighbours
// than others.
bool EventSequence::IsLongStep(std::uint64_t id) const {
  return step_ && id - *last_ > *step_;
}

// An event of a further attempt that has sent none yet that the client hasn't received.
EventSequence::Verdict EventSequence::TakeFirst(const StreamEvent& event) {
  if (!event.id) {
    return Verdict::kGap;
  }
  if (*event.id <= *last_) {
    repeated_ = event.id;
    return event.id == last_ && !RepeatsLast(event) ? Verdict::kGap : Verdict::kDuplicate;
  }
  const bool skips = repeated_ && repeated_ != last_;
  return skips || IsLongStep(*event.id) ? Verdict::kGap : Verdict::kPass;
}

EventSequence::Verdict EventSequence::TakeNext(const StreamEvent& event) {
  if (!event.id) {
    resumable_ = false;
    return Verdict::kPass;
  }
  if (!last_) {
    return first_ && event.id != first_ ? Verdict::kGap : Verdict::kPass;
  }
  if (RepeatsLast(event)) {
    return Verdict::kDuplicate;
  }
  if (*event.id <= *last_) {
    return RejectOrGiveUp(regular_steps_ >= kConfirmingSteps);
  }
  if (IsLongStep(*event.id)) {
    return RejectOrGiveUp(regular_steps_ > 0);
  }
  RecordStep(*event.id - *last_);
  return Verdict::kPass;
}

EventSequence::Verdict EventSequence::RejectOrGiveUp(bool last_is_right) {
  if (last_is_right) {
    return Verdict::kGap;
  }
  resumable_ = false;
  misnumbered_ = true;
  return Verdict::kPass;
}

void EventSequence::RecordStep(std::uint64_t step) {
  const bool is_regular = !step_ || step == *step_;
  regular_steps_ = is_regular ? regular_steps_ + 1 : 0;
  step_ = std::max(step, step_.value_or(0));
}

}  // namespace rudderloom
