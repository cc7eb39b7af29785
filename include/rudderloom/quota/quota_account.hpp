/// @file
/// What this node lets customers spend, between two words of the lease's holder and without any.
#ifndef RUDDERLOOM_QUOTA_QUOTA_ACCOUNT_HPP
#define RUDDERLOOM_QUOTA_QUOTA_ACCOUNT_HPP

#include <map>  // for map

#include "rudderloom/quota/grant_book.hpp"  // for kSharedPart
#include "rudderloom/quota/spending.hpp"    // for QuotaWordPtr

namespace rudderloom {

/// @brief What becomes of a request as far as its customer's limit goes.
/// @ingroup quota
enum class QuotaVerdict {
  kGranted,
  kRefused,
  kAsk,  ///< It is more than this node's share: the node that grants requests can tell.
};

/// @brief A verdict, and with a refusal how long until a request is likely to be let run.
/// @ingroup quota
struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kGranted;
  Duration wait{0};
};

/// @brief Whether a node that grants requests can be asked: the holder, or a relay.
/// @ingroup quota
enum class GranterReach {
  kReachable,
  kUnreachable,  ///< Not known, silent, or it could not say.
};

/// @brief Decides at a node which requests of a customer are inside its limit. Pure; time is passed
/// in.
///
/// A customer's callers come by all nodes, and a request is larger than a node's equal share of a
/// second: with 60 nodes that share is 0.5 to 10 thousand tokens, a prompt some 9 thousand. So the
/// holder grants most requests one by one. Only a part of the balance that it tells is spent
/// without asking: of that a node takes a share by the number of nodes where the customer asks and
/// by how much of that it asks here, and takes off what the balance does not take in yet.
///
/// While there is no holder, relays grant the same way, each its group's part. Where nobody can be
/// asked a node goes by its share alone. A request may run while anything is left of it, and what
/// it takes beyond is owed: all nodes together are ahead by one request of each at the most. One
/// that has heard nothing of a customer yet takes a small fixed share.
/// @ingroup quota
class QuotaAccount {
 public:
  explicit QuotaAccount(const QuotaBounds& bounds) : bounds_(bounds) {}

  /// @brief True while the holder's word is so new that the holder itself grants requests. After
  /// that its relays do, each for the nodes that report to it.
  bool WordFresh(TimePoint now) const;

  /// @brief A request comes. Told once, before anything is decided about it.
  void Asked(CustomerKey customer, const QuotaLimit& limit, std::uint64_t amount, TimePoint now);

  /// @brief Decides about it, and takes off what it grants.
  QuotaDecision Decide(CustomerKey customer,
                       std::uint64_t amount,
                       GranterReach reach,
                       TimePoint now);

  /// @brief The node that was asked refused a request: for a moment the next ones are refused
  /// without asking.
  void RefusedByGranter(CustomerKey customer, Duration wait, TimePoint now);

  /// @brief A request that this node or another one let run was refused after all.
  void GiveBack(CustomerKey customer, std::uint64_t amount);

  /// @brief Takes a newer word, or the same one again.
  void Heard(QuotaWordPtr word, TimePoint now);

  /// @brief What was spent since the last call, by every customer that has asked lately.
  SpendingTable Take(TimePoint now);

 private:
  struct Account {
    QuotaLimit limit;
    double share = 0.0;       // of the customer's rate and balance
    double balance = 0.0;     // this node's part
    TimePoint refused_until;  // by the node that was asked
    TimePoint moved_at;
    TimePoint asked_at;
    FadingRate asked;
    std::int64_t total = 0;  // spent without asking, since the start of the process
    Spending untold;
  };

  Account& Open(CustomerKey customer, const QuotaLimit& limit, TimePoint now);
  double Most(const Account& account) const;
  double Inflow(const Account& account, GranterReach reach, TimePoint now) const;
  void Move(Account& account, GranterReach reach, TimePoint now) const;
  void TakeWord(CustomerKey customer, Account& account, TimePoint now) const;

  QuotaBounds bounds_;
  QuotaWordPtr word_;
  std::map<CustomerKey, Account> accounts_;
};

}  // namespace rudderloom

#endif
