#include "forwarding/request_samples.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

namespace rudderloom {

namespace {

// As long as nothing is known of a model's answers.
constexpr Duration kAssumedHold{1'000};
// A sample of how long a prompt takes to read comes from an endpoint with at most this part of its
// places taken: on a fuller one the prompts of others are read in between.
constexpr std::uint32_t kQuietPart = 2;

}  // namespace

Duration OfferedTime(const ServiceTimes& times,
                     const std::string& service,
                     const RequestTerms& terms) {
  const Duration known = times.HoldTime(service, terms.model, terms.tokens_out) +
                         times.TypicalFirstEventTime(service, terms.model);
  return known > Duration(0) ? known : kAssumedHold;
}

Duration BacklogTime(const ServiceTimes& times,
                     const std::string& service,
                     const RequestTerms& terms,
                     std::uint32_t ahead,
                     std::uint32_t slots) {
  const double tokens_per_millisecond = times.TokensPerMillisecond(service, terms.model);
  const double unread_tokens = static_cast<double>(terms.tokens_in) * ahead;
  const Duration prompt_time(
      tokens_per_millisecond > 0.0
          ? static_cast<Duration::rep>(unread_tokens / tokens_per_millisecond)
          : 0);
  const Duration hold = times.HoldTime(service, terms.model, terms.tokens_out);
  return std::max(prompt_time, WaitForPlace(ahead, slots, hold));
}

CountedRequest::CountedRequest(std::map<UnitName, UnitCount>& counts,
                               std::vector<UnitName> units,
                               std::uint32_t UnitCount::*as)
    : counts_(counts), units_(std::move(units)), as_(as) {
  for (const UnitName& unit : units_) {
    ++(counts_[unit].*as_);
  }
}

CountedRequest::~CountedRequest() {
  for (const UnitName& unit : units_) {
    --(counts_[unit].*as_);
  }
}

void LearnTimes(const WholeStream& stream, ServiceTimes& times) {
  const StreamPace& pace = stream.pace;
  if (!pace.first_at) {
    return;
  }
  const RequestTerms& terms = stream.terms;
  times.Served(stream.service, terms.model, terms.tokens_out,
               Between(*pace.first_at, pace.last_at));
  const EndpointLoad& before = stream.choice.load;
  if (before.requests * kQuietPart <= stream.slots && before.unread_tokens == 0) {
    times.Began(stream.service, terms.model, stream.choice.added.unread_tokens,
                Between(stream.sent_at, *pace.first_at));
  }
}

}  // namespace rudderloom
