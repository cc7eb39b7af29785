// Reports what customers spend to the lease holder, and applies the balances that it returns.
#include <algorithm>  // for max, min
#include <utility>    // for move

#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

// Adds the spending that has not been reported yet to a report.
void FleetState::AddSpending(NodeCounts& counts, TimePoint now) {
  SpendingReport report = spending_.Take(now);
  counts.report_number = report.number;
  counts.spending = std::move(report.table);
}

// As the holder: nodes without reports keep their positions for a while. A node that reports to a
// relay gets its position there: with one here too, it would count as silent from then on.
void FleetState::UpdateTurnsAsHolder(TimePoint now) {
  turn_origin_ = turn_origin_.value_or(now);
  turn_table_.SetRange({1, 0});
  for (const ReportingNode& node : board_.ReportingNodes("", now)) {
    if (node.name == settings_.name || ReportsToHolder(node)) {
      turn_table_.Heard(node.name, node.represented_nodes, node.heard_at);
    }
  }
  turn_table_.Expire(now);
}

// False also until the relays are chosen.
bool FleetState::ReportsToHolder(const ReportingNode& node) const {
  NodeCounts counts;
  counts.node = node.name;
  counts.availability_zone = node.availability_zone;
  counts.represented_nodes = node.represented_nodes;
  return roster_ && roster_->RelayFor(counts).empty();
}

// As a relay: divides the positions that the holder assigned to this node's group. Members beyond
// these have no turns until the next digest.
void FleetState::UpdateTurnsAsRelay(TimePoint now) {
  const TurnAssignment& assigned = received_->digest.turns;
  const bool has_members = assigned.position > 0 && assigned.count > 1;
  turn_table_.SetRange({assigned.position + 1, has_members ? assigned.count - 1 : 0});
  if (!has_members) {
    return;
  }
  for (const auto& [node, loads] : group_.Sums(now).by_node) {
    if (node != settings_.name) {
      turn_table_.Heard(node, 1, now);
    }
  }
  turn_table_.Expire(now);
}

// What nodes whose reports do not arrive may spend. A new holder counts the nodes that its
// predecessor knew.
QuotaReserve FleetState::ReserveForSilent(TimePoint now) {
  if (!settings_.bounds.quota.enforced) {
    return {};
  }
  QuotaReserve reserve{turn_table_.MissingFraction(), turn_table_.TakeSilent(now), *turn_origin_};
  if (received_ && now - held_since_ <= kTurnReserveTime) {
    const double known = std::max(1U, received_->digest.nodes);
    const double heard = std::min(1.0, static_cast<double>(board_.Nodes(now)) / known);
    reserve.fraction = std::max(reserve.fraction, 1.0 - heard);
  }
  return reserve;
}

TurnPlan FleetState::OwnTurns() const {
  if (!turn_origin_) {
    return {};
  }
  if (!holds_lease_) {
    const TurnAssignment& assigned = received_->digest.turns;
    return {assigned.position, assigned.positions, *turn_origin_};
  }
  const auto own = turn_table_.Spans().find(settings_.name);
  const std::uint32_t position = own == turn_table_.Spans().end() ? 0 : own->second.first;
  return {position, TurnPositions(), *turn_origin_};
}

// A new holder that has heard no other node yet is not the only node.
std::uint32_t FleetState::TurnPositions() const {
  const std::uint32_t positions = turn_table_.Positions();
  return positions > 1 ? positions : std::max(positions, live_nodes_);
}

// Called when the lease is taken: continues from the last balances that this node knows, from the
// holder's digest or else from the last lease record of the former holder.
void FleetState::RestoreBalances(const FormerLease& lease, TimePoint now) {
  PreviousBalances former;
  if (quota_snapshot_) {
    former = {quota_snapshot_->balances, quota_snapshot_->made_at};
  } else {
    for (const auto& [customer, level] : lease.low_balances) {
      former.balances[customer].level = level;
    }
    former.made_at = now;
  }
  AssumedBalance unknown = AssumedBalance::kQuarter;
  if (lease.former_holder == FormerHolder::kNone) {
    unknown = lease.never_held ? AssumedBalance::kFull : AssumedBalance::kEmpty;
  }
  ledger_.Begin(former, unknown, now);
}

