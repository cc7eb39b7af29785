/// @file
/// Fleet-wide customer balances, maintained by the lease holder.
#ifndef RUDDERLOOM_QUOTA_QUOTA_LEDGER_HPP
#define RUDDERLOOM_QUOTA_QUOTA_LEDGER_HPP

#include <map>       // for map
#include <optional>  // for optional
#include <vector>    // for vector

#include "rudderloom/quota/grant_book.hpp"  // for SpendRequest
#include "rudderloom/quota/spending.hpp"    // for BalanceTable
#include "rudderloom/quota/turn_table.hpp"  // for SilentTurns

namespace rudderloom {

/// @brief Balances that a new holder takes over from its predecessor.
/// @ingroup quota
struct PreviousBalances {
  BalanceTable balances;
  TimePoint made_at;  ///< When they were valid.
};

/// @brief What nodes that the holder does not hear may spend without its knowledge.
/// @ingroup quota
struct QuotaReserve {
  double fraction = 0.0;            ///< Of each customer's rate.
  std::vector<SilentTurns> silent;  ///< Their shares and the budgets of their turns.
  TimePoint origin;                 ///< Start of the turns' clock.
};

/// @brief A token bucket per customer, with spending reported afterwards. Does no I/O; time is
/// passed in.
///
/// Each node reports every amount once, and it is deducted once. Over any window, a customer can't
/// spend more than its rate, its maximum balance, and what nodes spend before they receive the new
/// balance: see `QuotaAccount`.
/// @ingroup quota
class QuotaLedger {
 public:
  explicit QuotaLedger(const QuotaBounds& bounds) : bounds_(bounds) {}

  /// @brief Resets the ledger when this node acquires the lease.
  void Begin(const PreviousBalances& former, AssumedBalance unknown, TimePoint now);

  /// @brief Refills the balances up to `now` and deducts the reported spending, and what nodes that
  /// are not heard may have spent.
  void Update(const SpendingTable& reported,
              const QuotaLimits& limits,
              TimePoint now,
              const QuotaReserve& reserve = {});

  /// @brief Deducts a request that the holder granted.
  void Granted(const SpendRequest& granted, const QuotaLimits& limits, TimePoint now);

  AssumedBalance Unknown() const { return unknown_; }
  TimePoint BegunAt() const { return begun_at_; }

  BalanceTable Balances(TimePoint now) const;

 private:
  struct Entry {
    double level = 0.0;
    std::uint32_t nodes = 0;
    DecayingRate asked;
    TimePoint refilled_at;
  };

  Entry& FindOrCreate(CustomerKey customer, const QuotaLimit& limit, TimePoint now);
  void Refill(Entry& entry,
              const QuotaLimit& limit,
              TimePoint now,
              const QuotaReserve& reserve) const;

  QuotaBounds bounds_;
  PreviousBalances former_;
  AssumedBalance unknown_ = AssumedBalance::kEmpty;
  TimePoint begun_at_;
  std::map<CustomerKey, Entry> entries_;
};

}  // namespace rudderloom

#endif
