/// @file
/// What the holder of the lease lets single requests spend that are larger than their node's share.
#ifndef RUDDERLOOM_QUOTA_GRANT_BOOK_HPP
#define RUDDERLOOM_QUOTA_GRANT_BOOK_HPP

#include <deque>        // for deque
#include <map>          // for map
#include <string_view>  // for string_view

#include "rudderloom/quota/spending.hpp"  // for BalanceTable

namespace rudderloom {

/// @brief A node asks the holder, or its relay, whether a request may run.
/// @ingroup quota
struct SpendAsk {
  CustomerKey customer = 0;
  std::uint64_t amount = 0;
};

/// @brief What the node that was asked says.
/// @ingroup quota
enum class SpendVerdict {
  kCantSay,  ///< It is not the one to ask now, or knows no such limit: the node decides.
  kGranted,  ///< It may run, and the holder has taken it off the balance.
  kRefused,  ///< The balance is spent.
};

/// @brief The word for counters.
/// @ingroup quota
std::string_view NameOf(SpendVerdict verdict);

/// @brief Its answer.
/// @ingroup quota
struct SpendAnswer {
  SpendVerdict verdict = SpendVerdict::kCantSay;
  Duration wait{0};  ///< Until the balance lets another request run, when refused.
};

/// @brief Part of a balance that nodes spend by their shares, without asking. The rest is granted.
/// A quarter spares the small requests of large customers, which are the most, an exchange.
/// @ingroup quota
constexpr double kSharedPart = 0.25;

/// @brief A node that has heard no word younger than this takes the holder for gone, and asks its
/// relay. Words come each quarter of a second and are some 300 ms old.
/// @ingroup quota
constexpr Duration kGrantsWithWord{1'000};

/// @brief From what grants are made: what the control state last published, of the holder or, while
/// there is none, of a relay.
/// @ingroup quota
struct GrantBasis {
  TimePoint made_at;
  TimePoint valid_from;   ///< Nothing is granted sooner:
  TimePoint valid_until;  ///< or later.
  BalanceTable balances;
  QuotaLimits limits;
  UnknownBalance unknown = UnknownBalance::kEmpty;  ///< Of customers without a balance.
  TimePoint unknown_since;
  double part = 1.0;          ///< Of balances and limits, that is this node's to grant.
  std::uint64_t counted = 0;  ///< The last grant that the balances take in.
};

/// @brief One request that was granted.
/// @ingroup quota
struct SpendGrant {
  std::uint64_t number = 0;  ///< Rises with each.
  SpendAsk ask;
};

/// @brief Grants from the published balances what was not granted since. Pure; time is passed in.
///
/// A customer is ahead by one request at the most, however many nodes ask at a time.
/// @ingroup quota
class GrantBook {
 public:
  explicit GrantBook(const QuotaBounds& bounds) : bounds_(bounds) {}

  SpendAnswer Ask(const SpendAsk& ask, const GrantBasis& basis, TimePoint now);

  /// @brief The grant that was last made.
  const SpendGrant& Last() const { return outstanding_.back(); }

 private:
  double LevelOf(CustomerKey customer, const GrantBasis& basis, TimePoint now) const;
  double Available(CustomerKey customer, const GrantBasis& basis, TimePoint now) const;

  QuotaBounds bounds_;
  std::uint64_t next_number_ = 1;
  std::deque<SpendGrant> outstanding_;  // that the balances don't take in yet
  std::map<CustomerKey, std::uint64_t> sums_;
};

}  // namespace rudderloom

#endif
