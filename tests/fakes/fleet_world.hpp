// Simulates the control states of a fleet and their store on a virtual clock, without a network.
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

/// @brief Size and configuration of the simulated fleet.
struct FleetWorldOptions {
  int nodes = 30;
  int zones = 2;
  std::uint32_t group_size = 4;
  bool first_start = true;
  double large_share = 0.5;  // of a core, for the first nodes of each zone
  int large_in_zone = 2;
  double small_share = 0.12;
  std::vector<Customer> customers = {};
};

/// @brief A few nodes, with relays between them and the lease holder.
inline FleetWorldOptions SmallFleet() {
  FleetWorldOptions options;
  options.nodes = 14;
  options.group_size = 3;
  return options;
}

/// @brief Calls to the store, by kind; a stale read counts as a tenth of a call.
struct StoreCalls {
  double lists = 0;
  double watches = 0;
  double lease = 0;

  double All() const { return lists + watches + lease; }
};

/// @brief What becomes of the nodes' writes to the store.
enum class StoreWrites {
  kDone,
  kRefused,
  kUnanswered,  ///< Done, but the answer is lost.
};

class FleetWorld {
 public:
  explicit FleetWorld(const FleetWorldOptions& options);

  /// @brief Advances the simulated time by `milliseconds`.
  void Play(int milliseconds);

  // Faults. A killed node does not respond; a started node is a new process.
  void Kill(int node);
  void Start(int node);
  /// @brief Suspends the machine of the node for `milliseconds`. Its clock lags `clock_lag_ms`
  /// behind the others afterwards, as a clock does that stops during a suspend.
  void Suspend(int node, int milliseconds, int clock_lag_ms = 0);
  void CutFromStore(int node, bool cut) { NodeAt(node).cut_from_store = cut; }
  void CutFromNodes(int node, bool cut) { NodeAt(node).cut_from_nodes = cut; }
  /// @brief Cuts the links of the node to all endpoints. The node notices at its next sample.
  void CutFromEndpoints(int node, bool cut) { NodeAt(node).cut_from_endpoints = cut; }
  bool IsCutFromEndpoints(int node) const { return NodeAt(node).cut_from_endpoints; }
  /// @brief Returns the number of the node with this gateway.
  int NodeOfGateway(const Gateway& gateway) const;
  void SetStoreDown(bool down) { store_down_ = down; }
  void SetStoreWrites(StoreWrites writes) { store_writes_ = writes; }
  StoreWrites Writes() const { return store_writes_; }
  /// @brief Starts nodes from now on with the settings of the first start of the whole system.
  void SetRestartsAsFirst() { first_generation_ = true; }
  /// @brief Restores the store to its state `age` milliseconds ago. Its revisions go back and are
  /// assigned again. The lost writes of the operator and the endpoints are repeated after
  /// `replay_delay_ms` in a different order; the lost writes of the nodes are not.
  void RestoreStore(int age, int replay_delay_ms);
  /// @brief Simulates unrelated writes, which use up revisions but concern no object that nodes
  /// follow.
  void WriteUnrelatedObjects(int writes);

  // Changes by the operator.
  void Configure(std::uint64_t version);
  void PutEndpoint(const std::string& instance,
                   bool leaving,
                   const std::string& software_version = "");
  void RemoveEndpoint(const std::string& instance);

  /// @brief Spends `amount` of the limit of a customer at a node.
  void Spend(int node, const std::string& customer, std::int64_t amount);
  /// @brief Returns the balance of the customer that the node last received, nullopt before the
  /// first.
  std::optional<std::int64_t> BalanceAt(int node, const std::string& customer) const;
  /// @brief Returns the turns that the node last received, empty before the first.
  TurnPlan TurnsOf(int node) const;
  /// @brief Reports crash news from the traffic of the node: requests under which endpoints
  /// crashed, or which endpoints answered.
  void See(int node, const CrashNews& news);
  /// @brief Returns whether the node quarantines the request.
  bool HoldsBack(int node, const RequestDigest& request) const;
  /// @brief Returns whether all running nodes do.
  bool AllHoldBack(const RequestDigest& request) const;
  /// @brief Reports endpoint limits that the traffic of the node observed.
  void Observe(int node, const SentLimits& limits);
  /// @brief Returns the latest view of the node, null before the first.
  const FleetViewPtr& ViewOf(int node) const { return NodeAt(node).view; }
  /// @brief Returns what the node last published of software versions.
  const VersionKnowledge& KnowledgeOf(int node) const { return NodeAt(node).versions; }
  const std::shared_ptr<const DigestSource>& StatementOf(int node) const {
    return NodeAt(node).statement;
  }
  /// @brief Returns the node that `from` reaches at `address` now, nullopt if none responds.
  std::optional<int> ReachableNodeAt(int from, const std::string& address) const;
  bool Runs(int node) const { return Alive(node) && !Suspended(NodeAt(node)); }
  /// @brief Returns the number of the current process of the node.
  int GenerationOf(int node) const { return NodeAt(node).generation; }
  /// @brief Returns the basis on which the node grants requests of other nodes, null if it grants
  /// none.
  std::shared_ptr<const GrantBasis> GrantBasisOf(int node) const;
  TimePoint Time() const { return TimePoint(std::chrono::hours(1)) + Duration(now_); }

