#include "rudderloom/placement/demand.hpp"

#include <algorithm>  // for max, min
#include <cmath>      // for exp

namespace rudderloom {

namespace {

constexpr Duration kFresh{1'500};
constexpr double kRiseSeconds = 0.4;
constexpr double kFallSeconds = 3.0;
// Of the demand offered: long enough for a model asked for twice a second, and three times that to
// see a trend.
constexpr double kFastSeconds = 1.5;
constexpr double kSlowSeconds = 4.5;
// A swap and a load from the weight store take about 7 s; most of it is looked ahead.
constexpr double kLookAheadSeconds = 5.0;
constexpr double kMostForeseen = 2.0;
constexpr double kLeastKnown = 0.5;  // seconds
constexpr Duration kForgetAfter{120'000};

}  // namespace

void AddUntold(const NodeCounts& earlier, NodeCounts& newer) {
  for (const auto& [unit, count] : earlier.units) {
    newer.units[unit].offered += count.offered;
  }
  AddUntold(earlier.spending, newer.spending);
  AddNews(earlier.crash_news, newer.crash_news);
  newer.limits.insert(earlier.limits.begin(), earlier.limits.end());
}

bool CountsFresh(TimePoint heard_at, TimePoint now) {
  return now - heard_at <= kFresh;
}

void DemandBoard::Counted(const NodeCounts& counts, TimePoint now) {
  nodes_[counts.node] = {counts.units, std::make_shared<const LoadTable>(counts.loads),
                         ReportingNode{counts.node, counts.address, counts.availability_zone,
                                       counts.processor_share, counts.stands_for},
                         now};
  for (const auto& [unit, count] : counts.units) {
    if (count.running + count.waiting > 0 || count.offered > Duration(0)) {
      units_[unit].asked_at = now;
      first_asked_ = first_asked_.value_or(now);
    }
    smoothed_[unit].arrived += count.offered;
  }
}

void DemandBoard::Tick(TimePoint now) {
  std::map<UnitName, UnitCount> sums;
  for (const auto& [name, node] : nodes_) {
    if (!CountsFresh(node.heard_at, now)) {
      continue;
    }
    for (const auto& [unit, count] : node.units) {
      sums[unit].running += count.running;
      sums[unit].waiting += count.waiting;
    }
  }
  const double seconds = std::min(1.0, std::chrono::duration<double>(now - smoothed_at_).count());
  smoothed_at_ = now;
  const double known_for =
      first_asked_ ? std::chrono::duration<double>(now - *first_asked_).count() : 0.0;
  for (auto& [unit, demand] : units_) {
    const auto found = sums.find(unit);
    const UnitCount sum = found == sums.end() ? UnitCount() : found->second;
    demand.running = sum.running;
    demand.waiting = sum.waiting;
    Smoothed& smoothed = smoothed_[unit];
    Smooth(smoothed, sum.running + sum.waiting, seconds);
    demand.pressure = std::max(smoothed.in_flight, Foreseen(smoothed, known_for));
  }
  std::erase_if(units_,
                [&](const auto& entry) { return now - entry.second.asked_at > kForgetAfter; });
  std::erase_if(smoothed_, [&](const auto& entry) { return !units_.contains(entry.first); });
  std::erase_if(nodes_,
                [&](const auto& entry) { return now - entry.second.heard_at > kForgetAfter; });
}

void DemandBoard::Smooth(Smoothed& smoothed, double in_flight, double seconds) {
  if (seconds <= 0.0) {
    return;
  }
  const auto follow = [seconds](double& value, double target, double time) {
    value += (target - value) * (1.0 - std::exp(-seconds / time));
  };
  follow(smoothed.in_flight, in_flight,
         in_flight > smoothed.in_flight ? kRiseSeconds : kFallSeconds);
  const double offered = std::chrono::duration<double>(smoothed.arrived).count() / seconds;
  smoothed.arrived = Duration(0);
  follow(smoothed.offered_fast, offered, kFastSeconds);
  follow(smoothed.offered_slow, offered, kSlowSeconds);
}

// Demand that rises is followed along its trend, as a load takes effect only some seconds later. An
// average that began at nothing is too low at first, the slow one for longer: without the
// correction every demand would seem to rise when the first is seen.
double DemandBoard::Foreseen(const Smoothed& smoothed, double known_for) {
  const auto corrected = [known_for](double average, double time) {
    return average / (1.0 - std::exp(-std::max(known_for, kLeastKnown) / time));
  };
  const double fast = corrected(smoothed.offered_fast, kFastSeconds);
  const double slow = corrected(smoothed.offered_slow, kSlowSeconds);
  const double rise = fast - slow;
  if (rise <= 0.0 || known_for < kSlowSeconds) {
    return fast;
  }
  const double slope = rise / (kSlowSeconds - kFastSeconds);
  return std::min(fast + slope * kLookAheadSeconds, fast * kMostForeseen);
}

UnitDemand DemandBoard::Of(const UnitName& unit) const {
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

LoadSums DemandBoard::Sums(TimePoint now) const {
  LoadSums sums;
  for (const auto& [name, node] : nodes_) {
    if (!CountsFresh(node.heard_at, now)) {
      continue;
    }
    sums.Add(name, node.loads);
  }
  return sums;
}

std::vector<ReportingNode> DemandBoard::Reporting(const std::string& but, TimePoint now) const {
  std::vector<ReportingNode> reporting;
  for (const auto& [name, node] : nodes_) {
    if (name != but && CountsFresh(node.heard_at, now)) {
      reporting.push_back(node.reporting);
    }
  }
  return reporting;
}

std::uint32_t DemandBoard::Nodes(TimePoint now) const {
  std::uint32_t count = 0;
  for (const auto& [name, node] : nodes_) {
    count += CountsFresh(node.heard_at, now) ? node.reporting.stands_for : 0;
  }
  return count;
}

}  // namespace rudderloom
