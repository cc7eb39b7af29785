#include "rudderloom/quota/spending_log.hpp"

#include <algorithm>  // for max
#include <utility>    // for move, exchange

namespace rudderloom {

namespace {

// A member without reports for this time uses another upstream node, or is gone.
constexpr Duration kMemberTimeout{2'000};
// A delivered report that is not confirmed within this time went to a node that sends no more
// digests: it is included in the balance by now, or was lost with that node.
constexpr Duration kConfirmTimeout{3'000};

}  // namespace

void SpendingLog::RecordOwn(const SpendingTable& own) {
  MergeUnreported(own, pending_);
  for (const auto& [customer, spending] : own) {
    pending_own_[customer] += spending.spent;
  }
  own_asking_ = own;
}

void SpendingLog::RecordMember(const std::string& node,
                               std::uint64_t number,
                               const SpendingTable& reported,
                               TimePoint now) {
  MergeUnreported(reported, pending_);
  pending_reports_[node] = number;
  members_[node] = {reported, now};
}

SpendingReport SpendingLog::Take(TimePoint now) {
  MarkExpiredCounted(now);
  std::erase_if(members_,
                [&](const auto& member) { return now - member.second.heard_at > kMemberTimeout; });
  SpendingReport report;
  report.number = next_number_++;
  report.table = std::exchange(pending_, {});
  for (auto& [customer, spending] : report.table) {
    spending.nodes = 0;
  }
  const auto count_nodes = [&](const SpendingTable& asking) {
    for (const auto& [customer, spending] : asking) {
      report.table[customer].nodes += spending.nodes;
    }
  };
  count_nodes(own_asking_);
  for (const auto& [node, member] : members_) {
    count_nodes(member.asking);
  }
  sent_.push_back({report.number, now, false, report.table, std::exchange(pending_own_, {}),
                   std::exchange(pending_reports_, {})});
  return report;
}

void SpendingLog::MarkDelivered(std::uint64_t number) {
  for (Sent& sent : sent_) {
    sent.arrived = sent.arrived || sent.number <= number;
  }
}

void SpendingLog::MarkFailed(std::uint64_t number) {
  std::erase_if(sent_, [&](const Sent& sent) {
    if (sent.arrived || sent.number > number) {
      return false;
    }
    MergeUnreported(sent.table, pending_);
    for (const auto& [customer, spent] : sent.own) {
      pending_own_[customer] += spent;
    }
    for (const auto& [node, report] : sent.reports) {
      std::uint64_t& pending = pending_reports_[node];
      pending = std::max(pending, report);
    }
    return true;
  });
}

void SpendingLog::Confirmed(std::uint64_t number) {
  // Ignore report numbers of an earlier process of this node.
  const bool known = std::any_of(sent_.begin(), sent_.end(),
                                 [&](const Sent& sent) { return sent.number == number; });
  while (known && !sent_.empty() && sent_.front().number <= number) {
    MarkCounted(sent_.front());
    sent_.pop_front();
  }
}

void SpendingLog::MarkCounted(const Sent& sent) {
  for (const auto& [customer, spent] : sent.own) {
    own_counted_[customer] += spent;
  }
  for (const auto& [node, report] : sent.reports) {
    reports_counted_[node] = report;
  }
}

void SpendingLog::MarkExpiredCounted(TimePoint now) {
  while (!sent_.empty() && sent_.front().arrived &&
         now - sent_.front().taken_at > kConfirmTimeout) {
    MarkCounted(sent_.front());
    sent_.pop_front();
  }
}

}  // namespace rudderloom