// Returns the balances of customers that have spent more than half of what they may be ahead. They
// go into the lease record, with writes that are made anyway, for a holder that has no other
// source.
LowBalances FleetState::FindLowBalances(const BalanceTable& balances,
                                        const QuotaLimits& limits) const {
  LowBalances low;
  for (const auto& [customer, balance] : balances) {
    const auto limit = limits.find(customer);
    if (limit != limits.end() &&
        balance.level < MaxBalance(limit->second, settings_.bounds.quota) / 2) {
      low[customer] = balance.level;
    }
  }
  return low;
}

// Books the reported spending, as the holder; its own spending is handled as a report to itself.
void FleetState::UpdateBalances(TimePoint now) {
  const SpendingReport report = spending_.Take(now);
  const QuotaLimits& limits = routes_.Get().Current()->Customers().Limits();
  UpdateTurnsAsHolder(now);
  ledger_.Update(report.table, limits, now, ReserveForSilent(now));
  spending_.MarkDelivered(report.number);
  spending_.Confirmed(report.number);
  PublishBalances(ledger_.Balances(now), now);
  lease_.SetLowBalances(FindLowBalances(ledger_.Balances(now), limits));
}

// The holder books its grants; a relay reports its grants to the next holder.
void FleetState::On(const fleet_message::RequestGranted& granted, TimePoint now) {
  const SpendRequest& ask = granted.grant.ask;
  if (holds_lease_ && RoutesVersion() != 0) {
    ledger_.Granted(ask, routes_.Get().Current()->Customers().Limits(), now);
  } else {
    spending_.Granted(ask);
  }
  grants_counted_ = granted.grant.number;
}

// What this node, as the holder, grants requests from until its next statement.
std::shared_ptr<const GrantBasis> FleetState::MakeGrantBasis() const {
  if (!holds_lease_ || !quota_snapshot_ || RoutesVersion() == 0) {
    return nullptr;
  }
  auto basis = std::make_shared<GrantBasis>();
  basis->made_at = quota_snapshot_->made_at;
  basis->valid_until = lease_.ValidUntil();
  basis->balances = quota_snapshot_->balances;
  basis->limits = routes_.Get().Current()->Customers().Limits();
  basis->assumed = ledger_.Unknown();
  basis->unknown_since = ledger_.BegunAt();
  basis->counted = grants_in_balances_;
  return basis;
}

// Updates which relay grants requests when no newer digest arrives, and for how many nodes if it is
// this one.
void FleetState::UpdateQuotaRelay(TimePoint now) {
  const bool relays = ActsAsRelay(now);
  quota_group_ = relays ? static_cast<std::uint32_t>(group_.Sums(now).by_node.size()) : 0;
  quota_relay_ = relays ? settings_.listen.peers : upstream_.Relay();
}

// The same for a relay, once the holder's digest is so old that the holder no longer grants. Grants
// made since then stay deducted from the balances until a newer digest arrives.
std::shared_ptr<const GrantBasis> FleetState::MakeRelayGrantBasis() {
  if (!quota_snapshot_ || quota_group_ == 0 || RoutesVersion() == 0) {
    return nullptr;
  }
  auto basis = std::make_shared<GrantBasis>();
  basis->made_at = quota_snapshot_->made_at;
  basis->valid_from = quota_snapshot_->made_at + kMaxGrantDigestAge;
  basis->valid_until = TimePoint::max();
  basis->balances = quota_snapshot_->balances;
  basis->limits = routes_.Get().Current()->Customers().Limits();
  // A holder that this relay does not hear may still grant what was left then. This relay grants
  // only its group's part of the rate since, after any debt.
  if (settings_.bounds.quota.enforced) {
    for (auto& [customer, balance] : basis->balances) {
      balance.level = std::min<std::int64_t>(balance.level, 0);
    }
  }
  basis->unknown_since = quota_snapshot_->made_at;
  basis->fraction = std::min(1.0, static_cast<double>(quota_group_) / std::max(1U, live_nodes_));
  basis->counted = grants_in_balances_;
  return basis;
}

// Publishes balances to this node's request handling.
void FleetState::PublishBalances(BalanceTable balances, TimePoint made_at) {
  const RouteTablePtr& routes = routes_.Get().Current();
  if (!routes || routes->Customers().Limits().empty()) {
    return;
  }
  auto word = std::make_shared<QuotaSnapshot>();
  word->made_at = made_at;
  word->balances = std::move(balances);
  word->counted = spending_.OwnCounted();
  word->turns = OwnTurns();
  quota_snapshot_ = std::move(word);
  grants_in_balances_ = grants_counted_;
  view_changed_ = true;
}

}  // namespace rudderloom
