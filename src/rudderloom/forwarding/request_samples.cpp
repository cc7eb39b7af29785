#include "forwarding/request_samples.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

namespace rudderloom {

namespace {

// Used until answers of the model have been observed.
constexpr Duration kAssumedHoldTime{1'000};

}  // namespace

Duration OfferedTime(const WorkModel& work,
                     const std::string& service,
                     const RequestMetadata& terms) {
  const Duration known = work.HoldTime(service, terms.model, terms.tokens_out) +
                         work.Forecast(service, terms.model, {terms.tokens_in, 0}).first_event;
  return known > Duration(0) ? known : kAssumedHoldTime;
}

Duration BacklogTime(const WorkModel& work,
                     const std::string& service,
                     const RequestMetadata& terms,
                     std::uint32_t ahead,
                     std::uint32_t slots) {
  const Duration prompt_time = work.PromptTime(service, terms.model, terms.tokens_in * ahead);
  const Duration hold_time = work.HoldTime(service, terms.model, terms.tokens_out);
  return std::max(prompt_time, EstimateSlotWait(ahead, slots, hold_time));
}

ScopedUnitCount::ScopedUnitCount(std::map<UnitName, UnitCount>& counts,
                                 std::vector<UnitName> units,
                                 std::uint32_t UnitCount::*as)
    : counts_(counts), units_(std::move(units)), counter_(as) {
  for (const UnitName& unit : units_) {
    ++(counts_[unit].*counter_);
  }
}

ScopedUnitCount::~ScopedUnitCount() {
  for (const UnitName& unit : units_) {
    --(counts_[unit].*counter_);
  }
}

void RecordStream(const CompletedStream& stream, WorkModel& work) {
  const StreamPace& pace = stream.pace;
  if (!pace.first_at) {
    return;
  }
  StreamSample sample;
  sample.work = stream.choice.work;
  sample.tokens_out = stream.terms.tokens_out;
  sample.first_event = Between(stream.sent_at, *pace.first_at);
  sample.longest_pause = pace.longest_pause;
  sample.hold_time = Between(*pace.first_at, pace.last_at);
  sample.waited_for_slot = sample.work.requests >= stream.slots;
  work.RecordStream(stream.service, stream.terms.model, sample);
}

}  // namespace rudderloom
