// What customers spend, on its way to the holder of the lease, and what they may still spend, on
// its way back.
#include <utility>  // for move

#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

// Puts into a report what was not told yet.
void FleetState::TellSpending(NodeCounts& counts, TimePoint now) {
  SpendingReport report = spending_.Take(now);
  counts.report_number = report.number;
  counts.spending = std::move(report.table);
}

// The lease was taken: goes on from the last balances that this node knows of.
void FleetState::BeginBalances(TimePoint now) {
  FormerBalances former;
  if (quota_word_) {
    former = {quota_word_->balances, quota_word_->made_at};
  }
  const bool nobody_asked = settings_.first_start && !quota_word_;
  ledger_.Begin(former, nobody_asked ? UnknownBalance::kWhole : UnknownBalance::kEmpty, now);
}

// The holder books what it was told, as if it reported to itself.
void FleetState::MoveBalances(TimePoint now) {
  const SpendingReport report = spending_.Take(now);
  ledger_.Move(report.table, routes_.Get().Current()->Customers().Limits(), now);
  spending_.Arrived(report.number);
  spending_.Confirmed(report.number);
  TakeBalances(ledger_.Balances(now), now);
}

void FleetState::On(const fleet_message::RequestGranted& granted, TimePoint) {
  ledger_.Granted(granted.grant.ask.customer, granted.grant.ask.amount);
  grants_counted_ = granted.grant.number;
}

// From what this node, as the holder, lets other nodes' requests run until its next statement.
std::shared_ptr<const GrantBasis> FleetState::MakeGrantBasis() const {
  if (!holds_ || !quota_word_ || RoutesVersion() == 0) {
    return nullptr;
  }
  auto basis = std::make_shared<GrantBasis>();
  basis->made_at = quota_word_->made_at;
  basis->valid_until = lease_.ValidUntil();
  basis->balances = quota_word_->balances;
  basis->limits = routes_.Get().Current()->Customers().Limits();
  basis->counted = grants_counted_;
  return basis;
}

// Hands balances to this node's traffic.
void FleetState::TakeBalances(BalanceTable balances, TimePoint made_at) {
  if (balances.empty() && (!quota_word_ || quota_word_->balances.empty())) {
    return;
  }
  auto word = std::make_shared<QuotaWord>();
  word->made_at = made_at;
  word->balances = std::move(balances);
  word->counted = spending_.OwnCounted();
  quota_word_ = std::move(word);
  changed_ = true;
}

}  // namespace rudderloom
