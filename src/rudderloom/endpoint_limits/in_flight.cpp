#include "rudderloom/endpoint_limits/in_flight.hpp"

#include <algorithm>  // for clamp, max, min

namespace rudderloom {

namespace {

// Assumed until a request has ended: an estimate of a wait that is too short costs one more ask.
constexpr Duration kInitialHold{200};
// Weight of the latest request in the typical hold time.
constexpr int kHoldSmoothing = 8;
// A shorter hold ends before the request can have reached the endpoint and been reported on.
constexpr Duration kMinHold{100};
// Requests of one kind pass the same limit; there are few kinds.
constexpr std::size_t kMaxTurns = 32;

// Terms arrive from other nodes: wrong ones change a decision within bounds.
InFlightTerms Bounded(InFlightTerms terms) {
  terms.cost = std::clamp(terms.cost, 1U, kMaxInFlightCost);
  terms.limit = std::clamp(terms.limit, 1U, kMaxInFlightCost);
  terms.max_hold = std::clamp(terms.max_hold, kMinHold, kMaxInFlightHold);
  return terms;
}

}  // namespace

InFlightDecision InFlightWork::Ask(GrantId grant, const InFlightTerms& asked, TimePoint now) {
  InFlightTerms known = asked;
  if (asked.limit == kLimitOfOthers) {
    known.limit = LimitOfOthers(now);
  } else {
    RecordLimit(asked.limit, now);
  }
  const InFlightTerms terms = Bounded(known);
  Expire(now);
  first_asked_at_ = first_asked_at_.value_or(now);
  const std::uint32_t limit = EffectiveLimit(terms.limit, now);
  // A request is always granted when nothing else is in flight, so that none starves.
  const bool fits = requests_.empty() || Total(now) + terms.cost <= limit;
  if (!fits || requests_.size() >= kMaxInFlightRequests) {
    return InFlightRefusal{WaitInTurn(terms, WaitFor(terms.cost, limit, now), now)};
  }
  if (requests_.empty()) {
    oldest_since_ = now;
  }
  const TimePoint counts_until = now + terms.max_hold;
  requests_[grant] = {terms.cost, terms.limit, terms.until, now, counts_until};
  cost_ += terms.cost;
  next_expiry_ = std::min(next_expiry_, counts_until);
  return grant;
}

std::uint32_t InFlightWork::LimitOfOthers(TimePoint now) const {
  const bool recent = others_limit_ > 0 && now - others_limit_at_ < kOthersLimitTime;
  return recent ? others_limit_ : kFirstInFlightLimit;
}

void InFlightWork::RecordLimit(std::uint32_t limit, TimePoint now) {
  if (limit >= others_limit_ || now - others_limit_at_ >= kOthersLimitTime) {
    others_limit_ = limit;
    others_limit_at_ = now;
  }
}

void InFlightWork::Accepted(GrantId grant, TimePoint now) {
  const auto found = requests_.find(grant);
  if (found != requests_.end() && found->second.until == InFlightUntil::kAnswerBegins) {
    Remove(grant, now);
  }
}

void InFlightWork::Ended(GrantId grant, TimePoint now) {
  const auto found = requests_.find(grant);
  if (found == requests_.end()) {
    return;
  }
  const auto held = std::chrono::floor<Duration>(now - found->second.granted_at);
  typical_hold_ = has_hold_ ? typical_hold_ + (held - typical_hold_) / kHoldSmoothing : held;
  has_hold_ = true;
  Remove(grant, now);
}

void InFlightWork::Rejected(GrantId grant, TimePoint now) {
  const auto found = requests_.find(grant);
  if (found == requests_.end()) {
    return;
  }
  const std::uint32_t before = EffectiveLimit(found->second.limit, now);
  Remove(grant, now);
  lowered_ = Lowered{std::max(Total(now), before / 2), now};
}

std::uint32_t InFlightWork::Total(TimePoint now) const {
  return static_cast<std::uint32_t>(cost_ - Progress(now));
}

bool InFlightWork::Remove(GrantId grant, TimePoint now) {
  const auto found = requests_.find(grant);
  if (found == requests_.end()) {
    return false;
  }
  if (found == requests_.begin()) {
    oldest_since_ = now;
  }
  cost_ -= found->second.cost;
  requests_.erase(found);
  return true;
}

// Scans only when a request may have expired, so that an ask takes the same time however many
// requests are in flight.
void InFlightWork::Expire(TimePoint now) {
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = TimePoint::max();
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    const Request& request = entry->second;
    if (request.counts_until > now) {
      next_expiry_ = std::min(next_expiry_, request.counts_until);
      ++entry;
      continue;
    }
    if (entry == requests_.begin()) {
      oldest_since_ = now;
    }
    cost_ -= request.cost;
    entry = requests_.erase(entry);
  }
}

