#include "rudderloom/endpoint_limits/slot_book.hpp"

#include <algorithm>  // for max
#include <limits>     // for numeric_limits

namespace rudderloom {

namespace {

// Between a rejection and the next request beyond what the endpoint has accepted.
constexpr Duration kTrialInterval{1'000};
constexpr Duration kTrimInterval{10'000};
constexpr Duration kRetention = kMaxInFlightHold;  // no granted request counts longer

}  // namespace

std::optional<GrantId> SlotBook::Ask(EndpointKey key,
                                     const SlotTerms& terms,
                                     std::uint32_t max_rejections,
                                     TimePoint now) {
  Trim(now);
  Endpoint& endpoint = endpoints_[key];
  endpoint.last_asked_at = now;
  Expire(endpoint, now);
  if (endpoint.undecided.size() + endpoint.rejected_at.size() >= max_rejections) {
    return std::nullopt;
  }
  const std::size_t occupied = endpoint.undecided.size() + endpoint.accepted.size();
  const std::size_t slots = terms.slots > 0 ? terms.slots : std::numeric_limits<std::size_t>::max();
  if (occupied >= slots) {
    return std::nullopt;
  }
  const bool beyond_room = endpoint.room && occupied >= *endpoint.room;
  const bool may_try = endpoint.undecided.empty() && now >= endpoint.next_trial_at;
  if (beyond_room && !may_try) {
    return std::nullopt;
  }
  const GrantId grant = ++last_grant_;
  endpoint.undecided[grant] = {now + kGrantLifetime, now + terms.max_hold};
  return grant;
}

InFlightDecision SlotBook::AskInFlight(EndpointKey key, const InFlightTerms& terms, TimePoint now) {
  Trim(now);
  Endpoint& endpoint = endpoints_[key];
  endpoint.last_asked_at = now;
  return endpoint.in_flight.Ask(++last_grant_, terms, now);
}

void SlotBook::Report(const SlotReport& report, TimePoint now) {
  const auto found = endpoints_.find(report.endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  Endpoint& endpoint = found->second;
  RecordInFlight(endpoint.in_flight, report, now);
  if (report.outcome != SlotOutcome::kAccepted) {
    endpoint.accepted.erase(report.grant);
  }
  if (report.outcome == SlotOutcome::kUnknown) {
    return;
  }
  const auto undecided = endpoint.undecided.extract(report.grant);
  if (undecided.empty()) {
    return;
  }
  const auto accepted = static_cast<std::uint32_t>(endpoint.accepted.size());
  switch (report.outcome) {
    case SlotOutcome::kUnsent:
    case SlotOutcome::kUnknown:
      break;
    case SlotOutcome::kRejected:
      endpoint.rejected_at.push_back(now);
      endpoint.room = accepted;
      endpoint.next_trial_at = now + kTrialInterval;
      break;
    case SlotOutcome::kAccepted:
      endpoint.accepted[report.grant] = undecided.mapped().ends_at;
      [[fallthrough]];
    case SlotOutcome::kEnded:
      if (endpoint.room) {
        endpoint.room = std::max(*endpoint.room, accepted + 1);
      }
      break;
  }
}

void SlotBook::RecordInFlight(InFlightWork& work, const SlotReport& report, TimePoint now) {
  switch (report.outcome) {
    case SlotOutcome::kUnknown:
      break;  // It may still run.
    case SlotOutcome::kAccepted:
      work.Accepted(report.grant, now);
      break;
    case SlotOutcome::kRejected:
      work.Rejected(report.grant, now);
      break;
    case SlotOutcome::kUnsent:
      work.Unsent(report.grant, now);
      break;
    case SlotOutcome::kEnded:
      work.Ended(report.grant, now);
      break;
  }
}

void SlotBook::Expire(Endpoint& endpoint, TimePoint now) {
  std::erase_if(endpoint.undecided,
                [&](const auto& entry) { return entry.second.counts_until <= now; });
  std::erase_if(endpoint.accepted, [&](const auto& entry) { return entry.second <= now; });
  while (!endpoint.rejected_at.empty() && endpoint.rejected_at.front() + kRejectionWindow <= now) {
    endpoint.rejected_at.pop_front();
  }
}

void SlotBook::Trim(TimePoint now) {
  if (now - trimmed_at_ < kTrimInterval) {
    return;
  }
  trimmed_at_ = now;
  std::erase_if(endpoints_,
                [&](const auto& entry) { return now - entry.second.last_asked_at > kRetention; });
}

}  // namespace rudderloom