  /// @brief Returns the first node that considers itself the lease holder, nullopt if there is
  /// none.
  std::optional<int> Holder() const;
  /// @brief Returns the lease epoch that the node publishes.
  std::uint64_t EpochOf(int node) const;
  /// @brief Returns how many running nodes consider themselves the lease holder.
  int Holders() const;
  std::uint64_t RoutesVersionOf(int node) const { return NodeAt(node).routes_version; }
  /// @brief Returns whether the node would send requests to the endpoint.
  bool Sends(int node, const std::string& instance) const;
  /// @brief Returns how many reports the node received within the last second.
  int ReportsTo(int node) const;
  bool Alive(int node) const { return NodeAt(node).state != nullptr; }
  bool IsCutFromStore(int node) const { return NodeAt(node).cut_from_store; }
  bool ReachesStore(int node) const { return ReachesStore(NodeAt(node)); }
  bool IsCutFromNodes(int node) const { return NodeAt(node).cut_from_nodes; }
  int Nodes() const { return static_cast<int>(nodes_.size()); }
  const StoreCalls& Calls() const { return calls_; }
  int Now() const { return now_; }
  /// @brief Returns how often the configuration of a node regressed within one process.
  int ConfigurationRegressions() const { return configuration_regressions_; }

 private:
  // The contents of the store.
  struct StoreContents {
    std::uint64_t revision = 1;
    std::uint64_t routes_version = 0;
    std::map<std::string, std::pair<EndpointRecord, std::uint64_t>> endpoints;
    LeaseObject lease;
  };

  // How a node follows one kind of object of the store.
  struct Subscription {
    FollowMode mode = FollowMode::kHolder;
    bool listed = false;       // since it last started to call the store
    bool needs_probe = false;  // whether to probe the store before listing
    std::uint64_t seen_revision = 0;
    std::uint64_t era = 0;   // store era of seen_revision
    int next_answer_at = 0;  // of a watch on behalf of other nodes
    bool call_in_flight = false;
  };

  struct Node {
    std::string name;
    std::string address;
    double share = 1.0;
    std::unique_ptr<FleetState> state;
    int generation = 0;  // number of its current process
    std::shared_ptr<const DigestSource> statement;
    FleetViewPtr view;
    VersionKnowledge versions;
    Subscription endpoints;
    Subscription configuration;
    std::optional<CountsToReport> pending_report;
    SpendingTable spending;  // since the last sample
    CrashNews crash_news;    // since the last sample
    SentLimits limits;       // since the last sample
    bool reporting = false;
    std::vector<int> report_times;
    std::uint64_t routes_version = 0;
    bool cut_from_store = false;
    bool cut_from_nodes = false;
    bool cut_from_endpoints = false;
    int suspended_until = 0;
    int clock_lag_ms = 0;
    bool holds_lease = false;
  };

  Node& NodeAt(int node) { return nodes_[static_cast<std::size_t>(node)]; }
  const Node& NodeAt(int node) const { return nodes_[static_cast<std::size_t>(node)]; }
  Node* FindNode(const std::string& address);
  // Time on the clock of the node.
  TimePoint TimeAt(const Node& node) const { return Time() - Duration(node.clock_lag_ms); }
  bool Suspended(const Node& node) const { return now_ < node.suspended_until; }
  void Schedule(int milliseconds, std::function<void()> callback);
  // Runs `callback` only if the same process still runs; a suspended node delays it.
  void ScheduleOnNode(Node& node, int milliseconds, std::function<void()> callback);
  void HandleMessage(Node& node, const fleet_message::Any& message);
  void Sample(Node& node);
  void Execute(Node& node, FleetEffects effects);
  void ReadLease(Node& node, LeaseRead mode);
  void WriteLease(Node& node, const LeaseWrite& write);
  void SendReport(Node& node);
  void FinishReport(Node& node);
  void SetFollowing(Node& node, Subscription& subscription, FollowMode mode);
  void AdvanceSubscription(Node& node, Subscription& subscription, bool configuration);
  void AnswerStoreCall(Node& node, Subscription& subscription, bool configuration, bool list);
  // Checks with a stale read whether the store responds.
  void ProbeStore(Node& node, Subscription& subscription);
  bool ReachesStore(const Node& node) const { return !store_down_ && !node.cut_from_store; }
  void SnapshotStore();
  void ReplayLostWrites(const StoreContents& lost);
  RouteTablePtr BuildRoutes() const;
  FleetSettings MakeSettings(const Node& node) const;

  FleetWorldOptions options_;
  int now_ = 0;
  std::vector<Node> nodes_;
  std::multimap<int, std::function<void()>> events_;
  StoreContents store_;
  std::map<int, StoreContents> store_snapshots_;  // by time
  bool store_down_ = false;
  StoreWrites store_writes_ = StoreWrites::kDone;
  StoreCalls calls_;
  int configuration_regressions_ = 0;
  bool first_generation_ = true;
};

}  // namespace rudderloom::fakes

#endif
