/// @file
/// Quota decisions of one node, between two digests of the lease holder and without any.
#ifndef RUDDERLOOM_QUOTA_QUOTA_ACCOUNT_HPP
#define RUDDERLOOM_QUOTA_QUOTA_ACCOUNT_HPP

#include <map>  // for map

#include "rudderloom/quota/grant_book.hpp"  // for kSharedFraction
#include "rudderloom/quota/spending.hpp"    // for QuotaSnapshotPtr

namespace rudderloom {

/// @brief Decision on a request under its customer's limit.
/// @ingroup quota
enum class QuotaVerdict {
  kGranted,
  kRefused,
  kAsk,  ///< It exceeds this node's share: ask the granting node.
};

/// @brief A verdict and, for a refusal, the estimated time until a request is admitted.
/// @ingroup quota
struct QuotaDecision {
  QuotaVerdict verdict = QuotaVerdict::kGranted;
  Duration wait{0};
  bool in_turn = false;  ///< Granted, or refused until then, by a turn of this node.
};

/// @brief Longest wait that a refusal states.
/// @ingroup quota
constexpr Duration kMaxQuotaWait{8'000};

/// @brief Whether a granting node, the holder or a relay, can be asked.
/// @ingroup quota
enum class GranterReach {
  kReachable,
  kUnreachable,  ///< Unknown, silent, or it gave no decision.
};

/// @brief Decides on one node which requests are within their customer's limit. Does no I/O; time
/// is passed in.
///
/// A customer's callers use all nodes, and a request is larger than a node's equal share of one
/// second: with 60 nodes that share is 500 to 10,000 tokens, while a prompt has some 9,000. The
/// holder therefore grants most requests individually. Only a fraction of the published balance is
/// spent without asking. A node's share of that fraction depends on the number of nodes that the
/// customer uses and on this node's part of its demand. Spending that the balance does not include
/// yet is deducted.
///
/// While there is no holder, relays grant the same way, each its group's part. If no granting node
/// can be asked, a request that exceeds the share runs only in a turn of this node (`TurnAt`), and
/// not before the last known debt of the customer is recovered. A share is never overdrawn. A node
/// without data on a customer uses a small fixed share and has no turns: all nodes may be in this
/// state at once. A node that was told to be the only one spends the balance of all nodes.
///
/// Where no bound on a window is enforced (`QuotaBounds::enforced`), a node that can ask nobody may
/// run one request ahead of its share.
/// @ingroup quota
class QuotaAccount {
 public:
  explicit QuotaAccount(const QuotaBounds& bounds) : bounds_(bounds) {}

  /// @brief Returns true while the holder's digest is recent enough that the holder itself grants
  /// requests. After that its relays do, each for the nodes that report to it.
  bool HasFreshDigest(TimePoint now) const;

  const QuotaBounds& Bounds() const { return bounds_; }

  /// @brief Records a request. Call once per request, before any decision on it.
  void RecordRequest(CustomerKey customer,
                     const QuotaLimit& limit,
                     std::uint64_t amount,
                     TimePoint now);

  /// @brief Decides on a request and deducts its amount if granted.
  QuotaDecision Decide(CustomerKey customer,
                       std::uint64_t amount,
                       GranterReach reach,
                       TimePoint now);

  /// @brief Records a refusal by the granting node: for a short time, further requests are refused
  /// without asking.
  void RefusedByGranter(CustomerKey customer, Duration wait, TimePoint now);

  /// @brief Records that the granting node did not answer: for a short time it is not asked.
  void Unanswered(CustomerKey customer, TimePoint now);

  /// @brief Refunds a request that was granted by any node but refused for another reason.
  void Refund(CustomerKey customer, std::uint64_t amount);

  /// @brief Applies a newer digest; no effect if it is the same one.
  void ApplyDigest(QuotaSnapshotPtr snapshot, TimePoint now);

  /// @brief Returns the spending since the last call, for all recently active customers.
  SpendingTable Take(TimePoint now);

 private:
  struct Account {
    QuotaLimit limit;
    double share = 0.0;          // fraction of the customer's rate and balance
    double balance = 0.0;        // this node's part
    double fleet_balance = 0.0;  // of all nodes; valid while this is the only one
    TimePoint refused_until;     // by the granting node
    TimePoint alone_until;       // after an ask that it did not answer
    TimePoint refilled_at;
    TimePoint debt_until;  // the last known negative balance is recovered
    TimePoint turns_from;  // the last known balance is recovered to the start level of turns
    TimePoint turn_began_at;
    double turn_spent = 0.0;  // of the budget of that turn
    TimePoint asked_at;
    DecayingRate asked;
    std::int64_t total_spent = 0;  // spent without asking since process start
    Spending unreported;
  };

  Account& FindOrCreate(CustomerKey customer, const QuotaLimit& limit, TimePoint now);
  double MaxShare(const Account& account) const;
  double RefillRate(const Account& account, GranterReach reach, TimePoint now) const;
  void Refill(Account& account, GranterReach reach, TimePoint now) const;
  bool HasTurns() const;
  bool IsOnlyNode() const;
  QuotaDecision DecideAhead(Account& account,
                            std::uint64_t amount,
                            GranterReach reach,
                            TimePoint now) const;
  QuotaDecision DecideForAllNodes(Account& account, std::uint64_t amount, TimePoint now) const;
  QuotaDecision DecideInTurn(Account& account, std::uint64_t amount, TimePoint now) const;
  QuotaDecision RefuseAlone(const Account& account, std::uint64_t amount, TimePoint now) const;
  static Duration WaitForGrant(const Account& account, TimePoint now);
  TimePoint TurnsFrom(const Account& account, double level) const;
  static void Spend(Account& account, std::uint64_t amount);
  static void SpendShare(Account& account, std::uint64_t amount);
  void ApplySnapshot(CustomerKey customer, Account& account, TimePoint now) const;

  QuotaBounds bounds_;
  QuotaSnapshotPtr snapshot_;
  std::map<CustomerKey, Account> accounts_;
};

}  // namespace rudderloom

#endif
