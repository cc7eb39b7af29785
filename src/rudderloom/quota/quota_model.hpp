// Model of a fleet with saturating callers, for tests: it returns the amount that the production
// classes grant within any window.
#ifndef RUDDERLOOM_QUOTA_QUOTA_MODEL_HPP
#define RUDDERLOOM_QUOTA_QUOTA_MODEL_HPP

#include <algorithm>  // for max
#include <deque>      // for deque
#include <optional>   // for optional
#include <random>     // for mt19937
#include <vector>     // for vector

#include "rudderloom/quota/grant_book.hpp"
#include "rudderloom/quota/quota_account.hpp"
#include "rudderloom/quota/quota_ledger.hpp"
#include "rudderloom/quota/spending_log.hpp"
#include "rudderloom/quota/turn_table.hpp"

namespace rudderloom::quota_model {

inline constexpr CustomerKey kCustomer = 7;
inline constexpr int kNodes = 3;
inline constexpr int kStepMs = 250;
inline constexpr int kSteps = 48;
inline constexpr int kFirstFault = 4;
inline constexpr int kLastFault = 36;
inline constexpr int kWindowSteps = 8'000 / kStepMs;
// Steps without a holder after its loss.
inline constexpr int kTakeoverSteps = 8;
inline constexpr TimePoint kTurnOrigin{std::chrono::minutes(59)};

enum class FaultKind {
  kReportLost,  // report of the node
  kAnswerLost,  // answer to the node: its report was delivered
  kSilent,      // the node sends and receives nothing for eight steps
  kKilled,      // the node restarts without state
  kHolderGone,  // the next node takes over with the last balances it received
  kAllKilled,
  kAskLost,          // the holder does not receive the node's asks for some time
  kGrantLost,        // it grants some, and the node receives refusals but not the grants
  kAnswerToAskLost,  // the holder decides on them, but the node does not receive the answers
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
  std::uint64_t request = 300;
  int nodes = kNodes;
  int substeps = 1;  // how often callers try within a step
  int steps = kSteps;
  int fault_steps = kTakeoverSteps;  // duration of a fault
  double per_second = 0.0;           // requests of all callers; 0: all that may run
  int idle_steps = 0;                // at the beginning, without requests
  double WindowBound() const {
    const double allowed =
        static_cast<double>(limit.per_second) * 8.0 + static_cast<double>(limit.burst);
    return allowed * (1.0 + bounds.overshoot) + bounds.slack;
  }
};

inline const Setup kSmallFleet{{QuotaUnit::kTokens, 1'000, 1'000, 1},
                               {Duration(8'000), 0.1, 4'000.0}};

// The smallest customer of the deployment in which 426,464 tokens ran where 414,990 are allowed.
// The faults last 12 s.
inline const Setup kSixtyNodes{{QuotaUnit::kTokens, 40'000, 40'000, 200},
                               {Duration(8'000), 0.1, 17'000.0},
                               2'400,
                               60,
                               5,
                               120,
                               48};

class Model {
 public:
  explicit Model(const Setup& setup = kSmallFleet)
      : setup_(setup), nodes_(static_cast<std::size_t>(setup.nodes)) {
    for (int i = 0; i < setup_.nodes; ++i) {
      Start(i);
      turn_table_.Heard(std::to_string(i), 1, Now());
    }
    Begin(0, AssumedBalance::kFull);
  }

  // Returns the maximum amount granted within any window.
  std::uint64_t Run(const std::vector<Fault>& faults) {
    std::uint64_t most = 0;
    std::deque<std::uint64_t> window;
    std::uint64_t sum = 0;
    for (step_ = 0; step_ < setup_.steps; ++step_) {
      for (const Fault& fault : faults) {
        if (fault.step == step_) {
          InjectFault(fault);
        }
      }
      for (substep_ = 0; substep_ < setup_.substeps; ++substep_) {
        window.push_back(Spend());
        sum += window.back();
        total_ += window.back();
        if (window.size() >
            static_cast<std::size_t>(kWindowSteps) * static_cast<std::size_t>(setup_.substeps)) {
          sum -= window.front();
          window.pop_front();
        }
        most = std::max(most, sum);
      }
      substep_ = 0;
      Report(faults);
      StepHolder();
    }
    return most;
  }

  // A request of callers that do not send all that may run.
  struct Outcome {
    int step = 0;
    int node = 0;
    bool granted = false;
  };
  const std::vector<Outcome>& Outcomes() const { return outcomes_; }

  // Returns the amount granted in the whole run.
  std::uint64_t Total() const { return total_; }

 private:
  struct Node {
    std::optional<QuotaAccount> account;
    std::optional<SpendingLog> log;
    QuotaSnapshotPtr snapshot;
    int silent_until = 0;
    int ask_lost_until = 0;
    int grant_lost_until = 0;
    int answers_lost_until = 0;
  };

  TimePoint Now() const {
    return TimePoint(std::chrono::hours(1)) +
           Duration(step_ * kStepMs + substep_ * kStepMs / setup_.substeps);
  }

  void Start(int node) {
    nodes_[static_cast<std::size_t>(node)] = Node();
    nodes_[static_cast<std::size_t>(node)].account.emplace(setup_.bounds);
    nodes_[static_cast<std::size_t>(node)].log.emplace(1'000 * ++incarnations_);
  }

  void Begin(int node, AssumedBalance unknown) {
    holder_ = node;
    const QuotaSnapshotPtr& snapshot = nodes_[static_cast<std::size_t>(node)].snapshot;
    PreviousBalances former;
    if (snapshot) {
      former = {snapshot->balances, snapshot->made_at};
    }
    ledger_.emplace(setup_.bounds);
    ledger_->Begin(former, unknown, Now());
    grants_.emplace(setup_.bounds);
    granted_.clear();
    grants_counted_ = 0;
    published_.reset();
  }

  void InjectFault(const Fault& fault) {
    switch (fault.kind) {
      case FaultKind::kSilent:
        nodes_[static_cast<std::size_t>(fault.node)].silent_until = step_ + setup_.fault_steps;
        break;
      case FaultKind::kAskLost:
        nodes_[static_cast<std::size_t>(fault.node)].ask_lost_until = step_ + setup_.fault_steps;
        break;
      case FaultKind::kGrantLost:
        nodes_[static_cast<std::size_t>(fault.node)].grant_lost_until = step_ + setup_.fault_steps;
        break;
      case FaultKind::kAnswerToAskLost:
        nodes_[static_cast<std::size_t>(fault.node)].answers_lost_until =
            step_ + setup_.fault_steps;
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
        for (int i = 0; i < setup_.nodes; ++i) {
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
    next_holder_ = holder_ >= 0 ? (holder_ + 1) % setup_.nodes : next_holder_;
    holder_ = -1;
    takeover_step_ = step_ + kTakeoverSteps;
  }

  // Requests arrive at random times and nodes.
  std::uint64_t SpendByDemand() {
    const double mean = setup_.per_second * kStepMs / 1'000.0 / setup_.substeps;
    std::uniform_int_distribution<int> node(0, setup_.nodes - 1);
    std::uint64_t spent = 0;
    for (int i = std::poisson_distribution<int>(mean)(random_); i > 0; --i) {
      const int at = node(random_);
      outcomes_.push_back({step_, at, TryRequest(at)});
      spent += outcomes_.back().granted ? setup_.request : 0;
    }
    return spent;
  }

  std::uint64_t Spend() {
    if (setup_.per_second > 0.0) {
      return SpendByDemand();
    }
    std::uint64_t spent = 0;
    if (step_ < setup_.idle_steps) {
      return spent;
    }
    // Another node is first each time, so that each gets some of what the holder grants.
    const int first = (step_ * setup_.substeps + substep_) * 7;
    for (int i = 0; i < setup_.nodes; ++i) {
      while (TryRequest((first + i) % setup_.nodes)) {
        spent += setup_.request;
      }
    }
    return spent;
  }

  // Decides like the traffic thread of a node.
  bool TryRequest(int index) {
    QuotaAccount& account = *nodes_[static_cast<std::size_t>(index)].account;
    account.RecordRequest(kCustomer, setup_.limit, setup_.request, Now());
    const QuotaVerdict verdict =
        account.Decide(kCustomer, setup_.request, GranterReach::kReachable, Now()).verdict;
    if (verdict != QuotaVerdict::kAsk) {
      return verdict == QuotaVerdict::kGranted;
    }
    const SpendAnswer answer = AskHolder(index);
    if (answer.verdict == SpendVerdict::kUndecided) {
      account.Unanswered(kCustomer, Now());
      return account.Decide(kCustomer, setup_.request, GranterReach::kUnreachable, Now()).verdict ==
             QuotaVerdict::kGranted;
    }
    if (answer.verdict == SpendVerdict::kRefused) {
      account.RefusedByGranter(kCustomer, answer.wait, Now());
    }
    return answer.verdict == SpendVerdict::kGranted;
  }

  SpendAnswer AskHolder(int index) {
    const Node& asking = nodes_[static_cast<std::size_t>(index)];
    const bool reached = holder_ >= 0 && asking.ask_lost_until <= step_ && published_ &&
                         (index == holder_ || !IsSilent(index)) &&
                         (index == holder_ || !IsSilent(holder_));
    if (!reached) {
      return {};
    }
    GrantBasis basis;
    basis.made_at = published_->made_at;
    basis.valid_until = Now() + Duration(1);
    basis.balances = published_->balances;
    basis.limits[kCustomer] = setup_.limit;
    basis.counted = grants_counted_;
    const SpendAnswer answer = grants_->Ask({kCustomer, setup_.request}, basis, Now());
    if (answer.verdict == SpendVerdict::kGranted) {
      granted_.push_back(grants_->Last());
      if (asking.grant_lost_until > step_) {
        return {};
      }
    }
    if (asking.answers_lost_until > step_) {
      return {};
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
    for (int i = 0; i < setup_.nodes; ++i) {
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
      turn_table_.Heard(std::to_string(i), 1, Now());
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
    const auto span = turn_table_.Spans().find(std::to_string(&node - nodes_.data()));
    const std::uint32_t position = span == turn_table_.Spans().end() ? 0 : span->second.first;
    snapshot->turns = {position, turn_table_.Positions(), kTurnOrigin};
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
    turn_table_.Heard(std::to_string(holder_), 1, Now());
    turn_table_.Expire(Now());
    ledger_->Update(report.table, {{kCustomer, setup_.limit}}, Now(),
                    {0.0, turn_table_.TakeSilent(Now()), kTurnOrigin});
    for (const SpendGrant& grant : granted_) {
      ledger_->Granted(grant.ask, {{kCustomer, setup_.limit}}, Now());
      grants_counted_ = grant.number;
    }
    granted_.clear();
    node.log->MarkDelivered(report.number);
    node.log->Confirmed(report.number);
    published_ = QuotaSnapshot{Now(), ledger_->Balances(Now()), {}, {}};
    DeliverSnapshot(node, *published_);
  }

  Setup setup_;
  std::vector<Node> nodes_;
  TurnTable turn_table_;  // of the holder; a new one knows the nodes from its predecessor's digest
  std::uint64_t total_ = 0;
  std::optional<QuotaLedger> ledger_;
  std::optional<QuotaSnapshot> published_;
  std::optional<GrantBook> grants_;
  std::vector<SpendGrant> granted_;  // in transit from the book to the ledger
  std::uint64_t grants_counted_ = 0;
  int holder_ = 0;
  int next_holder_ = 1;
  int takeover_step_ = 0;
  int step_ = 0;
  int substep_ = 0;
  std::uint64_t incarnations_ = 0;
  std::mt19937 random_{1};
  std::vector<Outcome> outcomes_;
};

}  // namespace rudderloom::quota_model

#endif
