// What customers spend, on its way to the holder of the lease, and what they may still spend, on
// its way back.
#include <algorithm>  // for max, min
#include <utility>    // for move

#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

// Puts into a report what was not told yet.
void FleetState::TellSpending(NodeCounts& counts, TimePoint now) {
  SpendingReport report = spending_.Take(now);
  counts.report_number = report.number;
  counts.spending = std::move(report.table);
}

// The lease was taken: goes on from the last balances that this node knows of, by the holder's word
// or else by what the holder before wrote down with its last renewal.
void FleetState::BeginBalances(const FormerLease& lease, TimePoint now) {
  FormerBalances former;
  if (quota_word_) {
    former = {quota_word_->balances, quota_word_->made_at};
  } else {
    for (const auto& [customer, level] : lease.low_balances) {
      former.balances[customer].level = level;
    }
    former.made_at = now;
  }
  UnknownBalance unknown = UnknownBalance::kQuarter;
  if (lease.who == FormerHolder::kNone) {
    unknown = settings_.first_start ? UnknownBalance::kWhole : UnknownBalance::kEmpty;
  }
  ledger_.Begin(former, unknown, now);
}

// Customers that have spent more than half of what they may be ahead: so much of the balances goes
// into the lease's record, with writes that are made anyway, for a holder that knows nothing else.
LowBalances FleetState::LowOnes(const BalanceTable& balances, const QuotaLimits& limits) const {
  LowBalances low;
  for (const auto& [customer, balance] : balances) {
    const auto limit = limits.find(customer);
    if (limit != limits.end() &&
        balance.level < MostAhead(limit->second, settings_.bounds.quota) / 2) {
      low[customer] = balance.level;
    }
  }
  return low;
}

// The holder books what it was told, as if it reported to itself.
void FleetState::MoveBalances(TimePoint now) {
  const SpendingReport report = spending_.Take(now);
  const QuotaLimits& limits = routes_.Get().Current()->Customers().Limits();
  ledger_.Move(report.table, limits, now);
  spending_.Arrived(report.number);
  spending_.Confirmed(report.number);
  TakeBalances(ledger_.Balances(now), now);
  lease_.NoteBalances(LowOnes(ledger_.Balances(now), limits));
}

// The holder books what it granted; a relay tells it to the next holder.
void FleetState::On(const fleet_message::RequestGranted& granted, TimePoint now) {
  const SpendAsk& ask = granted.grant.ask;
  if (holds_ && RoutesVersion() != 0) {
    ledger_.Granted(ask, routes_.Get().Current()->Customers().Limits(), now);
  } else {
    spending_.Granted(ask);
  }
  grants_counted_ = granted.grant.number;
}

// From what this node, as the holder, lets requests run until its next statement.
std::shared_ptr<const GrantBasis> FleetState::MakeGrantBasis() const {
  if (!holds_ || !quota_word_ || RoutesVersion() == 0) {
    return nullptr;
  }
  auto basis = std::make_shared<GrantBasis>();
  basis->made_at = quota_word_->made_at;
  basis->valid_until = lease_.ValidUntil();
  basis->balances = quota_word_->balances;
  basis->limits = routes_.Get().Current()->Customers().Limits();
  basis->unknown = ledger_.Unknown();
  basis->unknown_since = ledger_.BegunAt();
  basis->counted = grants_in_word_;
  return basis;
}

// Who grants requests when no newer word comes, and for how many nodes, if it is this one.
void FleetState::NoteQuotaRelay(TimePoint now) {
  const bool relays = Relays(now);
  quota_group_ = relays ? static_cast<std::uint32_t>(group_.Sums(now).by_node.size()) : 0;
  quota_relay_ = relays ? settings_.listen.peers : upstream_.Relay();
}

// The same for a relay, once the holder's word is too old for the holder to be granting itself.
// What it grants since then stays off the balances until a newer word comes.
std::shared_ptr<const GrantBasis> FleetState::MakeRelayGrantBasis() {
  if (!quota_word_ || quota_group_ == 0 || RoutesVersion() == 0) {
    return nullptr;
  }
  auto basis = std::make_shared<GrantBasis>();
  basis->made_at = quota_word_->made_at;
  basis->valid_from = quota_word_->made_at + kGrantsWithWord;
  basis->valid_until = TimePoint::max();
  basis->balances = quota_word_->balances;
  basis->limits = routes_.Get().Current()->Customers().Limits();
  basis->unknown_since = quota_word_->made_at;
  basis->part = std::min(1.0, static_cast<double>(quota_group_) / std::max(1U, live_nodes_));
  basis->counted = grants_in_word_;
  return basis;
}

// Hands balances to this node's traffic.
void FleetState::TakeBalances(BalanceTable balances, TimePoint made_at) {
  const RouteTablePtr& routes = routes_.Get().Current();
  if (!routes || routes->Customers().Limits().empty()) {
    return;
  }
  auto word = std::make_shared<QuotaWord>();
  word->made_at = made_at;
  word->balances = std::move(balances);
  word->counted = spending_.OwnCounted();
  quota_word_ = std::move(word);
  grants_in_word_ = grants_counted_;
  changed_ = true;
}

}  // namespace rudderloom
