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
constexpr Duration kMostRest{8'000};
// Asks of all nodes for one endpoint that the holder is to answer a second, or so many times the
// limit where that is more: enough for nearly every permit to be taken.
constexpr double kMostAsksPerSecond = 50.0;
constexpr double kAsksForOnePermit = 4.0;

// Between two asks of one node.
Duration RestOf(double limit, std::uint32_t live_nodes) {
  constexpr double kMillisecondsPerSecond = 1'000.0;
  const double asks = std::max(kMostAsksPerSecond, kAsksForOnePermit * limit);
  const double rest = kMillisecondsPerSecond * live_nodes / asks;
  return std::min(kMostRest, Duration(static_cast<Duration::rep>(rest)));
}

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
  const auto refused = refused_.find(endpoint);
  if (refused != refused_.end() && now < refused->second.rest_until) {
    return LimitStanding::kRefused;
  }
  const auto spread = std::chrono::duration_cast<Duration>(spread_ * kUnobservedSpread *
                                                           static_cast<double>(live_nodes));
  const bool unobserved = now - known->second.observed_at > kUnobservedAfter + spread;
  return unobserved ? LimitStanding::kUnobserved : LimitStanding::kLimited;
}

void LimitWatch::Refused(EndpointKey endpoint,
                         Duration wait,
                         std::uint32_t live_nodes,
                         TimePoint now) {
  const Duration rest = RestOf(LimitOf(endpoint).value_or(0.0), live_nodes);
  refused_[endpoint] = {now + wait, now + std::clamp(wait, std::max(kLeastWait, rest), kMostRest)};
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
  Duration least = kMostRest;
  for (const auto& [endpoint, refusal] : refused_) {
    if (refusal.rest_until > now) {
      least = std::min(least, std::max(Duration(0), Between(now, refusal.next_permit_at)));
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
  std::erase_if(refused_, [&](const auto& entry) { return entry.second.rest_until <= now; });
}

}  // namespace rudderloom
