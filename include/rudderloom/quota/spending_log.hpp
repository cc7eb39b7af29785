/// @file
/// Reliable reporting of spending to the lease holder: sent, delivered and counted reports.
#ifndef RUDDERLOOM_QUOTA_SPENDING_LOG_HPP
#define RUDDERLOOM_QUOTA_SPENDING_LOG_HPP

#include <deque>   // for deque
#include <map>     // for map
#include <string>  // for string

#include "rudderloom/quota/grant_book.hpp"  // for SpendRequest
#include "rudderloom/quota/spending.hpp"    // for SpendingTable

namespace rudderloom {

/// @brief Spending sent with one report.
/// @ingroup quota
struct SpendingReport {
  std::uint64_t number = 0;  ///< Increases with each report of a process; 0 for none.
  SpendingTable table;
};

/// @brief Collects the spending of a node and of its members, and forwards it with the node's
/// reports. Does no I/O; time is passed in.
///
/// Each amount is in one report at a time. The contents of a failed report are sent again with the
/// next one. After delivery the receiver is responsible for them, even if this node changes its
/// upstream node. The holder reports to itself.
/// @ingroup quota
class SpendingLog {
 public:
  /// @param first_number First report number; must differ for each process.
  explicit SpendingLog(std::uint64_t first_number) : next_number_(first_number) {}

  /// @brief Adds this node's own spending since the last call.
  void RecordOwn(const SpendingTable& own);

  /// @brief Adds the spending reported by another node, with the number of its report.
  void RecordMember(const std::string& node,
                    std::uint64_t number,
                    const SpendingTable& reported,
                    TimePoint now);

  /// @brief Adds a request of another node that this node granted in place of the holder.
  void Granted(const SpendRequest& ask) {
    pending_[ask.customer].spent += static_cast<std::int64_t>(ask.amount);
  }

  /// @brief Returns a report of everything that was not sent yet.
  SpendingReport Take(TimePoint now);

  /// @brief Marks the report of this number and all earlier ones as delivered, or as failed.
  void MarkDelivered(std::uint64_t number);
  void MarkFailed(std::uint64_t number);

  /// @brief Marks the report of this number and all earlier ones as included in the holder's
  /// balances.
  void Confirmed(std::uint64_t number);

  /// @brief Returns this node's own spending since its start that the balances include.
  const std::map<CustomerKey, std::int64_t>& OwnCounted() const { return own_counted_; }

  /// @brief Returns the last report of each node that the balances include.
  const std::map<std::string, std::uint64_t>& ReportsCounted() const { return reports_counted_; }

 private:
  // Contents of a sent report.
  struct Sent {
    std::uint64_t number = 0;
    TimePoint taken_at;
    bool arrived = false;
    SpendingTable table;
    std::map<CustomerKey, std::int64_t> own;
    std::map<std::string, std::uint64_t> reports;  // of other nodes
  };
  struct Member {
    SpendingTable asking;  // from its last report
    TimePoint heard_at;
  };

  void MarkCounted(const Sent& sent);
  void MarkExpiredCounted(TimePoint now);

  std::uint64_t next_number_;
  SpendingTable pending_;
  std::map<CustomerKey, std::int64_t> pending_own_;
  std::map<std::string, std::uint64_t> pending_reports_;
  SpendingTable own_asking_;
  std::map<std::string, Member> members_;
  std::deque<Sent> sent_;
  std::map<CustomerKey, std::int64_t> own_counted_;
  std::map<std::string, std::uint64_t> reports_counted_;
};

}  // namespace rudderloom

#endif
