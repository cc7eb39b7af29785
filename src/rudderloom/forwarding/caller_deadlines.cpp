#include "rudderloom/forwarding/caller_deadlines.hpp"

#include <algorithm>  // for clamp, max
#include <cmath>      // for exp2, floor, llround, log
#include <set>        // for set

namespace rudderloom {

namespace {

// Times within a tenth of each other lie in one group or in two adjacent ones.
constexpr double kGroupRatio = 1.1;
// With fewer requests, counted with their decay, no time is usual: a single retried request would
// otherwise set it.
constexpr double kMinRequests = 3.0;
// Part of the recent requests that state the usual time. At least half are first attempts; they may
// be spread over more groups than one.
constexpr double kUsualShare = 0.25;
// Groups with less than this are dropped.
constexpr double kMinGroupRequests = 0.01;
// A wait shorter than the usual time divided by this is within the variation between clients.
constexpr int kClearDivisor = 10;
// Stated times outside of these bounds count as the nearest one, so that the number of groups is
// bounded.
constexpr Duration kShortestTime{10};
constexpr Duration kLongestTime{600'000};

Duration Bounded(Duration remaining) {
  return std::clamp(remaining, kShortestTime, kLongestTime);
}

int GroupOf(Duration remaining) {
  return static_cast<int>(
      std::floor(std::log(static_cast<double>(remaining.count())) / std::log(kGroupRatio)));
}

}  // namespace

Duration CallerDeadlines::WaitedBefore(const std::string& route,
                                       std::optional<Duration> remaining,
                                       TimePoint now) {
  if (!remaining) {
    return Duration(0);
  }
  const Duration stated = Bounded(*remaining);
  const std::optional<Duration> usual = UsualTime(route, now);
  Times& times = routes_[route];
  Decay(times, now);
  Group& group = times.groups[GroupOf(stated)];
  group.requests += 1.0;
  group.milliseconds += static_cast<double>(stated.count());
  if (!usual || *usual - stated < *usual / kClearDivisor) {
    return Duration(0);
  }
  return *usual - stated;
}

std::optional<Duration> CallerDeadlines::UsualTime(const std::string& route, TimePoint now) const {
  const auto found = routes_.find(route);
  if (found == routes_.end()) {
    return std::nullopt;
  }
  return UsualOf(found->second, DecaySince(found->second.decayed_at, now));
}

void CallerDeadlines::Trim(const RouteTable& routes) {
  std::set<std::string, std::less<>> names;
  for (const Route& route : routes.Routes()) {
    names.insert(route.name);
  }
  std::erase_if(routes_, [&](const auto& entry) { return !names.contains(entry.first); });
}

double CallerDeadlines::DecaySince(TimePoint then, TimePoint now) {
  const double elapsed =
      std::max(0.0, std::chrono::duration<double, std::milli>(now - then).count());
  return std::exp2(-elapsed / static_cast<double>(kDeadlineHalfLife.count()));
}

void CallerDeadlines::Decay(Times& times, TimePoint now) {
  const double decay = DecaySince(times.decayed_at, now);
  for (auto& [logarithm, group] : times.groups) {
    group.requests *= decay;
    group.milliseconds *= decay;
  }
  std::erase_if(times.groups,
                [](const auto& entry) { return entry.second.requests < kMinGroupRequests; });
  times.decayed_at = std::max(times.decayed_at, now);
}

std::optional<Duration> CallerDeadlines::UsualOf(const Times& times, double decay) {
  double all = 0.0;
  for (const auto& [logarithm, group] : times.groups) {
    all += group.requests;
  }
  if (all * decay < kMinRequests) {
    return std::nullopt;
  }
  for (auto longest = times.groups.rbegin(); longest != times.groups.rend(); ++longest) {
    Group joined = longest->second;
    const auto below = times.groups.find(longest->first - 1);
    if (below != times.groups.end()) {
      joined.requests += below->second.requests;
      joined.milliseconds += below->second.milliseconds;
    }
    if (joined.requests >= all * kUsualShare) {
      return Duration(std::llround(joined.milliseconds / joined.requests));
    }
  }
  return std::nullopt;
}

}  // namespace rudderloom
