#include "forwarding/request_samples.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

namespace rudderloom {

namespace {

// Used until answers of the model have been observed.
constexpr Duration kAssumedHoldTime{1'000};
// Prompt times are sampled only if at most 1/kQuietDivisor of the endpoint's slots are taken: on a
// busier endpoint other prompts are processed in between.
constexpr std::uint32_t kQuietDivisor = 2;

}  // namespace

Duration OfferedTime(const ServiceTimes& times,
                     const std::string& service,
                     const RequestMetadata& terms) {
  const Duration known = times.HoldTime(service, terms.model, terms.tokens_out) +
                         times.TypicalFirstEventTime(service, terms.model);
  return known > Duration(0) ? known : kAssumedHoldTime;
}

Duration BacklogTime(const ServiceTimes& times,
                     const std::string& service,
                     const RequestMetadata& terms,
                     std::uint32_t ahead,
                     std::uint32_t slots) {
  const double tokens_per_millisecond = times.TokensPerMillisecond(service, terms.model);
  const double unread_tokens = static_cast<double>(terms.tokens_in) * ahead;
  const Duration prompt_time(
      tokens_per_millisecond > 0.0
          ? static_cast<Duration::rep>(unread_tokens / tokens_per_millisecond)
          : 0);
  const Duration hold_time = times.HoldTime(service, terms.model, terms.tokens_out);
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

void RecordServiceTimes(const CompletedStream& stream, ServiceTimes& times) {
  const StreamPace& pace = stream.pace;
  if (!pace.first_at) {
    return;
  }
  const RequestMetadata& terms = stream.terms;
  times.RecordAnswer(stream.service, terms.model, terms.tokens_out,
                     Between(*pace.first_at, pace.last_at));
  const EndpointLoad& before = stream.choice.load;
  if (before.requests * kQuietDivisor <= stream.slots && before.unread_tokens == 0) {
    times.RecordFirstEvent(stream.service, terms.model, stream.choice.added_load.unread_tokens,
                           Between(stream.sent_at, *pace.first_at));
  }
}

}  // namespace rudderloom
