/// @file
/// Customer spending and balances, as exchanged between nodes.
#ifndef RUDDERLOOM_QUOTA_SPENDING_HPP
#define RUDDERLOOM_QUOTA_SPENDING_HPP

#include <cstdint>  // for int64_t, uint32_t, uint64_t
#include <map>      // for map
#include <memory>   // for shared_ptr

#include "rudderloom/base/clock.hpp"          // for TimePoint
#include "rudderloom/customers/customer.hpp"  // for CustomerKey, QuotaLimit

namespace rudderloom {

/// @brief By how much the admitted requests of all nodes together may exceed a limit within a
/// window.
/// @ingroup quota
struct QuotaBounds {
  Duration window{8'000};  ///< Sliding.
  double overshoot = 0.0;  ///< Fraction of what the limit allows within the window.
  double slack = 0.0;      ///< In addition, in the limit's unit.
  /// @brief False where the settings state no window. Then nodes that can ask nobody may each run
  /// one request ahead of their share.
  bool enforced = true;
};

/// @brief Returns by how much requests may exceed a limit within a window.
/// @ingroup quota
double AllowedExcess(const QuotaLimit& limit, const QuotaBounds& bounds);

/// @brief Fraction of the allowed excess that is added to the maximum balance.
/// @ingroup quota
constexpr double kBalanceFractionOfExcess = 0.25;

/// @brief Returns the maximum balance: what a customer may spend at once after a time without
/// requests.
///
/// It is the burst plus a quarter of the overshoot that the bounds allow: callers with bursty
/// traffic, or with a prompt larger than the burst, are within their limit on average. The other
/// three quarters are reserved for what nodes spend before they learn of each other's spending.
/// @ingroup quota
std::int64_t MaxBalance(const QuotaLimit& limit, const QuotaBounds& bounds);

/// @brief Assumption on customers without a known balance.
/// @ingroup quota
enum class AssumedBalance {
  kFull,     ///< First start of the whole system: nothing was spent.
  kQuarter,  ///< Mostly unspent at the last renewal by the holder before last.
  kEmpty,    ///< May have been spent on nodes that are gone.
};

/// @brief Returns the assumed balance of a customer without a known one.
/// @param since When the assumption held.
/// @ingroup quota
double AssumedLevel(AssumedBalance unknown,
                    const QuotaLimit& limit,
                    const QuotaBounds& bounds,
                    TimePoint since,
                    TimePoint now);

/// @brief Unreported spending of one customer on one or several nodes.
/// @ingroup quota
struct Spending {
  std::int64_t spent = 0;   ///< By granted requests; negative if more was refunded.
  std::uint64_t asked = 0;  ///< Including refused requests.
  std::uint32_t nodes = 0;  ///< Nodes with requests within `kActiveNodeTime`.
  bool operator==(const Spending&) const = default;
};

/// @brief Time after a request for which a node counts as used by the customer.
/// @ingroup quota
constexpr Duration kActiveNodeTime{10'000};

/// @brief Spending by customer.
/// @ingroup quota
using SpendingTable = std::map<CustomerKey, Spending>;

/// @brief Adds earlier spending to a newer table of the same node.
/// @ingroup quota
void MergeUnreported(const SpendingTable& earlier, SpendingTable& newer);

/// @brief Fleet-wide balance of a customer, according to the lease holder's digest.
/// @ingroup quota
struct CustomerBalance {
  std::int64_t level = 0;              ///< Negative if overdrawn.
  std::uint32_t nodes = 0;             ///< Number of nodes that the customer uses.
  std::uint64_t asked_per_second = 0;  ///< Demand over all nodes.
  bool operator==(const CustomerBalance&) const = default;
};

/// @brief Balances by customer.
/// @ingroup quota
using BalanceTable = std::map<CustomerKey, CustomerBalance>;

/// @brief A node's place in the order in which nodes without a granting node take turns, as the
/// holder's digest states it. See `TurnAt`.
/// @ingroup quota
struct TurnPlan {
  std::uint32_t position = 0;   ///< From 1; 0: unknown.
  std::uint32_t positions = 0;  ///< Number of live nodes when the holder made the digest.
  TimePoint origin;             ///< Start of the holder's turn clock, in this node's time.
  bool operator==(const TurnPlan&) const = default;
};

/// @brief A node's turns as sent with a digest.
/// @ingroup quota
struct TurnAssignment {
  std::uint32_t position = 0;   ///< From 1; 0: the node has no turns.
  std::uint32_t count = 0;      ///< Positions of the node and of those that report through it.
  std::uint32_t positions = 0;  ///< Of all nodes.
  Duration clock{0};            ///< Of the turns, when the holder made the digest.
  bool operator==(const TurnAssignment&) const = default;
};

/// @brief The holder's balances for the traffic thread. Immutable once published.
/// @ingroup quota
struct QuotaSnapshot {
  TimePoint made_at;  ///< When the holder created it.
  BalanceTable balances;
  /// @brief Spending of this process since its start that is included in the balances.
  std::map<CustomerKey, std::int64_t> counted;
  TurnPlan turns = {};
};

/// @brief Null before the first digest.
/// @ingroup quota
using QuotaSnapshotPtr = std::shared_ptr<const QuotaSnapshot>;

/// @brief Exponentially decaying average of an amount per second.
/// @ingroup quota
class DecayingRate {
 public:
  void Add(std::uint64_t amount, TimePoint now);
  double PerSecond(TimePoint now) const;

 private:
  double sum_ = 0.0;
  TimePoint decayed_at_;
};

}  // namespace rudderloom

#endif
