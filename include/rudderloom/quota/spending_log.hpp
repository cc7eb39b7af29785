/// @file
/// Spending on its way to the holder of the lease: what was told, what arrived, what it has
/// counted.
#ifndef RUDDERLOOM_QUOTA_SPENDING_LOG_HPP
#define RUDDERLOOM_QUOTA_SPENDING_LOG_HPP

#include <deque>   // for deque
#include <map>     // for map
#include <string>  // for string

#include "rudderloom/quota/grant_book.hpp"  // for SpendAsk
#include "rudderloom/quota/spending.hpp"    // for SpendingTable

namespace rudderloom {

/// @brief Spending that is told with one report.
/// @ingroup quota
struct SpendingReport {
  std::uint64_t number = 0;  ///< Rises with each report of a process; 0 for none.
  SpendingTable table;
};

/// @brief Collects a node's own spending and that of nodes that report to it, and passes it on with
/// the node's reports. Pure; time is passed in.
///
/// Each amount is in one report at a time. One that did not arrive is told again with the next;
/// what has arrived is the other side's to pass on, also when this node turns to another one after
/// that. The holder reports to itself.
/// @ingroup quota
class SpendingLog {
 public:
  /// @param first_number Of reports; another one in each life of a process.
  explicit SpendingLog(std::uint64_t first_number) : next_number_(first_number) {}

  /// @brief Takes what this node's traffic spent since the last call.
  void CountedSelf(const SpendingTable& own);

  /// @brief Takes what another node told, and the number of its report.
  void Counted(const std::string& node,
               std::uint64_t number,
               const SpendingTable& told,
               TimePoint now);

  /// @brief This node let another one's request run that the holder does not know of.
  void Granted(const SpendAsk& ask) {
    pending_[ask.customer].spent += static_cast<std::int64_t>(ask.amount);
  }

  /// @brief Everything that was not told yet.
  SpendingReport Take(TimePoint now);

  /// @brief The report of this number, and those before it, arrived or did not.
  void Arrived(std::uint64_t number);
  void Failed(std::uint64_t number);

  /// @brief The holder's balances take in the report of this number and those before it.
  void Confirmed(std::uint64_t number);

  /// @brief What this node's traffic has spent since its start as far as balances take it in.
  const std::map<CustomerKey, std::int64_t>& OwnCounted() const { return own_counted_; }

  /// @brief The last report of each node that balances take in.
  const std::map<std::string, std::uint64_t>& ReportsCounted() const { return reports_counted_; }

 private:
  // What a report took along.
  struct Sent {
    std::uint64_t number = 0;
    TimePoint taken_at;
    bool arrived = false;
    SpendingTable table;
    std::map<CustomerKey, std::int64_t> own;
    std::map<std::string, std::uint64_t> reports;  // of other nodes
  };
  struct Member {
    SpendingTable asking;  // as it last told it
    TimePoint heard_at;
  };

  void Settle(const Sent& sent);
  void SettleOld(TimePoint now);

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