// How much of the oldest request the endpoint has processed.
std::uint32_t InFlightWork::Progress(TimePoint now) const {
  if (requests_.empty()) {
    return 0;
  }
  const Request& oldest = requests_.begin()->second;
  if (oldest.until != InFlightUntil::kAnswerBegins || now <= oldest_since_) {
    return 0;
  }
  const auto elapsed = std::chrono::floor<Duration>(now - oldest_since_).count();
  return static_cast<std::uint32_t>(std::min<std::int64_t>(oldest.cost, elapsed));
}

// The part of the limit that a node grants after it began to grant for the endpoint.
std::uint32_t InFlightWork::StartLimit(std::uint32_t limit, TimePoint now) const {
  const auto granting = std::chrono::floor<Duration>(now - first_asked_at_.value_or(now));
  const Duration time = std::clamp(granting, Duration(0), kInFlightStartTime);
  const std::uint32_t start = (limit + 1) / 2;
  const auto grown = static_cast<std::uint64_t>(limit - start) *
                     static_cast<std::uint64_t>(time.count()) /
                     static_cast<std::uint64_t>(kInFlightStartTime.count());
  return start + static_cast<std::uint32_t>(grown);
}

std::uint32_t InFlightWork::EffectiveLimit(std::uint32_t full_limit, TimePoint now) const {
  const std::uint32_t limit = StartLimit(full_limit, now);
  if (!lowered_ || lowered_->total >= limit) {
    return limit;
  }
  const auto elapsed = std::chrono::floor<Duration>(now - lowered_->rejected_at);
  if (elapsed >= kInFlightRecoveryTime) {
    return limit;
  }
  const double part = std::max(0.0, static_cast<double>(elapsed.count())) /
                      static_cast<double>(kInFlightRecoveryTime.count());
  const double recovered = part * part * static_cast<double>(limit - lowered_->total);
  return lowered_->total + static_cast<std::uint32_t>(recovered);
}

Duration InFlightWork::WaitFor(std::uint32_t cost, std::uint32_t limit, TimePoint now) const {
  const std::uint32_t total = Total(now);
  // A request that exceeds its limit alone waits until nothing else is in flight.
  const std::uint32_t room = cost < limit ? limit - cost : 0;
  const std::uint32_t excess = total > room ? total - room : 0;
  return std::clamp(UntilFreed(excess, now), kMinInFlightWait, kMaxInFlightHold);
}

// Without turns, all refused requests ask again at once, and most of them in vain.
Duration InFlightWork::WaitInTurn(const InFlightTerms& terms, Duration wait, TimePoint now) {
  if (next_turns_.size() >= kMaxTurns) {
    next_turns_.clear();
  }
  const TimePoint first = now + wait;
  TimePoint& next_turn = next_turns_[terms.limit];
  const TimePoint turn = std::clamp(next_turn, first, first + kMaxInFlightSpread);
  next_turn = turn + TimeToFree(terms, now);
  return std::chrono::ceil<Duration>(turn - now);
}

// Time in which the endpoint makes room for one more request like this.
Duration InFlightWork::TimeToFree(const InFlightTerms& terms, TimePoint now) const {
  if (terms.until == InFlightUntil::kAnswerBegins) {
    return Duration(terms.cost);
  }
  return TypicalHold() * terms.cost / std::max(1U, Total(now));
}

Duration InFlightWork::TypicalHold() const {
  return has_hold_ ? typical_hold_ : kInitialHold;
}

// Time until `excess` of the cost in flight is gone.
Duration InFlightWork::UntilFreed(std::uint32_t excess, TimePoint now) const {
  const bool processed_in_order =
      !requests_.empty() && requests_.begin()->second.until == InFlightUntil::kAnswerBegins;
  if (processed_in_order) {
    return Duration(excess);
  }
  const Duration hold = TypicalHold();
  std::uint64_t freed = 0;
  for (const auto& [grant, request] : requests_) {
    freed += request.cost;
    if (freed >= excess) {
      return std::chrono::ceil<Duration>(request.granted_at + hold - now);
    }
  }
  return hold;
}

}  // namespace rudderloom
