#include "rudderloom/endpoint_limits/limit_watch.hpp"

#include <algorithm>  // for clamp, max, min
#include <utility>    // for exchange

namespace rudderloom {

namespace {

// A limited endpoint whose last answer is older gets a request even if others have more capacity.
// Otherwise the end of its limit would never be noticed.
constexpr Duration kMaxObservationAge{2'000};
// Multiplied by the number of nodes: maximum extra wait of a node after the first one. The answer
// to the first node's request reaches the others in some 500 ms, so about 20 nodes ask for one
// permit.
constexpr Duration kUnobservedSpread{25};
constexpr Duration kUnpermittedInterval{4'000};  // over all nodes
// Other endpoints of the service, and nodes that can ask nobody, no longer rely on an older one.
constexpr Duration kToleranceLifetime{10'000};
constexpr Duration kMinPause{20};
constexpr Duration kMaxPause{8'000};
// Maximum asks per second of all nodes for one endpoint, or this multiple of the limit if that is
// more: enough to use nearly every permit.
constexpr double kMaxAsksPerSecond = 50.0;
constexpr double kAsksPerPermit = 4.0;

// Pause between two asks of one node.
Duration PauseFor(double limit, std::uint32_t live_nodes) {
  constexpr double kMillisecondsPerSecond = 1'000.0;
  const double asks = std::max(kMaxAsksPerSecond, kAsksPerPermit * limit);
  const double pause = kMillisecondsPerSecond * live_nodes / asks;
  return std::min(kMaxPause, Duration(static_cast<Duration::rep>(pause)));
}

}  // namespace

LimitChange LimitWatch::Answered(EndpointKey endpoint,
                                 const LimitAnnouncements& announced,
                                 TimePoint sent_at,
                                 TimePoint now) {
  using Kind = LimitAnnouncement::Kind;
  const bool any_limit =
      announced.requests.kind == Kind::kLimited || announced.rejections.kind == Kind::kLimited;
  const bool any_unreadable = announced.requests.kind == Kind::kUnreadable ||
                              announced.rejections.kind == Kind::kUnreadable;
  if (any_unreadable && !any_limit) {
    return LimitChange::kNone;
  }
  const auto found = book_.All().find(endpoint);
  const EndpointLimit known = found == book_.All().end() ? EndpointLimit() : found->second;
  const bool may_end = sent_at > known.observed_at;
  const auto updated = [&](const LimitAnnouncement& announcement, std::optional<double> value) {
    if (announcement.kind == Kind::kLimited) {
      return std::optional(announcement.requests_per_second);
    }
    return announcement.kind == Kind::kNone && may_end ? std::nullopt : value;
  };
  EndpointLimit limit;
  limit.requests_per_second = updated(announced.requests, known.requests_per_second);
  limit.rejections_per_second = updated(announced.rejections, known.rejections_per_second);
  limit.observed_at = any_limit ? now : sent_at;
  const LimitChange change = book_.Take(endpoint, limit);
  if (change != LimitChange::kNone) {
    unreported_[endpoint] = limit;
  }
  return change;
}

void LimitWatch::Received(const EndpointLimitsPtr& limits) {
  if (limits && limits != received_) {
    book_.Take(*limits);
  }
  received_ = limits;
}

std::optional<double> LimitWatch::LimitOf(EndpointKey endpoint) const {
  const auto known = book_.All().find(endpoint);
  return known == book_.All().end() ? std::nullopt : known->second.requests_per_second;
}

std::optional<double> LimitWatch::ToleranceOf(EndpointKey endpoint) const {
  const auto known = book_.All().find(endpoint);
  return known == book_.All().end() ? std::nullopt : known->second.rejections_per_second;
}

std::optional<double> LimitWatch::RecentToleranceOf(EndpointKey endpoint, TimePoint now) const {
  const auto known = book_.All().find(endpoint);
  const bool is_recent =
      known != book_.All().end() && now - known->second.observed_at < kToleranceLifetime;
  return is_recent ? known->second.rejections_per_second : std::nullopt;
}

bool LimitWatch::PermitRefused(EndpointKey endpoint, TimePoint now) const {
  const auto refused = refused_.find(endpoint);
  return refused != refused_.end() && now < refused->second.paused_until;
}

LimitState LimitWatch::LimitStateOf(EndpointKey endpoint,
                                    std::uint32_t live_nodes,
                                    TimePoint now) const {
  const auto known = book_.All().find(endpoint);
  if (known == book_.All().end() || !known->second.requests_per_second) {
    return LimitState::kUnlimited;
  }
  if (PermitRefused(endpoint, now)) {
    return LimitState::kRefused;
  }
  const auto spread = std::chrono::duration_cast<Duration>(spread_ * kUnobservedSpread *
                                                           static_cast<double>(live_nodes));
  const bool unobserved = now - known->second.observed_at > kMaxObservationAge + spread;
  return unobserved ? LimitState::kUnobserved : LimitState::kLimited;
}

void LimitWatch::Refused(EndpointKey endpoint,
                         Duration wait,
                         std::uint32_t live_nodes,
                         TimePoint now) {
  const Duration pause = PauseFor(LimitOf(endpoint).value_or(0.0), live_nodes);
  refused_[endpoint] = {now + wait, now + std::clamp(wait, std::max(kMinPause, pause), kMaxPause)};
}

bool LimitWatch::MaySendWithoutPermit(EndpointKey endpoint,
                                      std::uint32_t live_nodes,
                                      TimePoint now) {
  if (RecentToleranceOf(endpoint, now)) {
    return false;
  }
  const Duration interval = kUnpermittedInterval * std::max(1U, live_nodes);
  const auto first = now + std::chrono::duration_cast<Duration>(spread_ * interval);
  const auto [from, is_new] = next_unpermitted_at_.try_emplace(endpoint, first);
  if (now < from->second) {
    return false;
  }
  from->second = now + interval;
  return true;
}

Duration LimitWatch::MinWait(TimePoint now) const {
  Duration least = kMaxPause;
  for (const auto& [endpoint, refusal] : refused_) {
    if (refusal.paused_until > now) {
      least = std::min(least, std::max(Duration(0), Between(now, refusal.next_permit_at)));
    }
  }
  return least;
}

Duration LimitWatch::MinPause(TimePoint now) const {
  Duration least = kMaxPause;
  for (const auto& [endpoint, refusal] : refused_) {
    if (refusal.paused_until > now) {
      least = std::min(least, Between(now, refusal.paused_until));
    }
  }
  return least;
}

EndpointLimits LimitWatch::Take() {
  return std::exchange(unreported_, {});
}

void LimitWatch::Trim(const std::function<bool(EndpointKey)>& listed, TimePoint now) {
  book_.Expire(listed, now);
  std::erase_if(next_unpermitted_at_, [&](const auto& entry) { return !listed(entry.first); });
  std::erase_if(refused_, [&](const auto& entry) { return entry.second.paused_until <= now; });
}

}  // namespace rudderloom
