/// @file
/// What each customer may still spend over all nodes, as the holder of the lease reckons it.
#ifndef RUDDERLOOM_QUOTA_QUOTA_LEDGER_HPP
#define RUDDERLOOM_QUOTA_QUOTA_LEDGER_HPP

#include <map>       // for map
#include <optional>  // for optional

#include "rudderloom/quota/grant_book.hpp"  // for SpendAsk
#include "rudderloom/quota/spending.hpp"    // for BalanceTable

namespace rudderloom {

/// @brief Balances that the holder takes over from the one before it.
/// @ingroup quota
struct FormerBalances {
  BalanceTable balances;
  TimePoint made_at;  ///< When they held.
};

/// @brief A token bucket for each customer, with spending told later. Pure; time is passed in.
///
/// Every amount is told once by each node and taken off once. Over any window a customer's requests
/// can't take more than its rate, what it may be ahead, and what nodes spend before they are told:
/// see `QuotaAccount`.
/// @ingroup quota
class QuotaLedger {
 public:
  explicit QuotaLedger(const QuotaBounds& bounds) : bounds_(bounds) {}

  /// @brief The lease was taken.
  void Begin(const FormerBalances& former, UnknownBalance unknown, TimePoint now);

  /// @brief Takes what nodes told, and lets rates flow in up to now.
  void Move(const SpendingTable& told, const QuotaLimits& limits, TimePoint now);

  /// @brief The holder let a request run that a node asked for.
  void Granted(const SpendAsk& granted, const QuotaLimits& limits, TimePoint now);

  UnknownBalance Unknown() const { return unknown_; }
  TimePoint BegunAt() const { return begun_at_; }

  BalanceTable Balances(TimePoint now) const;

 private:
  struct Entry {
    double level = 0.0;
    std::uint32_t nodes = 0;
    FadingRate asked;
    TimePoint moved_at;
  };

  Entry& Open(CustomerKey customer, const QuotaLimit& limit, TimePoint now);
  void Refill(Entry& entry, const QuotaLimit& limit, TimePoint now) const;

  QuotaBounds bounds_;
  FormerBalances former_;
  UnknownBalance unknown_ = UnknownBalance::kEmpty;
  TimePoint begun_at_;
  std::map<CustomerKey, Entry> entries_;
};

}  // namespace rudderloom

#endif
