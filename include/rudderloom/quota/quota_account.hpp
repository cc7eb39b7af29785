/// @file
/// What this node lets customers spend, between two words of the lease's holder and without any.
#ifndef RUDDERLOOM_QUOTA_QUOTA_ACCOUNT_HPP
#define RUDDERLOOM_QUOTA_QUOTA_ACCOUNT_HPP

#include <map>       // for map
#include <optional>  // for optional

#include "rudderloom/quota/spending.hpp"  // for QuotaWordPtr

namespace rudderloom {

/// @brief Decides at a node which requests of a customer are inside its limit. Pure; time is passed
/// in.
///
/// A request is larger than a node's equal share of a second: with 60 nodes that share is 0.5 to 10
/// thousand tokens, a prompt some 9 thousand, and a customer's callers come by a few of the nodes.
/// So a node spends from the balance that the holder tells, of which it takes a share by the number
/// of nodes where the customer asks and by how much of that it asks here. The shares of all nodes
/// make up the balance, and each node takes off what the balance does not take in yet. A request
/// may run while anything is left, and what it takes beyond is owed: all nodes together are ahead
/// by one request of each at the most.
///
/// Between words, and when they stay away, a node's share of the customer's rate flows in. A node
/// that has heard nothing of a customer yet takes a small fixed share.
/// @ingroup quota
class QuotaAccount {
 public:
  explicit QuotaAccount(const QuotaBounds& bounds) : bounds_(bounds) {}

  /// @brief A request comes.
  /// @return Nothing when it may run; else how long until this node is likely to let one run.
  std::optional<Duration> Spend(CustomerKey customer,
                                const QuotaLimit& limit,
                                std::uint64_t amount,
                                TimePoint now);

  /// @brief A request that might run was refused after all.
  void GiveBack(CustomerKey customer, std::uint64_t amount);

  /// @brief Takes a newer word, or the same one again.
  void Heard(QuotaWordPtr word, TimePoint now);

  /// @brief What was spent since the last call, by every customer that has asked lately.
  SpendingTable Take(TimePoint now);

 private:
  struct Account {
    QuotaLimit limit;
    double share = 0.0;    // of the customer's rate and balance
    double balance = 0.0;  // this node's part
    bool told = false;     // by a word
    TimePoint moved_at;
    TimePoint asked_at;
    FadingRate asked;
    std::int64_t total = 0;  // spent since the start of the process
    Spending untold;
  };

  Account& Open(CustomerKey customer, const QuotaLimit& limit, TimePoint now);
  double Most(const Account& account) const;
  void Move(Account& account, TimePoint now) const;
  void TakeWord(CustomerKey customer, Account& account, TimePoint now) const;

  QuotaBounds bounds_;
  QuotaWordPtr word_;
  std::map<CustomerKey, Account> accounts_;
};

}  // namespace rudderloom

#endif
