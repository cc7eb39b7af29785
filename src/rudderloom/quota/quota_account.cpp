#include "rudderloom/quota/quota_account.hpp"

#include <algorithm>  // for clamp, max, min
#include <cmath>      // for ceil
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
// Maximum time for which a refusal is cached: other nodes may have refunded requests since.
constexpr Duration kMaxRefusalTime{300};

}  // namespace

double QuotaAccount::MaxShare(const Account& account) const {
  return account.share * static_cast<double>(MaxBalance(account.limit, bounds_));
}

bool QuotaAccount::HasFreshDigest(TimePoint now) const {
  return snapshot_ && now - snapshot_->made_at < kMaxGrantDigestAge;
}

bool QuotaAccount::HasTurns() const {
  return snapshot_ && snapshot_->turns.position > 0;
}

// Per second: the shared fraction while the rest is granted by other nodes or spent in turns,
// otherwise the full share.
double QuotaAccount::RefillRate(const Account& account, GranterReach reach, TimePoint now) const {
  const bool alone = reach == GranterReach::kUnreachable && !HasFreshDigest(now) && !HasTurns();
  const double fraction = alone ? 1.0 : kSharedFraction;
  return fraction * account.share * static_cast<double>(account.limit.per_second);
}

void QuotaAccount::Refill(Account& account, GranterReach reach, TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - account.refilled_at).count();
  account.balance =
      std::min(MaxShare(account), account.balance + RefillRate(account, reach, now) * seconds);
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
  if (account.balance < static_cast<double>(amount)) {
    return HasTurns() ? DecideInTurn(account, amount, now)
                      : QuotaDecision{QuotaVerdict::kRefused, WaitForShare(account, amount, now)};
  }
  account.balance -= static_cast<double>(amount);
  Spend(account, amount);
  return {QuotaVerdict::kGranted, Duration(0)};
}

void QuotaAccount::Spend(Account& account, std::uint64_t amount) {
  account.total_spent += static_cast<std::int64_t>(amount);
  account.unreported.spent += static_cast<std::int64_t>(amount);
}

Duration QuotaAccount::WaitForShare(const Account& account,
                                    std::uint64_t amount,
                                    TimePoint now) const {
  const double missing = static_cast<double>(amount) - account.balance;
  const double rate = std::max(1.0, RefillRate(account, GranterReach::kUnreachable, now));
  const double wait = std::ceil(missing / rate * kMillisecondsPerSecond);
  return Duration(
      static_cast<Duration::rep>(std::min(wait, static_cast<double>(kMaxQuotaWait.count()))));
}

// Turns of a node are at least half a cycle apart, also when its position has changed.
QuotaDecision QuotaAccount::DecideInTurn(Account& account,
                                         std::uint64_t amount,
                                         TimePoint now) const {
  const Turn turn = TurnAt(snapshot_->turns, account.limit, bounds_, now);
  if (turn.cycle <= Duration(0)) {
    return {QuotaVerdict::kRefused, WaitForShare(account, amount, now)};
  }
  const Duration since_last = std::chrono::duration_cast<Duration>(now - account.turn_began_at);
  const bool is_new = turn.open && turn.began_at != account.turn_began_at;
  if (is_new && since_last >= turn.cycle / 2) {
    account.turn_began_at = turn.began_at;
    account.turn_spent = 0.0;
  }
  const bool usable = turn.open && account.turn_began_at == turn.began_at &&
                      now >= account.debt_until &&
                      account.turn_spent + static_cast<double>(amount) <= turn.budget;
  if (!usable) {
    return {QuotaVerdict::kRefused, std::min(turn.wait, kMaxQuotaWait), true};
  }
  account.turn_spent += static_cast<double>(amount);
  Spend(account, amount);
  return {QuotaVerdict::kGranted, Duration(0), true};
}

void QuotaAccount::RefusedByGranter(CustomerKey customer, Duration wait, TimePoint now) {
  accounts_[customer].refused_until = now + std::min(wait, kMaxRefusalTime);
}

void QuotaAccount::Unanswered(CustomerKey customer, TimePoint now) {
  accounts_[customer].alone_until = now + kAloneTime;
}

void QuotaAccount::Refund(CustomerKey customer, std::uint64_t amount) {
  const auto found = accounts_.find(customer);
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  account.balance += static_cast<double>(amount);
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
  account.balance = shared - static_cast<double>(account.total_spent - own);
  account.refilled_at = now;
  const double debt = std::max(0.0, -static_cast<double>(reported.level));
  const double rate = std::max(1.0, static_cast<double>(account.limit.per_second));
  account.debt_until = snapshot_->made_at +
                       Duration(static_cast<Duration::rep>(debt / rate * kMillisecondsPerSecond));
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
