#include "rudderloom/quota/quota_account.hpp"

#include <algorithm>  // for clamp, max, min
#include <cmath>      // for ceil
#include <utility>    // for move

namespace rudderloom {

namespace {

// A node that has heard nothing assumes that a customer asks at so many nodes: about the size of a
// middling fleet, where each customer's callers come by all nodes. In a larger one, nodes that
// start all at once let a customer have more than its rate until the first word, about a second.
constexpr double kUntoldNodes = 64.0;
// Of a told balance, half goes to all nodes alike, so that a new caller finds something, and half
// by what each is asked for.
constexpr double kAlikePart = 0.5;
constexpr double kMillisecondsPerSecond = 1'000.0;
// A refusal holds for so long at the most: others may have given back.
constexpr Duration kRefusedFor{300};

}  // namespace

double QuotaAccount::Most(const Account& account) const {
  return account.share * static_cast<double>(MostAhead(account.limit, bounds_));
}

bool QuotaAccount::WordFresh(TimePoint now) const {
  return word_ && now - word_->made_at < kGrantsWithWord;
}

// A second: of the part that is shared while others grant the rest, or of the whole rate.
double QuotaAccount::Inflow(const Account& account, GranterReach reach, TimePoint now) const {
  const bool alone = reach == GranterReach::kUnreachable && !WordFresh(now);
  const double part = alone ? 1.0 : kSharedPart;
  return part * account.share * static_cast<double>(account.limit.per_second);
}

void QuotaAccount::Move(Account& account, GranterReach reach, TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - account.moved_at).count();
  account.balance =
      std::min(Most(account), account.balance + Inflow(account, reach, now) * seconds);
  account.moved_at = now;
}

QuotaAccount::Account& QuotaAccount::Open(CustomerKey customer,
                                          const QuotaLimit& limit,
                                          TimePoint now) {
  const auto [found, is_new] = accounts_.try_emplace(customer);
  Account& account = found->second;
  if (!is_new && account.limit == limit) {
    return account;
  }
  account.limit = limit;
  if (is_new) {
    account.moved_at = now;
    account.share = 1.0 / kUntoldNodes;
    // The holder names customers that ask somewhere: the others' balance is whole.
    account.balance = WordFresh(now) ? kSharedPart * Most(account) : 0.0;
    TakeWord(customer, account, now);
  }
  return account;
}

void QuotaAccount::Asked(CustomerKey customer,
                         const QuotaLimit& limit,
                         std::uint64_t amount,
                         TimePoint now) {
  Account& account = Open(customer, limit, now);
  account.asked.Add(amount, now);
  account.asked_at = now;
  account.untold.asked += amount;
}

QuotaDecision QuotaAccount::Decide(CustomerKey customer,
                                   std::uint64_t amount,
                                   GranterReach reach,
                                   TimePoint now) {
  Account& account = accounts_[customer];
  Move(account, reach, now);
  if (reach == GranterReach::kReachable && account.balance < static_cast<double>(amount)) {
    return now < account.refused_until
               ? QuotaDecision{QuotaVerdict::kRefused, Between(now, account.refused_until)}
               : QuotaDecision{QuotaVerdict::kAsk, Duration(0)};
  }
  if (account.balance < 0.0) {
    const double seconds = -account.balance / std::max(1.0, Inflow(account, reach, now));
    const double wait = seconds * kMillisecondsPerSecond;
    return {QuotaVerdict::kRefused, Duration(static_cast<Duration::rep>(std::ceil(wait)))};
  }
  account.balance -= static_cast<double>(amount);
  account.total += static_cast<std::int64_t>(amount);
  account.untold.spent += static_cast<std::int64_t>(amount);
  return {QuotaVerdict::kGranted, Duration(0)};
}

void QuotaAccount::RefusedByGranter(CustomerKey customer, Duration wait, TimePoint now) {
  accounts_[customer].refused_until = now + std::min(wait, kRefusedFor);
}

void QuotaAccount::GiveBack(CustomerKey customer, std::uint64_t amount) {
  const auto found = accounts_.find(customer);
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  account.balance += static_cast<double>(amount);
  account.total -= static_cast<std::int64_t>(amount);
  account.untold.spent -= static_cast<std::int64_t>(amount);
}

void QuotaAccount::TakeWord(CustomerKey customer, Account& account, TimePoint now) const {
  const auto found = word_ ? word_->balances.find(customer) : BalanceTable::const_iterator();
  if (!word_ || found == word_->balances.end()) {
    return;
  }
  const CustomerBalance& told = found->second;
  const double asked_here = account.asked.PerSecond(now);
  const double asked = std::max(asked_here, static_cast<double>(told.asked_per_second));
  const double part = asked > 0.0 ? asked_here / asked : 0.0;
  account.share = kAlikePart / std::max(1U, told.nodes) + (1.0 - kAlikePart) * part;
  const auto counted = word_->counted.find(customer);
  const std::int64_t own = counted == word_->counted.end() ? 0 : counted->second;
  const double age = std::chrono::duration<double>(now - word_->made_at).count();
  const double level = static_cast<double>(told.level) +
                       static_cast<double>(account.limit.per_second) * std::max(0.0, age);
  // What is below nothing is the holder's to win back: it grants nothing meanwhile.
  const double shared = kSharedPart * std::max(0.0, std::min(Most(account), account.share * level));
  account.balance = shared - static_cast<double>(account.total - own);
  account.moved_at = now;
}

void QuotaAccount::Heard(QuotaWordPtr word, TimePoint now) {
  if (word == word_) {
    return;
  }
  word_ = std::move(word);
  for (auto& [customer, account] : accounts_) {
    TakeWord(customer, account, now);
  }
}

SpendingTable QuotaAccount::Take(TimePoint now) {
  SpendingTable table;
  for (auto& [customer, account] : accounts_) {
    const bool asks = now - account.asked_at < kAsksFor;
    if (!asks && account.untold == Spending()) {
      continue;
    }
    account.untold.nodes = asks ? 1 : 0;
    table.emplace(customer, account.untold);
    account.untold = Spending();
  }
  return table;
}

}  // namespace rudderloom
