#include "rudderloom/dissemination/group_counts.hpp"

#include <algorithm>  // for any_of

namespace rudderloom {

void GroupCounts::AddOffered(const NodeCounts& counts) {
  for (const auto& [unit, count] : counts.units) {
    if (count.offered > Duration(0)) {
      offered_[unit] += count.offered;
    }
  }
}

void GroupCounts::RecordOwn(const NodeCounts& counts) {
  AddOffered(counts);
  own_ = counts;
}

void GroupCounts::RecordMember(const NodeCounts& counts, TimePoint now) {
  if (counts.represented_nodes > 1) {
    members_.erase(counts.node);
    return;
  }
  AddOffered(counts);
  for (const auto& [unit, count] : counts.units) {
    waiting_ = waiting_ || count.waiting > 0;
  }
  members_[counts.node] = {counts.units,
                           std::make_shared<const LoadTable>(counts.loads),
                           now,
                           counts.needs_gateways,
                           counts.gateways,
                           counts.confirms_starts};
}

std::optional<NodeCounts> GroupCounts::Take(TimePoint now, std::size_t max_gateways) {
  if (!own_) {
    return std::nullopt;
  }
  std::erase_if(members_,
                [&](const auto& entry) { return !AreCountsCurrent(entry.second.heard_at, now); });
  NodeCounts sum = *own_;
  for (auto& [unit, count] : sum.units) {
    count.offered = Duration(0);
  }
  for (const auto& [name, member] : members_) {
    for (const auto& [endpoint, load] : *member.loads) {
      sum.loads[endpoint] += load;
    }
    for (const auto& [unit, count] : member.units) {
      UnitCount& summed = sum.units[unit];
      summed.running += count.running;
      summed.waiting += count.waiting;
    }
    sum.needs_gateways = sum.needs_gateways || member.needs_gateways;
    sum.confirms_starts = sum.confirms_starts && member.confirms_starts;
    ++sum.represented_nodes;
  }
  sum.gateways = SelectGateways(Gateways(now), sum.node, max_gateways);
  for (const auto& [unit, offered] : offered_) {
    sum.units[unit].offered += offered;
  }
  offered_.clear();
  waiting_ = false;
  return sum;
}

GatewayList GroupCounts::Gateways(TimePoint now) const {
  GatewayList gateways;
  if (own_) {
    gateways = own_->gateways;
  }
  for (const auto& [name, member] : members_) {
    if (AreCountsCurrent(member.heard_at, now)) {
      gateways.insert(gateways.end(), member.gateways.begin(), member.gateways.end());
    }
  }
  return gateways;
}

LoadSums GroupCounts::Sums(TimePoint now) const {
  LoadSums sums;
  if (own_) {
    sums.Add(own_->node, std::make_shared<const LoadTable>(own_->loads));
  }
  for (const auto& [name, member] : members_) {
    if (AreCountsCurrent(member.heard_at, now)) {
      sums.Add(name, member.loads);
    }
  }
  return sums;
}

bool GroupCounts::HasMembers(TimePoint now) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    return AreCountsCurrent(entry.second.heard_at, now);
  });
}

}  // namespace rudderloom
