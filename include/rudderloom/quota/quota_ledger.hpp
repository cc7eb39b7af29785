/// @file
/// Fleet-wide customer balances, maintained by the lease holder.
#ifndef RUDDERLOOM_QUOTA_QUOTA_LEDGER_HPP
#define RUDDERLOOM_QUOTA_QUOTA_LEDGER_HPP

#include <map>       // for map
#include <optional>  // for optional

#include "rudderloom/quota/grant_book.hpp"  // for SpendRequest
#include "rudderloom/quota/spending.hpp"    // for BalanceTable

namespace rudderloom {

/// @brief Balances that a new holder takes over from its predecessor.
/// @ingroup quota
struct PreviousBalances {
  BalanceTable balances;
  TimePoint made_at;  ///< When they were valid.
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

  /// @brief Refills the balances up to `now` and deducts the reported spending.
  /// @param refill_fraction Fraction of the rate that is refilled. The rest is reserved for nodes
  /// that this node does not hear: they may spend it without its knowledge.
  void Update(const SpendingTable& reported,
              const QuotaLimits& limits,
              TimePoint now,
              double refill_fraction = 1.0);

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
  void Refill(Entry& entry, const QuotaLimit& limit, TimePoint now, double fraction) const;

  QuotaBounds bounds_;
  PreviousBalances former_;
  AssumedBalance unknown_ = AssumedBalance::kEmpty;
  TimePoint begun_at_;
  std::map<CustomerKey, Entry> entries_;
};

}  // namespace rudderloom

#endif
