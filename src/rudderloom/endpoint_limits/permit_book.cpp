#include "rudderloom/endpoint_limits/permit_book.hpp"

#include <algorithm>  // for clamp, max, min

namespace rudderloom {

namespace {

// An endpoint that announces less still gets occasional requests, whose answers show the end of the
// limit.
constexpr double kMinRequestsPerSecond = 0.05;
constexpr Duration kTrimInterval{10'000};
// After a refusal for want of a slot: undecided requests have been decided by then.
constexpr Duration kSlotRetryDelay = kRejectionDelay + Duration(5);
constexpr std::uint32_t kDeputyShareDivisor = 3;
constexpr double kMaxRejections = 1'000'000.0;

TimePoint::duration Interval(double requests_per_second) {
  const double seconds = 1.0 / std::max(kMinRequestsPerSecond, requests_per_second);
  return std::chrono::ceil<TimePoint::duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

std::string_view NameOf(PermitVerdict verdict) {
  switch (verdict) {
    case PermitVerdict::kNotGranting:
      return "not_granting";
    case PermitVerdict::kGranted:
      return "granted";
    case PermitVerdict::kRefused:
      return "refused";
  }
  return "unknown";
}

std::uint32_t RejectionShare(double rejections_per_second, bool is_holder) {
  const auto tolerated =
      static_cast<std::uint32_t>(std::clamp(rejections_per_second, 0.0, kMaxRejections));
  const std::uint32_t deputy_share = tolerated / kDeputyShareDivisor;
  // An endpoint that tolerates none still gets a request at a time.
  return is_holder ? std::max(1U, tolerated - deputy_share) : deputy_share;
}

PermitAnswer PermitBook::Ask(const PermitRequest& ask, const PermitBasis& basis, TimePoint now) {
  const bool is_early =
      (ask.requests_per_second && now < basis.valid_from) || (ask.slot && now < basis.slots_from);
  if (is_early || now >= basis.valid_until) {
    return {};
  }
  Trim(now);
  TimePoint start = now;
  if (ask.requests_per_second) {
    start = std::max(now, next_at_[ask.endpoint]);
  }
  PermitAnswer answer{PermitVerdict::kGranted, std::chrono::ceil<Duration>(start - now), 0};
  if (answer.wait > std::min(ask.max_wait, kMaxPermitWait) || start >= basis.valid_until) {
    return {PermitVerdict::kRefused, answer.wait, 0};
  }
  if (ask.slot) {
    const std::uint32_t max_rejections =
        RejectionShare(ask.slot->rejections_per_second, now >= basis.holder_share_from);
    const auto grant = slots_.Ask(ask.endpoint, *ask.slot, max_rejections, now);
    if (!grant) {
      return {PermitVerdict::kRefused, kSlotRetryDelay, 0};
    }
    answer.grant = *grant;
  }
  if (ask.requests_per_second) {
    next_at_[ask.endpoint] = start + Interval(*ask.requests_per_second * basis.fraction);
  }
  return answer;
}

PermitAnswer PermitBook::AskInFlight(EndpointKey endpoint,
                                     const InFlightTerms& terms,
                                     TimePoint now) {
  const InFlightDecision decision = slots_.AskInFlight(endpoint, terms, now);
  if (const auto* refusal = std::get_if<InFlightRefusal>(&decision)) {
    return {PermitVerdict::kRefused, refusal->wait, 0, true};
  }
  return {PermitVerdict::kGranted, Duration(0), std::get<GrantId>(decision), true};
}

PermitAnswer PermitBook::AskForTurn(EndpointKey endpoint,
                                    const SpacingTerms& terms,
                                    TimePoint now) {
  Trim(now);
  TimePoint& next = next_turn_at_[endpoint];
  const TimePoint turn = std::max(now, next);
  const Duration wait = std::chrono::ceil<Duration>(turn - now);
  if (wait > terms.max_wait) {
    return {PermitVerdict::kRefused, wait, 0, true};
  }
  next = turn + std::clamp(terms.interval, Duration(0), kMaxSpacing);
  return {PermitVerdict::kGranted, wait, 0, true};
}

void PermitBook::Trim(TimePoint now) {
  if (now - trimmed_at_ < kTrimInterval) {
    return;
  }
  trimmed_at_ = now;
  std::erase_if(next_at_, [&](const auto& entry) { return entry.second <= now; });
  std::erase_if(next_turn_at_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace rudderloom
