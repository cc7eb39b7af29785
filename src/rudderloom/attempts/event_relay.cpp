#include "rudderloom/attempts/event_relay.hpp"

namespace rudderloom {

namespace {

constexpr std::string_view kDoneEvent = "data: [DONE]";

}  // namespace

EventRelay::Verdict EventRelay::Feed(std::string_view chunk, std::string& out) {
  framer_.Feed(chunk);
  while (const auto event = framer_.Next()) {
    if (AppendEvent(*event, out) == Verdict::kGap) {
      return Verdict::kGap;
    }
  }
  return framer_.PartialBytes() > kMaxEventBytes ? Verdict::kTooLong : Verdict::kOk;
}

void EventRelay::NextAttempt() {
  framer_ = EventFramer();
  sequence_.BeginAttempt();
}

std::int64_t EventRelay::LastId() const {
  constexpr std::int64_t kNone = -1;
  return sequence_.Last() ? static_cast<std::int64_t>(*sequence_.Last()) : kNone;
}

EventRelay::Verdict EventRelay::AppendEvent(const StreamEvent& event, std::string& out) {
  if (done_) {
    return Verdict::kOk;
  }
  if (event.text.starts_with(kDoneEvent)) {
    if (!sequence_.MayEnd()) {
      return Verdict::kGap;
    }
    done_ = true;
    out += event.text;
    return Verdict::kOk;
  }
  const EventSequence::Verdict verdict = sequence_.Take(event);
  if (verdict == EventSequence::Verdict::kGap) {
    return Verdict::kGap;
  }
  if (verdict == EventSequence::Verdict::kPass) {
    out += event.text;
  }
  return Verdict::kOk;
}

}  // namespace rudderloom
