/// @file
/// Central grants for requests that exceed their node's share of a quota.
#ifndef RUDDERLOOM_QUOTA_GRANT_BOOK_HPP
#define RUDDERLOOM_QUOTA_GRANT_BOOK_HPP

#include <deque>        // for deque
#include <map>          // for map
#include <string_view>  // for string_view

#include "rudderloom/quota/spending.hpp"  // for BalanceTable

namespace rudderloom {

/// @brief A node's inquiry to the lease holder, or to its relay, whether a request may run.
/// @ingroup quota
struct SpendRequest {
  CustomerKey customer = 0;
  std::uint64_t amount = 0;
};

/// @brief Decision of the node that was asked.
/// @ingroup quota
enum class SpendVerdict {
  kUndecided,  ///< It is not granting now, or knows no such limit: the asking node decides.
  kGranted,    ///< The request may run and was deducted from the balance.
  kRefused,    ///< The balance is spent.
};

/// @brief Returns the name used as a metric label.
/// @ingroup quota
std::string_view NameOf(SpendVerdict verdict);

/// @brief Answer to a `SpendRequest`.
/// @ingroup quota
struct SpendAnswer {
  SpendVerdict verdict = SpendVerdict::kUndecided;
  Duration wait{0};  ///< If refused: until the balance admits another request.
};

/// @brief Fraction of a balance that nodes spend by their shares, without asking. The rest is
/// granted centrally. A quarter saves the round trip for the small requests of large customers,
/// which are the majority.
/// @ingroup quota
constexpr double kSharedFraction = 0.25;

/// @brief A node without a digest younger than this considers the holder lost and asks its relay.
/// Digests arrive every 250 ms and are some 300 ms old.
/// @ingroup quota
constexpr Duration kMaxGrantDigestAge{1'000};

/// @brief Input to grant decisions, as last published by the control state of the holder or, while
/// there is none, of a relay.
/// @ingroup quota
struct GrantBasis {
  TimePoint made_at;
  TimePoint valid_from;   ///< Nothing is granted earlier
  TimePoint valid_until;  ///< or from this time on.
  BalanceTable balances;
  QuotaLimits limits;
  AssumedBalance assumed = AssumedBalance::kEmpty;  ///< For customers without a balance.
  TimePoint unknown_since;
  double fraction = 1.0;      ///< Fraction of balances and limits that this node may grant.
  std::uint64_t counted = 0;  ///< The last grant included in the balances.
};

/// @brief A granted request.
/// @ingroup quota
struct SpendGrant {
  std::uint64_t number = 0;  ///< Increases with each grant.
  SpendRequest ask;
};

/// @brief Grants requests from the published balances, less the grants made since. Does no I/O;
/// time is passed in.
///
/// A customer overdraws its balance by one request at most, regardless of the number of nodes that
/// ask concurrently.
/// @ingroup quota
class GrantBook {
 public:
  explicit GrantBook(const QuotaBounds& bounds) : bounds_(bounds) {}

  SpendAnswer Ask(const SpendRequest& ask, const GrantBasis& basis, TimePoint now);

  /// @brief Returns the most recent grant.
  const SpendGrant& Last() const { return outstanding_.back(); }

 private:
  double LevelOf(CustomerKey customer, const GrantBasis& basis, TimePoint now) const;
  double Available(CustomerKey customer, const GrantBasis& basis, TimePoint now) const;

  QuotaBounds bounds_;
  std::uint64_t next_number_ = 1;
  std::deque<SpendGrant> outstanding_;  // not yet included in the balances
  std::map<CustomerKey, std::uint64_t> outstanding_sums_;
};

}  // namespace rudderloom

#endif
