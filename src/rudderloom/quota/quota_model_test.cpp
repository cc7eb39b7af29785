// Exhaustive model test: for all schedules of two faults in a small fleet with saturating callers,
// the amount granted within any window stays within the bound. Uses the production classes.
#include <doctest/doctest.h>  // for TEST_CASE
#include <algorithm>          // for max
#include <array>              // for array
#include <deque>              // for deque
#include <optional>           // for optional
#include <vector>             // for vector

#include "rudderloom/quota/grant_book.hpp"
#include "rudderloom/quota/quota_account.hpp"
#include "rudderloom/quota/quota_ledger.hpp"
#include "rudderloom/quota/spending_log.hpp"

namespace rudderloom {
namespace {

constexpr CustomerKey kCustomer = 7;
constexpr std::uint64_t kRequest = 300;
constexpr int kNodes = 3;
constexpr int kStepMs = 250;
constexpr int kSteps = 48;
constexpr int kFirstFault = 4;
constexpr int kLastFault = 36;
constexpr int kWindowSteps = 8'000 / kStepMs;
// Steps without a holder after its loss.
constexpr int kTakeoverSteps = 8;

enum class FaultKind {
  kReportLost,  // report of the node
  kAnswerLost,  // answer to the node: its report was delivered
  kSilent,      // the node sends and receives nothing for eight steps
  kKilled,      // the node restarts without state
  kHolderGone,  // the next node takes over with the last balances it received
  kAllKilled,
};

struct Fault {
  int step = 0;
  int node = 0;
  FaultKind kind = FaultKind::kReportLost;
};

// A limit and the bounds on exceeding it.
struct Setup {
  QuotaLimit limit;
  QuotaBounds bounds;
  double WindowBound() const {
    const double allowed =
        static_cast<double>(limit.per_second) * 8.0 + static_cast<double>(limit.burst);
    return allowed * (1.0 + bounds.overshoot) + bounds.slack;
  }
};

const Setup kSetup{{QuotaUnit::kTokens, 1'000, 1'000, 1}, {Duration(8'000), 0.1, 4'000.0}};

class Model {
 public:
  Model() {
    for (int i = 0; i < kNodes; ++i) {
      Start(i);
    }
    Begin(0, AssumedBalance::kFull);
  }

  // Returns the maximum amount granted within any window.
  std::uint64_t Run(const std::vector<Fault>& faults) {
    std::uint64_t most = 0;
    std::deque<std::uint64_t> window;
    std::uint64_t sum = 0;
    for (step_ = 0; step_ < kSteps; ++step_) {
      for (const Fault& fault : faults) {
        if (fault.step == step_) {
          InjectFault(fault);
        }
      }
      window.push_back(Spend());
      sum += window.back();
      if (window.size() > static_cast<std::size_t>(kWindowSteps)) {
        sum -= window.front();
        window.pop_front();
      }
      most = std::max(most, sum);
      Report(faults);
      StepHolder();
    }
    return most;
  }

 private:
  struct Node {
    std::optional<QuotaAccount> account;
    std::optional<SpendingLog> log;
    QuotaSnapshotPtr snapshot;
    int silent_until = 0;
  };

  TimePoint Now() const { return TimePoint(std::chrono::hours(1)) + Duration(step_ * kStepMs); }

  void Start(int node) {
    nodes_[static_cast<std::size_t>(node)] = Node();
    nodes_[static_cast<std::size_t>(node)].account.emplace(kSetup.bounds);
    nodes_[static_cast<std::size_t>(node)].log.emplace(1'000 * ++incarnations_);
  }

  void Begin(int node, AssumedBalance unknown) {
    holder_ = node;
    const QuotaSnapshotPtr& snapshot = nodes_[static_cast<std::size_t>(node)].snapshot;
    PreviousBalances former;
    if (snapshot) {
      former = {snapshot->balances, snapshot->made_at};
    }
    ledger_.emplace(kSetup.bounds);
    ledger_->Begin(former, unknown, Now());
    grants_.emplace(kSetup.bounds);
    granted_.clear();
    grants_counted_ = 0;
    published_.reset();
  }

  void InjectFault(const Fault& fault) {
    switch (fault.kind) {
      case FaultKind::kSilent:
        nodes_[static_cast<std::size_t>(fault.node)].silent_until = step_ + kTakeoverSteps;
        break;
      case FaultKind::kKilled:
        Start(fault.node);
        if (fault.node == holder_) {
          LoseHolder();
        }
        break;
      case FaultKind::kHolderGone:
        if (holder_ >= 0) {
          Start(holder_);
          LoseHolder();
        }
        break;
      case FaultKind::kAllKilled:
        for (int i = 0; i < kNodes; ++i) {
          Start(i);
        }
        LoseHolder();
        break;
      case FaultKind::kReportLost:
      case FaultKind::kAnswerLost:
        break;
    }
  }

  void LoseHolder() {
    next_holder_ = holder_ >= 0 ? (holder_ + 1) % kNodes : next_holder_;
    holder_ = -1;
    takeover_step_ = step_ + kTakeoverSteps;
  }

  std::uint64_t Spend() {
    std::uint64_t spent = 0;
    for (int i = 0; i < kNodes; ++i) {
      while (TryRequest(i)) {
        spent += kRequest;
      }
    }
    return spent;
  }

  // Decides like the traffic thread of a node.
  bool TryRequest(int index) {
    QuotaAccount& account = *nodes_[static_cast<std::size_t>(index)].account;
    account.RecordRequest(kCustomer, kSetup.limit, kRequest, Now());
    const QuotaVerdict verdict =
        account.Decide(kCustomer, kRequest, GranterReach::kReachable, Now()).verdict;
    if (verdict != QuotaVerdict::kAsk) {
      return verdict == QuotaVerdict::kGranted;
    }
    const SpendAnswer answer = AskHolder(index);
    if (answer.verdict == SpendVerdict::kUndecided) {
      return account.Decide(kCustomer, kRequest, GranterReach::kUnreachable, Now()).verdict ==
             QuotaVerdict::kGranted;
    }
    if (answer.verdict == SpendVerdict::kRefused) {
      account.RefusedByGranter(kCustomer, answer.wait, Now());
    }
    return answer.verdict == SpendVerdict::kGranted;
  }

  SpendAnswer AskHolder(int index) {
    const bool reached = holder_ >= 0 && published_ && (index == holder_ || !IsSilent(index)) &&
                         (index == holder_ || !IsSilent(holder_));
    if (!reached) {
      return {};
    }
    GrantBasis basis;
    basis.made_at = published_->made_at;
    basis.valid_until = Now() + Duration(1);
    basis.balances = published_->balances;
    basis.limits[kCustomer] = kSetup.limit;
    basis.counted = grants_counted_;
    const SpendAnswer answer = grants_->Ask({kCustomer, kRequest}, basis, Now());
    if (answer.verdict == SpendVerdict::kGranted) {
      granted_.push_back(grants_->Last());
    }
    return answer;
  }

  bool IsSilent(int node) const {
    return nodes_[static_cast<std::size_t>(node)].silent_until > step_;
  }

  bool HasFault(const std::vector<Fault>& faults, int node, FaultKind kind) const {
    return std::any_of(faults.begin(), faults.end(), [&](const Fault& fault) {
      return fault.step == step_ && fault.node == node && fault.kind == kind;
    });
  }

  void Report(const std::vector<Fault>& faults) {
    for (int i = 0; i < kNodes; ++i) {
      Node& node = nodes_[static_cast<std::size_t>(i)];
      node.log->RecordOwn(node.account->Take(Now()));
      if (i == holder_) {
        continue;
      }
      const SpendingReport report = node.log->Take(Now());
      const bool lost = holder_ < 0 || IsSilent(i) || IsSilent(holder_) ||
                        HasFault(faults, i, FaultKind::kReportLost);
      if (lost) {
        node.log->MarkFailed(report.number);
        continue;
      }
      SpendingLog& holder = *nodes_[static_cast<std::size_t>(holder_)].log;
      const auto counted = holder.ReportsCounted();
      holder.RecordMember(std::to_string(i), report.number, report.table, Now());
      if (HasFault(faults, i, FaultKind::kAnswerLost)) {
        node.log->MarkFailed(report.number);
        continue;
      }
      node.log->MarkDelivered(report.number);
      if (const auto found = counted.find(std::to_string(i)); found != counted.end()) {
        node.log->Confirmed(found->second);
      }
      if (published_) {
        DeliverSnapshot(node, *published_);
      }
    }
  }

  void DeliverSnapshot(Node& node, const QuotaSnapshot& published) {
    auto snapshot = std::make_shared<QuotaSnapshot>(published);
    snapshot->counted = node.log->OwnCounted();
    node.snapshot = snapshot;
    node.account->ApplyDigest(snapshot, Now());
  }

  // The holder processes reports after the answers were sent, so these carry its previous balances.
  void StepHolder() {
    if (holder_ < 0) {
      if (step_ >= takeover_step_) {
        Begin(next_holder_, AssumedBalance::kEmpty);
      }
      return;
    }
    Node& node = nodes_[static_cast<std::size_t>(holder_)];
    const SpendingReport report = node.log->Take(Now());
    ledger_->Update(report.table, {{kCustomer, kSetup.limit}}, Now());
    for (const SpendGrant& grant : granted_) {
      ledger_->Granted(grant.ask, {{kCustomer, kSetup.limit}}, Now());
      grants_counted_ = grant.number;
    }
    granted_.clear();
    node.log->MarkDelivered(report.number);
    node.log->Confirmed(report.number);
    published_ = QuotaSnapshot{Now(), ledger_->Balances(Now()), {}};
    DeliverSnapshot(node, *published_);
  }

  std::array<Node, kNodes> nodes_;
  std::optional<QuotaLedger> ledger_;
  std::optional<QuotaSnapshot> published_;
  std::optional<GrantBook> grants_;
  std::vector<SpendGrant> granted_;  // in transit from the book to the ledger
  std::uint64_t grants_counted_ = 0;
  int holder_ = 0;
  int next_holder_ = 1;
  int takeover_step_ = 0;
  int step_ = 0;
  std::uint64_t incarnations_ = 0;
};

std::vector<Fault> AllFaults(int every) {
  std::vector<Fault> faults;
  for (int step = kFirstFault; step < kLastFault; step += every) {
    for (int node = 0; node < kNodes; ++node) {
      for (const FaultKind kind : {FaultKind::kReportLost, FaultKind::kAnswerLost,
                                   FaultKind::kSilent, FaultKind::kKilled}) {
        faults.push_back({step, node, kind});
      }
    }
    faults.push_back({step, 0, FaultKind::kHolderGone});
    faults.push_back({step, 0, FaultKind::kAllKilled});
  }
  return faults;
}

TEST_CASE("a saturating customer gets its rate and no more than the bound") {
  const auto most = static_cast<double>(Model().Run({}));
  MESSAGE("most in a window: ", most, " of ", kSetup.WindowBound());
  CHECK(most <= kSetup.WindowBound());
  CHECK(most >= 8'000.0);
}

TEST_CASE("no schedule of two faults exceeds the bound") {
  const std::vector<Fault> faults = AllFaults(1);
  std::uint64_t most = 0;
  std::size_t schedules = 0;
  for (std::size_t i = 0; i < faults.size(); ++i) {
    for (std::size_t j = i; j < faults.size(); ++j) {
      const std::uint64_t ran = Model().Run({faults[i], faults[j]});
      most = std::max(most, ran);
      ++schedules;
    }
  }
  MESSAGE("schedules: ", schedules, ", most in a window: ", most, " of ", kSetup.WindowBound());
  CHECK(static_cast<double>(most) <= kSetup.WindowBound());
}

}  // namespace
}  // namespace rudderloom
