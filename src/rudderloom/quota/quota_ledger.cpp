#include "rudderloom/quota/quota_ledger.hpp"

#include <algorithm>  // for clamp, max

#include "rudderloom/quota/turn_schedule.hpp"  // for TurnBudgets

namespace rudderloom {

namespace {

// A part in proportion to the time would not do for turns: those of a group of nodes may follow one
// another, and spend all of the turns' part of the rate for some seconds.
double SpentBySilent(const SilentTurns& silent,
                     const QuotaLimit& limit,
                     const QuotaBounds& bounds,
                     TimePoint origin) {
  const double seconds = std::chrono::duration<double>(silent.until - silent.after).count();
  const double part = static_cast<double>(silent.span.count) / std::max(1U, silent.positions);
  const double shares = kSharedFraction * part * static_cast<double>(limit.per_second) * seconds;
  return shares + TurnBudgets(silent, TurnTermsOf(limit, bounds), origin);
}

}  // namespace

void QuotaLedger::Begin(const PreviousBalances& former, AssumedBalance unknown, TimePoint now) {
  former_ = former;
  unknown_ = unknown;
  begun_at_ = now;
  entries_.clear();
}

QuotaLedger::Entry& QuotaLedger::FindOrCreate(CustomerKey customer,
                                              const QuotaLimit& limit,
                                              TimePoint now) {
  const auto [found, is_new] = entries_.try_emplace(customer);
  Entry& entry = found->second;
  if (!is_new) {
    return entry;
  }
  if (const auto known = former_.balances.find(customer); known != former_.balances.end()) {
    entry.level = static_cast<double>(known->second.level);
    entry.refilled_at = former_.made_at;
  } else {
    entry.level = AssumedLevel(unknown_, limit, bounds_, begun_at_, now);
    entry.refilled_at = now;
  }
  return entry;
}

// The level is limited to one window's debt: earlier spending can't violate the bound any more.
void QuotaLedger::Refill(Entry& entry,
                         const QuotaLimit& limit,
                         TimePoint now,
                         const QuotaReserve& reserve) const {
  const auto rate = static_cast<double>(limit.per_second);
  const double seconds = std::chrono::duration<double>(now - entry.refilled_at).count();
  const double min_level = -rate * std::chrono::duration<double>(bounds_.window).count();
  const auto max_level = static_cast<double>(MaxBalance(limit, bounds_));
  double refill = (1.0 - reserve.fraction) * rate * std::max(0.0, seconds);
  for (const SilentTurns& silent : reserve.silent) {
    refill -= SpentBySilent(silent, limit, bounds_, reserve.origin);
  }
  entry.level = std::clamp(entry.level + refill, min_level, max_level);
  entry.refilled_at = now;
}

void QuotaLedger::Update(const SpendingTable& reported,
                         const QuotaLimits& limits,
                         TimePoint now,
                         const QuotaReserve& reserve) {
  std::erase_if(entries_, [&](const auto& entry) { return !limits.contains(entry.first); });
  for (const auto& [customer, spending] : reported) {
    if (const auto limit = limits.find(customer); limit != limits.end()) {
      FindOrCreate(customer, limit->second, now);
    }
  }
  for (auto& [customer, entry] : entries_) {
    Refill(entry, limits.at(customer), now, reserve);
    const auto found = reported.find(customer);
    entry.nodes = found == reported.end() ? 0 : found->second.nodes;
    if (found != reported.end()) {
      entry.level -= static_cast<double>(found->second.spent);
      entry.asked.Add(found->second.asked, now);
    }
  }
}

void QuotaLedger::Granted(const SpendRequest& granted, const QuotaLimits& limits, TimePoint now) {
  const auto limit = limits.find(granted.customer);
  if (limit != limits.end()) {
    FindOrCreate(granted.customer, limit->second, now).level -= static_cast<double>(granted.amount);
  }
}

BalanceTable QuotaLedger::Balances(TimePoint now) const {
  BalanceTable balances;
  for (const auto& [customer, entry] : entries_) {
    balances[customer] = {static_cast<std::int64_t>(entry.level), entry.nodes,
                          static_cast<std::uint64_t>(entry.asked.PerSecond(now))};
  }
  return balances;
}

}  // namespace rudderloom
