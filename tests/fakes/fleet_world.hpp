// A fleet of control states beside one store, in simulated time and without network.
#ifndef RUDDERLOOM_TESTS_FAKES_FLEET_WORLD_HPP
#define RUDDERLOOM_TESTS_FAKES_FLEET_WORLD_HPP

#include <functional>  // for function
#include <map>         // for multimap
#include <memory>      // for unique_ptr
#include <optional>    // for optional
#include <string>      // for string
#include <vector>      // for vector

#include "fakes/lease_object.hpp"            // for LeaseObject
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom::fakes {

// How the world is made.
struct FleetWorldOptions {
  int nodes = 30;
  int zones = 2;
  std::uint32_t group_size = 4;
  bool first_start = true;
  double large_share = 0.5;  // of a core, of the first nodes of each zone
  int large_in_zone = 2;
  double small_share = 0.12;
  std::vector<Customer> customers = {};
};

// Calls to the store; a stale one counts a tenth.
struct StoreCalls {
  double lists = 0;
  double watches = 0;
  double lease = 0;

  double All() const { return lists + watches + lease; }
};

class FleetWorld {
 public:
  explicit FleetWorld(const FleetWorldOptions& options);

  // Lets simulated time go on.
  void Play(int milliseconds);

  // Faults. A killed node answers nothing; a started one is a new process.
  void Kill(int node);
  void Start(int node);
  // The node's machine does nothing for so long. Afterwards its clock lags by `clock_lags` behind
  // the others', as a clock does that stands still meanwhile.
  void Suspend(int node, int milliseconds, int clock_lags = 0);
  void CutFromStore(int node, bool cut) { At(node).cut_from_store = cut; }
  void CutFromNodes(int node, bool cut) { At(node).cut_from_nodes = cut; }
  void SetStoreDown(bool down) { store_down_ = down; }
  // The store is as it was so long ago, and its revisions go back: they are given out again. What
  // the operator and the endpoints wrote since is written again after a while, in an order of its
  // own; what the nodes wrote is gone.
  void RestoreStore(int age, int written_again_after);
  // Writes of others that the nodes don't follow: they use revisions up.
  void WriteElsewhere(int writes);

  // The operator's changes.
  void Configure(std::uint64_t version);
  void PutEndpoint(const std::string& instance, bool leaving);
  void RemoveEndpoint(const std::string& instance);

  // Something of a customer's limit is spent at a node.
  void Spend(int node, const std::string& customer, std::int64_t amount);
  // What the node has last heard of the customer's balance; nothing when it has heard none.
  std::optional<std::int64_t> LevelAt(int node, const std::string& customer) const;
  // The node's traffic has seen this: endpoints ended under requests, or answered them.
  void See(int node, const CrashNews& news);
  // True when the node sends the request to no endpoint.
  bool HoldsBack(int node, const RequestDigest& request) const;
  // The node's traffic has observed these limits.
  void Observe(int node, const SentLimits& limits);
  // Null before the first.
  const FleetViewPtr& ViewOf(int node) const { return At(node).view; }
  const std::shared_ptr<const Statement>& StatementOf(int node) const { return At(node).statement; }
  // The node that another one reaches at this address now; nothing when none answers.
  std::optional<int> Answering(int from, const std::string& address) const;
  bool Runs(int node) const { return Alive(node) && !Suspended(At(node)); }
  // Of the node's processes, the present one.
  int LifeOf(int node) const { return At(node).life; }
  // From what the node would grant requests that other nodes ask for; null for nothing.
  std::shared_ptr<const GrantBasis> GrantsOf(int node) const;
  TimePoint Time() const { return TimePoint(std::chrono::hours(1)) + Duration(now_); }

  // The node that holds the lease as it sees itself; nothing when none does.
  std::optional<int> Holder() const;
  // Under which the node holds the lease, as it tells others.
  std::uint64_t EpochOf(int node) const;
  // Nodes that take themselves for the holder, and work now.
  int Holders() const;
  std::uint64_t RoutesVersionOf(int node) const { return At(node).routes_version; }
  // True when the node would send requests to the endpoint.
  bool Sends(int node, const std::string& instance) const;
  // Reports that came to the node within the last second.
  int ReportsTo(int node) const;
  bool Alive(int node) const { return At(node).state != nullptr; }
  bool IsCutFromStore(int node) const { return At(node).cut_from_store; }
  int Nodes() const { return static_cast<int>(nodes_.size()); }
  const StoreCalls& Calls() const { return calls_; }
  int Now() const { return now_; }
  // Times that a node's configuration went back within one life of it.
  int WentBack() const { return went_back_; }

 private:
  // What the store keeps.
  struct Kept {
    std::uint64_t revision = 1;
    std::uint64_t routes_version = 0;
    std::map<std::string, std::pair<EndpointRecord, std::uint64_t>> endpoints;
    LeaseObject lease;
  };

  // One kind of the store's objects, as one node follows it.
  struct Followed {
    Following how = Following::kHolder;
    bool listed = false;     // since it last began to call the store
    bool probes = false;     // before it lists
    std::uint64_t seen = 0;  // revision
    std::uint64_t era = 0;   // of the store, that it is of
    int next_answer_at = 0;  // of a watch that others rely on
    bool calling = false;
  };

  struct Node {
    std::string name;
    std::string address;
    double share = 1.0;
    std::unique_ptr<FleetState> state;
    int life = 0;  // of its processes, the present one
    std::shared_ptr<const Statement> statement;
    FleetViewPtr view;
    Followed endpoints;
    Followed configuration;
    std::optional<CountsToReport> waiting_report;
    SpendingTable spending;  // since the last sample
    CrashNews crash_news;    // the same
    SentLimits limits;       // the same
    bool reporting = false;
    std::vector<int> heard_reports_at;
    std::uint64_t routes_version = 0;
    bool cut_from_store = false;
    bool cut_from_nodes = false;
    int suspended_until = 0;
    int clock_lags = 0;
    bool holds = false;
  };

  Node& At(int node) { return nodes_[static_cast<std::size_t>(node)]; }
  const Node& At(int node) const { return nodes_[static_cast<std::size_t>(node)]; }
  Node* Find(const std::string& address);
  // As the node's own clock has it.
  TimePoint TimeAt(const Node& node) const { return Time() - Duration(node.clock_lags); }
  bool Suspended(const Node& node) const { return now_ < node.suspended_until; }
  void After(int milliseconds, std::function<void()> what);
  // Runs only if the process is still the same one.
  void AfterIn(Node& node, int milliseconds, std::function<void()> what);
  void Tell(Node& node, const fleet_message::Any& message);
  void Sample(Node& node);
  void Execute(Node& node, FleetEffects effects);
  void ReadLease(Node& node, LeaseRead how);
  void WriteLease(Node& node, const LeaseWrite& write);
  void Report(Node& node);
  void ReportEnded(Node& node);
  void Follow(Node& node, Followed& followed, Following how);
  void MoveFollowed(Node& node, Followed& followed, bool configuration);
  void Answer(Node& node, Followed& followed, bool configuration, bool list);
  // A stale read that shows whether the store answers.
  void Probe(Node& node, Followed& followed);
  bool Reaches(const Node& node) const { return !store_down_ && !node.cut_from_store; }
  void CopyStore();
  void WriteAgain(const Kept& lost);
  RouteTablePtr Routes() const;
  FleetSettings SettingsOf(const Node& node) const;

  FleetWorldOptions options_;
  int now_ = 0;
  std::vector<Node> nodes_;
  std::multimap<int, std::function<void()>> events_;
  Kept store_;
  std::map<int, Kept> copies_;  // of the store, by when
  bool store_down_ = false;
  StoreCalls calls_;
  int went_back_ = 0;
  bool first_lives_ = true;
};

}  // namespace rudderloom::fakes

#endif
