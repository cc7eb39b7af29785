/// @file
/// What customers have spent, and what they may still spend, as nodes tell each other.
#ifndef RUDDERLOOM_QUOTA_SPENDING_HPP
#define RUDDERLOOM_QUOTA_SPENDING_HPP

#include <cstdint>  // for int64_t, uint32_t, uint64_t
#include <map>      // for map
#include <memory>   // for shared_ptr

#include "rudderloom/base/clock.hpp"          // for TimePoint
#include "rudderloom/customers/customer.hpp"  // for CustomerKey, QuotaLimit

namespace rudderloom {

/// @brief How far over a limit requests may go that run, over all nodes together, and in which
/// time.
/// @ingroup quota
struct QuotaBounds {
  Duration window{8'000};  ///< Sliding.
  double overshoot = 0.0;  ///< Share of what the limit allows within the window.
  double slack = 0.0;      ///< Beyond that, in the limit's unit.
};

/// @brief Most that a customer who has asked for nothing lately may spend at once.
///
/// Its burst, and a quarter of what the bounds let it go over its limit: callers that come in
/// clumps, or with one prompt larger than the burst, are inside their limit on the whole. The other
/// three quarters are for what nodes spend before they hear of each other.
/// @ingroup quota
std::int64_t MostAhead(const QuotaLimit& limit, const QuotaBounds& bounds);

/// @brief What is assumed of customers of whom nothing is known.
/// @ingroup quota
enum class UnknownBalance {
  kWhole,    ///< Nobody has ever asked: the whole system starts.
  kQuarter,  ///< They had most of it when the holder before last renewed its lease.
  kEmpty,    ///< They may have spent it at nodes that are gone.
};

/// @brief The balance of such a customer.
/// @param since When that was so.
/// @ingroup quota
double UnknownLevel(UnknownBalance unknown,
                    const QuotaLimit& limit,
                    const QuotaBounds& bounds,
                    TimePoint since,
                    TimePoint now);

/// @brief What one customer spent, at one node or at several, since it was last told.
/// @ingroup quota
struct Spending {
  std::int64_t spent = 0;   ///< By requests that ran or may yet; below 0: more was given back.
  std::uint64_t asked = 0;  ///< The same with requests that were refused.
  std::uint32_t nodes = 0;  ///< At which it has asked within `kAsksFor`.
  bool operator==(const Spending&) const = default;
};

/// @brief A node counts as one that a customer asks at for so long after a request.
/// @ingroup quota
constexpr Duration kAsksFor{10'000};

/// @brief Spending by customer.
/// @ingroup quota
using SpendingTable = std::map<CustomerKey, Spending>;

/// @brief Adds what was told earlier, or was to be, to a newer table of the same node.
/// @ingroup quota
void AddUntold(const SpendingTable& earlier, SpendingTable& newer);

/// @brief What a customer may still spend over all nodes, as of the word of the lease's holder.
/// @ingroup quota
struct CustomerBalance {
  std::int64_t level = 0;              ///< Below 0: spent ahead of its rate.
  std::uint32_t nodes = 0;             ///< At which it asks.
  std::uint64_t asked_per_second = 0;  ///< Over all nodes.
  bool operator==(const CustomerBalance&) const = default;
};

/// @brief Balances by customer.
/// @ingroup quota
using BalanceTable = std::map<CustomerKey, CustomerBalance>;

/// @brief The holder's word as traffic needs it. Immutable once published.
/// @ingroup quota
struct QuotaWord {
  TimePoint made_at;  ///< By the holder.
  BalanceTable balances;
  /// @brief What this process has spent since its start as far as the balances take it in.
  std::map<CustomerKey, std::int64_t> counted;
};

/// @brief Null before the first word.
/// @ingroup quota
using QuotaWordPtr = std::shared_ptr<const QuotaWord>;

/// @brief An amount a second that fades: of the last seconds, most of the last one.
/// @ingroup quota
class FadingRate {
 public:
  void Add(std::uint64_t amount, TimePoint now);
  double PerSecond(TimePoint now) const;

 private:
  double sum_ = 0.0;
  TimePoint faded_at_;
};

}  // namespace rudderloom

#endif
