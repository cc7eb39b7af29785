#include "rudderloom/placement/demand.hpp"

#include <algorithm>  // for max, min
#include <cmath>      // for exp

namespace rudderloom {

namespace {

constexpr Duration kMaxCountsAge{1'500};
constexpr double kRiseSeconds = 0.4;
constexpr double kFallSeconds = 3.0;
// Time constants for the average offered load: the short one covers a model requested twice a
// second, and the long one is three times that so that a trend is visible.
constexpr double kFastAverageSeconds = 1.5;
constexpr double kSlowAverageSeconds = 4.5;
// A swap with a load from the weight store takes about 7 s; the extrapolation covers most of it.
constexpr double kLookAheadSeconds = 5.0;
constexpr double kMaxTrendFactor = 2.0;
constexpr double kMinObservedSeconds = 0.5;  // seconds
constexpr Duration kForgetAfter{120'000};

}  // namespace

void MergeUnreported(const NodeCounts& earlier, NodeCounts& newer) {
  for (const auto& [unit, count] : earlier.units) {
    newer.units[unit].offered += count.offered;
  }
  MergeUnreported(earlier.spending, newer.spending);
  MergeNews(earlier.crash_news, newer.crash_news);
  newer.limits.insert(earlier.limits.begin(), earlier.limits.end());
}

bool AreCountsCurrent(TimePoint heard_at, TimePoint now) {
  return now - heard_at <= kMaxCountsAge;
}

void DemandTracker::RecordCounts(const NodeCounts& counts, TimePoint now) {
  nodes_[counts.node] = {
      counts.units, std::make_shared<const LoadTable>(counts.loads),
      ReportingNode{counts.node, counts.address, counts.availability_zone, counts.processor_share,
                    counts.represented_nodes, counts.reaches_endpoints, counts.needs_gateways,
                    counts.gateways, now, counts.confirms_starts},
      now};
  for (const auto& [unit, count] : counts.units) {
    if (count.running + count.waiting > 0 || count.offered > Duration(0)) {
      units_[unit].last_requested_at = now;
      first_request_at_ = first_request_at_.value_or(now);
    }
    smoothed_[unit].arrived += count.offered;
  }
}

void DemandTracker::Tick(TimePoint now) {
  std::map<UnitName, UnitCount> sums;
  for (const auto& [name, node] : nodes_) {
    if (!AreCountsCurrent(node.heard_at, now)) {
      continue;
    }
    for (const auto& [unit, count] : node.units) {
      sums[unit].running += count.running;
      sums[unit].waiting += count.waiting;
    }
  }
  const double seconds = std::min(1.0, std::chrono::duration<double>(now - smoothed_at_).count());
  smoothed_at_ = now;
  const double observed_seconds =
      first_request_at_ ? std::chrono::duration<double>(now - *first_request_at_).count() : 0.0;
  for (auto& [unit, demand] : units_) {
    const auto found = sums.find(unit);
    const UnitCount sum = found == sums.end() ? UnitCount() : found->second;
    demand.running = sum.running;
    demand.waiting = sum.waiting;
    Smoothed& smoothed = smoothed_[unit];
    Smooth(smoothed, sum.running + sum.waiting, seconds);
    demand.pressure = std::max(smoothed.in_flight, Extrapolate(smoothed, observed_seconds));
  }
  std::erase_if(units_, [&](const auto& entry) {
    return now - entry.second.last_requested_at > kForgetAfter;
  });
  std::erase_if(smoothed_, [&](const auto& entry) { return !units_.contains(entry.first); });
  std::erase_if(nodes_,
                [&](const auto& entry) { return now - entry.second.heard_at > kForgetAfter; });
}

void DemandTracker::Smooth(Smoothed& smoothed, double in_flight, double seconds) {
  if (seconds <= 0.0) {
    return;
  }
  const auto update_average = [seconds](double& value, double target, double time_constant) {
    value += (target - value) * (1.0 - std::exp(-seconds / time_constant));
  };
  update_average(smoothed.in_flight, in_flight,
                 in_flight > smoothed.in_flight ? kRiseSeconds : kFallSeconds);
  const double offered = std::chrono::duration<double>(smoothed.arrived).count() / seconds;
  smoothed.arrived = Duration(0);
  update_average(smoothed.offered_fast, offered, kFastAverageSeconds);
  update_average(smoothed.offered_slow, offered, kSlowAverageSeconds);
}

// Extrapolates rising demand along its trend, because a load takes effect only seconds later. An
// average that starts at zero is too low at first, the slow one for longer; without the correction,
// all demand would seem to rise when the first requests arrive.
double DemandTracker::Extrapolate(const Smoothed& smoothed, double observed_seconds) {
  const auto corrected = [observed_seconds](double average, double time_constant) {
    return average /
           (1.0 - std::exp(-std::max(observed_seconds, kMinObservedSeconds) / time_constant));
  };
  const double fast = corrected(smoothed.offered_fast, kFastAverageSeconds);
  const double slow = corrected(smoothed.offered_slow, kSlowAverageSeconds);
  const double rise = fast - slow;
  if (rise <= 0.0 || observed_seconds < kSlowAverageSeconds) {
    return fast;
  }
  const double slope = rise / (kSlowAverageSeconds - kFastAverageSeconds);
  return std::min(fast + slope * kLookAheadSeconds, fast * kMaxTrendFactor);
}

UnitDemand DemandTracker::DemandFor(const UnitName& unit) const {
  const auto found = units_.find(unit);
  return found == units_.end() ? UnitDemand() : found->second;
}

void LoadSums::Add(const std::string& node, std::shared_ptr<const LoadTable> loads) {
  for (const auto& [endpoint, load] : *loads) {
    all[endpoint] += load;
  }
  by_node.emplace(node, std::move(loads));
}

LoadTable LoadSums::Without(const std::string& node) const {
  LoadTable loads = all;
  const auto own = by_node.find(node);
  if (own == by_node.end()) {
    return loads;
  }
  for (const auto& [endpoint, load] : *own->second) {
    loads[endpoint] -= load;
  }
  return loads;
}

LoadSums DemandTracker::Sums(TimePoint now) const {
  LoadSums sums;
  for (const auto& [name, node] : nodes_) {
    if (!AreCountsCurrent(node.heard_at, now)) {
      continue;
    }
    sums.Add(name, node.loads);
  }
  return sums;
}

std::vector<ReportingNode> DemandTracker::ReportingNodes(const std::string& excluded_node,
                                                         TimePoint now) const {
  std::vector<ReportingNode> reporting;
  for (const auto& [name, node] : nodes_) {
    if (name != excluded_node && AreCountsCurrent(node.heard_at, now)) {
      reporting.push_back(node.reporting);
    }
  }
  return reporting;
}

std::uint32_t DemandTracker::Nodes(TimePoint now) const {
  std::uint32_t count = 0;
  for (const auto& [name, node] : nodes_) {
    count += AreCountsCurrent(node.heard_at, now) ? node.reporting.represented_nodes : 0;
  }
  return count;
}

}  // namespace rudderloom
