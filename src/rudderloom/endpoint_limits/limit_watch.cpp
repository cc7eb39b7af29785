#include "rudderloom/endpoint_limits/limit_watch.hpp"

#include <algorithm>  // for clamp, max, min
#include <utility>    // for exchange

namespace rudderloom {

namespace {

// A limited endpoint whose last answer is older gets a request also where others have more room, or
// the end of its limit would never be noticed.
constexpr Duration kUnobservedAfter{2'000};
// Times the nodes: what a node waits longer than the first one at most. The answer to the first
// one's request reaches the others in some 500 ms, so that about 20 ask for one permit.
constexpr Duration kUnobservedSpread{25};
constexpr Duration kUnaskedEvery{4'000};  // over all nodes
constexpr Duration kLeastWait{20};
constexpr Duration kMostWait{2'000};

}  // namespace

LimitChange LimitWatch::Answered(EndpointKey endpoint,
                                 const LimitAnnouncement& announcement,
                                 TimePoint sent_at,
                                 TimePoint now) {
  EndpointLimit limit{std::nullopt, sent_at};
  switch (announcement.kind) {
    case LimitAnnouncement::Kind::kLimited:
      limit = {announcement.requests_per_second, now};
      break;
    case LimitAnnouncement::Kind::kNone:
      break;
    case LimitAnnouncement::Kind::kUnreadable:
      return LimitChange::kNone;
  }
  const LimitChange change = book_.Take(endpoint, limit);
  if (change != LimitChange::kNone) {
    untold_[endpoint] = limit;
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

LimitStanding LimitWatch::StandingOf(EndpointKey endpoint,
                                     std::uint32_t live_nodes,
                                     TimePoint now) const {
  const auto known = book_.All().find(endpoint);
  if (known == book_.All().end() || !known->second.requests_per_second) {
    return LimitStanding::kUnlimited;
  }
  const auto refused = refused_until_.find(endpoint);
  if (refused != refused_until_.end() && now < refused->second) {
    return LimitStanding::kRefused;
  }
  const auto spread = std::chrono::duration_cast<Duration>(spread_ * kUnobservedSpread *
                                                           static_cast<double>(live_nodes));
  const bool unobserved = now - known->second.observed_at > kUnobservedAfter + spread;
  return unobserved ? LimitStanding::kUnobserved : LimitStanding::kLimited;
}

void LimitWatch::Refused(EndpointKey endpoint, Duration wait, TimePoint now) {
  refused_until_[endpoint] = now + std::clamp(wait, kLeastWait, kMostWait);
}

bool LimitWatch::MaySendUnasked(EndpointKey endpoint, std::uint32_t live_nodes, TimePoint now) {
  const Duration every = kUnaskedEvery * std::max(1U, live_nodes);
  const auto first = now + std::chrono::duration_cast<Duration>(spread_ * every);
  const auto [from, is_new] = unasked_from_.try_emplace(endpoint, first);
  if (now < from->second) {
    return false;
  }
  from->second = now + every;
  return true;
}

Duration LimitWatch::LeastWait(TimePoint now) const {
  Duration least = kMostWait;
  for (const auto& [endpoint, until] : refused_until_) {
    if (until > now) {
      least = std::min(least, Between(now, until));
    }
  }
  return least;
}

EndpointLimits LimitWatch::Take() {
  return std::exchange(untold_, {});
}

void LimitWatch::Trim(const std::function<bool(EndpointKey)>& listed, TimePoint now) {
  book_.Expire(listed, now);
  std::erase_if(unasked_from_, [&](const auto& entry) { return !listed(entry.first); });
  std::erase_if(refused_until_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace rudderloom
