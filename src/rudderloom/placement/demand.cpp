#include "rudderloom/placement/demand.hpp"

#include <algorithm>  // for min, sort
#include <cmath>      // for exp
#include <vector>     // for vector

namespace rudderloom {

namespace {

constexpr Duration kFresh{1'500};
constexpr double kRiseSeconds = 0.4;
constexpr double kFallSeconds = 3.0;
constexpr Duration kForgetAfter{120'000};
// Enough that some of them reach the store when it turns a third of the nodes away.
constexpr std::size_t kStandbys = 4;

}  // namespace

void DemandBoard::Counted(const NodeCounts& counts, TimePoint now) {
  nodes_[counts.node] = {counts.units, std::make_shared<const LoadTable>(counts.loads),
                         counts.processor_share, now};
  for (const auto& [unit, count] : counts.units) {
    if (count.running + count.waiting > 0 || count.offered > Duration(0)) {
      units_[unit].asked_at = now;
    }
  }
}

void DemandBoard::Tick(TimePoint now) {
  std::map<UnitName, UnitCount> sums;
  for (const auto& [name, node] : nodes_) {
    if (now - node.heard_at > kFresh) {
      continue;
    }
    for (const auto& [unit, count] : node.units) {
      sums[unit].running += count.running;
      sums[unit].waiting += count.waiting;
    }
  }
  const double seconds = std::min(1.0, std::chrono::duration<double>(now - smoothed_at_).count());
  smoothed_at_ = now;
  for (auto& [unit, demand] : units_) {
    const auto found = sums.find(unit);
    const UnitCount sum = found == sums.end() ? UnitCount() : found->second;
    demand.running = sum.running;
    demand.waiting = sum.waiting;
    const double target = sum.running + sum.waiting;
    const double slowness = target > demand.pressure ? kRiseSeconds : kFallSeconds;
    demand.pressure += (target - demand.pressure) * (1.0 - std::exp(-seconds / slowness));
  }
  std::erase_if(units_,
                [&](const auto& entry) { return now - entry.second.asked_at > kForgetAfter; });
  std::erase_if(nodes_,
                [&](const auto& entry) { return now - entry.second.heard_at > kForgetAfter; });
}

UnitDemand DemandBoard::Of(const UnitName& unit) const {
  const auto found = units_.find(unit);
  return found == units_.end() ? UnitDemand() : found->second;
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
    if (now - node.heard_at > kFresh) {
      continue;
    }
    for (const auto& [endpoint, load] : *node.loads) {
      sums.all[endpoint] += load;
    }
    sums.by_node.emplace(name, node.loads);
  }
  return sums;
}

std::set<std::string> DemandBoard::Standbys(const std::string& holder, TimePoint now) const {
  std::vector<std::pair<double, std::string>> candidates;
  for (const auto& [name, node] : nodes_) {
    if (name != holder && now - node.heard_at <= kFresh) {
      candidates.emplace_back(-node.processor_share, name);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  std::set<std::string> standbys;
  for (std::size_t i = 0; i < std::min(kStandbys, candidates.size()); ++i) {
    standbys.insert(candidates[i].second);
  }
  return standbys;
}

std::uint32_t DemandBoard::Nodes(TimePoint now) const {
  std::uint32_t count = 0;
  for (const auto& [name, node] : nodes_) {
    count += now - node.heard_at <= kFresh ? 1 : 0;
  }
  return count;
}

}  // namespace rudderloom
