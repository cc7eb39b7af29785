#include "rudderloom/quota/quota_account.hpp"

#include <algorithm>  // for clamp, max, min
#include <cmath>      // for ceil
#include <optional>   // for optional
#include <utility>    // for move

#include "rudderloom/quota/turn_schedule.hpp"  // for TurnAt

namespace rudderloom {

namespace {

// Number of nodes that a customer is assumed to use while nothing is known: about a medium-sized
// fleet, in which each customer uses all nodes. In a larger one, nodes that start simultaneously
// let a customer exceed its rate until the first digest, for about a second.
constexpr double kAssumedNodes = 64.0;
// Half of the shared balance is divided equally among the nodes, so that a new caller finds some on
// any node. The other half is divided by demand.
constexpr double kEqualFraction = 0.5;
constexpr double kMillisecondsPerSecond = 1'000.0;
// Time after an unanswered ask for which a node does not ask for that customer: a slow holder gets
// fewer asks, and each of them may book a grant that is not used.
constexpr Duration kAloneTime{1'000};
// Limit of the times that are computed from amounts, which may be large where the rate is small.
constexpr Duration kMaxRecovery = std::chrono::hours(1);
// Maximum time for which a refusal is cached: other nodes may have refunded requests since.
constexpr Duration kMaxRefusalTime{300};

// Time until an amount is refilled.
Duration TimeToRecover(double missing, double per_second) {
  const double wait = std::ceil(missing / std::max(1.0, per_second) * kMillisecondsPerSecond);
  return Duration(
      static_cast<Duration::rep>(std::min(wait, static_cast<double>(kMaxRecovery.count()))));
}

// The same, as a refusal states it.
Duration RecoveryTime(double missing, double per_second) {
  return std::min(TimeToRecover(missing, per_second), kMaxQuotaWait);
}

}  // namespace

double QuotaAccount::MaxShare(const Account& account) const {
  return account.share * static_cast<double>(MaxBalance(account.limit, bounds_));
}

bool QuotaAccount::HasFreshDigest(TimePoint now) const {
  return snapshot_ && now - snapshot_->made_at < kMaxGrantDigestAge;
}

bool QuotaAccount::HasTurns() const {
  return bounds_.enforced && snapshot_ && snapshot_->turns.position > 0;
}

bool QuotaAccount::IsOnlyNode() const {
  return HasTurns() && snapshot_->turns.positions == 1;
}

// Per second: the shared fraction while the rest is granted by other nodes or spent in turns,
// otherwise the full share.
double QuotaAccount::RefillRate(const Account& account, GranterReach reach, TimePoint now) const {
  const bool alone = reach == GranterReach::kUnreachable && !HasFreshDigest(now) && !HasTurns();
  const double fraction = alone ? 1.0 : kSharedFraction;
  // The holder reserves equal parts for nodes that it does not hear.
  const double share = HasTurns() && !HasFreshDigest(now)
                           ? std::min(account.share, 1.0 / snapshot_->turns.positions)
                           : account.share;
  return fraction * share * static_cast<double>(account.limit.per_second);
}

void QuotaAccount::Refill(Account& account, GranterReach reach, TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - account.refilled_at).count();
  account.balance =
      std::min(MaxShare(account), account.balance + RefillRate(account, reach, now) * seconds);
  account.fleet_balance =
      std::min(static_cast<double>(MaxBalance(account.limit, bounds_)),
               account.fleet_balance + static_cast<double>(account.limit.per_second) * seconds);
  account.refilled_at = now;
}

QuotaAccount::Account& QuotaAccount::FindOrCreate(CustomerKey customer,
                                                  const QuotaLimit& limit,
                                                  TimePoint now) {
  const auto [found, is_new] = accounts_.try_emplace(customer);
  Account& account = found->second;
  if (!is_new && account.limit == limit) {
    return account;
  }
  account.limit = limit;
  if (is_new) {
    account.refilled_at = now;
    account.share = 1.0 / kAssumedNodes;
    // The holder lists all active customers: any other customer has a full balance.
    account.balance = HasFreshDigest(now) ? kSharedFraction * MaxShare(account) : 0.0;
    account.fleet_balance = static_cast<double>(MaxBalance(limit, bounds_));
    if (snapshot_) {
      account.turns_from = TurnsFrom(account, account.fleet_balance);
    }
    ApplySnapshot(customer, account, now);
  }
  return account;
}

void QuotaAccount::RecordRequest(CustomerKey customer,
                                 const QuotaLimit& limit,
                                 std::uint64_t amount,
                                 TimePoint now) {
  Account& account = FindOrCreate(customer, limit, now);
  account.asked.Add(amount, now);
  account.asked_at = now;
  account.unreported.asked += amount;
}

QuotaDecision QuotaAccount::Decide(CustomerKey customer,
                                   std::uint64_t amount,
                                   GranterReach reach,
                                   TimePoint now) {
  Account& account = accounts_[customer];
  Refill(account, reach, now);
  const bool asks = reach == GranterReach::kReachable && now >= account.alone_until;
  if (asks && account.balance < static_cast<double>(amount)) {
    return now < account.refused_until
               ? QuotaDecision{QuotaVerdict::kRefused, Between(now, account.refused_until)}
               : QuotaDecision{QuotaVerdict::kAsk, Duration(0)};
  }
  if (!bounds_.enforced) {
    return DecideAhead(account, amount, reach, now);
  }
  if (!asks && IsOnlyNode()) {
    return DecideForAllNodes(account, amount, now);
  }
  if (account.balance < static_cast<double>(amount)) {
    return DecideInTurn(account, amount, now);
  }
  SpendShare(account, amount);
  return {};
}

// Without a bound on a window: a request may run while the share is not negative, and the excess is
// owed.
QuotaDecision QuotaAccount::DecideAhead(Account& account,
                                        std::uint64_t amount,
                                        GranterReach reach,
                                        TimePoint now) const {
  if (account.balance < 0.0) {
    const double seconds = -account.balance / std::max(1.0, RefillRate(account, reach, now));
    const double wait = seconds * kMillisecondsPerSecond;
    return {QuotaVerdict::kRefused, Duration(static_cast<Duration::rep>(std::ceil(wait)))};
  }
  SpendShare(account, amount);
  return {};
}

// The only node spends the balance of all nodes, and overdraws it by one request as the holder
// does, within the three quarters of the allowed excess that the maximum balance leaves.
QuotaDecision QuotaAccount::DecideForAllNodes(Account& account,
                                              std::uint64_t amount,
                                              TimePoint now) const {
  const double overdraft = (1.0 - kBalanceFractionOfExcess) * AllowedExcess(account.limit, bounds_);
  const double required = std::max(0.0, static_cast<double>(amount) - overdraft);
  if (account.fleet_balance >= required) {
    SpendShare(account, amount);
    return {};
  }
  if (required > static_cast<double>(MaxBalance(account.limit, bounds_))) {
    return {QuotaVerdict::kRefused, WaitForGrant(account, now)};
  }
  return {QuotaVerdict::kRefused, RecoveryTime(required - account.fleet_balance,
                                               static_cast<double>(account.limit.per_second))};
}

void QuotaAccount::Spend(Account& account, std::uint64_t amount) {
  account.fleet_balance -= static_cast<double>(amount);
  account.total_spent += static_cast<std::int64_t>(amount);
  account.unreported.spent += static_cast<std::int64_t>(amount);
}

void QuotaAccount::SpendShare(Account& account, std::uint64_t amount) {
  account.balance -= static_cast<double>(amount);
  Spend(account, amount);
}

// A request that no share and no turn admits runs by a grant only. The granting node is asked again
// after a pause, and grants nothing before the last known debt is recovered.
Duration QuotaAccount::WaitForGrant(const Account& account, TimePoint now) {
  const Duration until_asked = std::max(kAloneTime, Between(now, account.alone_until));
  return std::min(std::max(until_asked, Between(now, account.debt_until)), kMaxQuotaWait);
}

// Until the share or a turn of this node admits the request, whichever comes first.
QuotaDecision QuotaAccount::RefuseAlone(const Account& account,
                                        std::uint64_t amount,
                                        TimePoint now) const {
  std::optional<Duration> by_turn;
  if (HasTurns()) {
    by_turn = WaitForTurn(snapshot_->turns, TurnTermsOf(account.limit, bounds_), amount,
                          account.turns_from, now);
  }
  std::optional<Duration> by_share;
  if (static_cast<double>(amount) <= MaxShare(account)) {
    by_share = RecoveryTime(static_cast<double>(amount) - account.balance,
                            RefillRate(account, GranterReach::kUnreachable, now));
  }
  if (by_turn && (!by_share || *by_turn < *by_share)) {
    return {QuotaVerdict::kRefused, std::min(*by_turn, kMaxQuotaWait), true};
  }
  return {QuotaVerdict::kRefused, by_share ? *by_share : WaitForGrant(account, now)};
}

// Turns of a node are at least half a cycle apart, also when its position has changed.
QuotaDecision QuotaAccount::DecideInTurn(Account& account,
                                         std::uint64_t amount,
                                         TimePoint now) const {
  if (!HasTurns()) {
    return RefuseAlone(account, amount, now);
  }
  const Turn turn = TurnAt(snapshot_->turns, TurnTermsOf(account.limit, bounds_), now);
  const Duration since_last = std::chrono::duration_cast<Duration>(now - account.turn_began_at);
  const bool is_new = turn.open && turn.began_at != account.turn_began_at;
  if (is_new && since_last >= turn.cycle / 2) {
    account.turn_began_at = turn.began_at;
    account.turn_spent = 0.0;
  }
  const bool usable = turn.open && account.turn_began_at == turn.began_at &&
                      now >= account.turns_from &&
                      account.turn_spent + static_cast<double>(amount) <= turn.budget;
  if (!usable) {
    return RefuseAlone(account, amount, now);
  }
  account.turn_spent += static_cast<double>(amount);
  Spend(account, amount);
  return {QuotaVerdict::kGranted, Duration(0), true};
}

// Turns begin when the last known balance has recovered to their start level.
TimePoint QuotaAccount::TurnsFrom(const Account& account, double level) const {
  const double missing = TurnTermsOf(account.limit, bounds_).start_level - level;
  return snapshot_->made_at +
         TimeToRecover(std::max(0.0, missing), static_cast<double>(account.limit.per_second));
}

void QuotaAccount::RefusedByGranter(CustomerKey customer, Duration wait, TimePoint now) {
  accounts_[customer].refused_until = now + std::min(wait, kMaxRefusalTime);
}

void QuotaAccount::Unanswered(CustomerKey customer, TimePoint now) {
  if (bounds_.enforced) {
    accounts_[customer].alone_until = now + kAloneTime;
  }
}

void QuotaAccount::Refund(CustomerKey customer, std::uint64_t amount) {
  const auto found = accounts_.find(customer);
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  account.balance += static_cast<double>(amount);
  account.fleet_balance += static_cast<double>(amount);
  account.total_spent -= static_cast<std::int64_t>(amount);
  account.unreported.spent -= static_cast<std::int64_t>(amount);
}

void QuotaAccount::ApplySnapshot(CustomerKey customer, Account& account, TimePoint now) const {
  const auto found =
      snapshot_ ? snapshot_->balances.find(customer) : BalanceTable::const_iterator();
  if (!snapshot_ || found == snapshot_->balances.end()) {
    return;
  }
  const CustomerBalance& reported = found->second;
  const double asked_here = account.asked.PerSecond(now);
  const double asked = std::max(asked_here, static_cast<double>(reported.asked_per_second));
  const double fraction = asked > 0.0 ? asked_here / asked : 0.0;
  account.share = kEqualFraction / std::max(1U, reported.nodes) + (1.0 - kEqualFraction) * fraction;
  const auto counted = snapshot_->counted.find(customer);
  const std::int64_t own = counted == snapshot_->counted.end() ? 0 : counted->second;
  const double age = std::chrono::duration<double>(now - snapshot_->made_at).count();
  const double level = static_cast<double>(reported.level) +
                       static_cast<double>(account.limit.per_second) * std::max(0.0, age);
  // A negative balance is recovered by the holder, which grants nothing in the meantime.
  const double shared =
      kSharedFraction * std::max(0.0, std::min(MaxShare(account), account.share * level));
  const auto not_counted = static_cast<double>(account.total_spent - own);
  account.balance = shared - not_counted;
  account.fleet_balance =
      std::min(level, static_cast<double>(MaxBalance(account.limit, bounds_))) - not_counted;
  account.refilled_at = now;
  const auto last_level = static_cast<double>(reported.level);
  account.debt_until =
      snapshot_->made_at +
      TimeToRecover(std::max(0.0, -last_level), static_cast<double>(account.limit.per_second));
  account.turns_from = TurnsFrom(account, last_level);
}

void QuotaAccount::ApplyDigest(QuotaSnapshotPtr snapshot, TimePoint now) {
  if (snapshot == snapshot_) {
    return;
  }
  snapshot_ = std::move(snapshot);
  for (auto& [customer, account] : accounts_) {
    ApplySnapshot(customer, account, now);
  }
}

SpendingTable QuotaAccount::Take(TimePoint now) {
  SpendingTable table;
  for (auto& [customer, account] : accounts_) {
    const bool active = now - account.asked_at < kActiveNodeTime;
    if (!active && account.unreported == Spending()) {
      continue;
    }
    account.unreported.nodes = active ? 1 : 0;
    table.emplace(customer, account.unreported);
    account.unreported = Spending();
  }
  return table;
}

}  // namespace rudderloom
