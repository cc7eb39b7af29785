/// @file
/// The control state of one entry node, determined only by the messages that it has processed.
#ifndef RUDDERLOOM_CONTROL_CONTROL_STATE_HPP
#define RUDDERLOOM_CONTROL_CONTROL_STATE_HPP

#include <cstdint>  // for int64_t
#include <map>      // for map
#include <memory>   // for shared_ptr
#include <string>   // for string
#include <vector>   // for vector

#include "rudderloom/control/messages.hpp"           // for message::Any
#include "rudderloom/control/snapshot.hpp"           // for Snapshot
#include "rudderloom/quarantine/crash_book.hpp"      // for CrashBook
#include "rudderloom/quarantine/crash_news_log.hpp"  // for CrashNewsLog
#include "rudderloom/settings/settings.hpp"          // for Settings

namespace rudderloom {

/// @brief State of this node and the nodes known to it, for heartbeats and operators.
/// @ingroup control
struct NodeReport {
  NodeState self;
  std::vector<Member> members;
  std::vector<Member> targets;      ///< Recipients of the next heartbeat.
  std::vector<NodeDigest> digests;  ///< Sent with the next heartbeat.
  std::map<std::string, PoolRecord> pools;
  std::vector<std::string> held_pools;
  std::vector<EndpointState> endpoints;
  ConfigurationPtr configuration;
  bool peers_known = false;  ///< Whether any other node is known.
  bool released = false;     ///< After a stop request: no lease is held any more.
};

/// @brief Actions that the control state requests from its caller.
/// @ingroup control
struct ControlEffects {
  PoolEffects pool;
  SnapshotPtr snapshot;  ///< Null if it has not changed.
};

/// @brief Owns the control state. Does no I/O and reads no clock; the time is passed in.
/// @ingroup control
class ControlState {
 public:
  ControlState(Settings settings, std::string incarnation, std::string peers_address);

  /// @brief Processes one message. Only Tick and StopRequested have effects other than a new
  /// snapshot.
  /// @param unix_seconds Wall-clock time, compared with the start times of serving events.
  ControlEffects Handle(const message::Any& any, TimePoint now, std::int64_t unix_seconds);

  /// @brief Builds a report.
  /// @param next_round Whether to select new recipients for the next heartbeat.
  std::shared_ptr<const NodeReport> Report(TimePoint now, bool next_round);

 private:
  void On(const message::ConfigurationSeen& seen, TimePoint now);
  void On(const message::EndpointsListed& listed, TimePoint now);
  void On(const message::EndpointPut& put, TimePoint now);
  void On(const message::EndpointRemoved& removed, TimePoint now);
  void On(const message::NodesListed& listed, TimePoint now);
  void On(const message::PoolSeen& seen, TimePoint now);
  void On(const message::PoolCallEnded& ended, TimePoint now);
  void On(const message::OrderEnded& ended, TimePoint now);
  void On(const message::EndpointPolled& polled, TimePoint now);
  void On(const message::HeartbeatReceived& heard, TimePoint now);
  void On(const message::EndpointAnnouncedLeaving& said, TimePoint now);
  void On(const message::TrafficSampled& sampled, TimePoint now);
  void On(const message::Tick& tick, TimePoint now);
  void On(const message::StopRequested& asked, TimePoint now);

  PoolKeeper& FindOrCreateKeeper(const std::string& pool);
  PoolView BuildPoolView(const std::string& pool, TimePoint now, std::int64_t unix_seconds);
  std::vector<WantedUnit> ListWantedUnits(const std::string& pool, std::int64_t unix_seconds) const;
  std::uint32_t OthersInFlight(const std::string& endpoint, TimePoint now) const;
  bool IsRoutable(const EndpointState& state) const;
  std::optional<UnitState> RecordedState(const EndpointState& endpoint,
                                         const std::string& unit) const;
  bool IsBeingUnloaded(const EndpointState& endpoint, const std::string& unit) const;
  SnapshotPtr MakeSnapshot(TimePoint now);
  void UpdateRunningNodes(TimePoint now);
  void AddServingSet(Snapshot& snapshot,
                     std::map<std::string, ServingSet>& sets,
                     const std::string& name,
                     const std::string& unit,
                     const std::vector<std::uint32_t>& endpoints) const;
  void AddServingUnit(Snapshot& snapshot, const std::string& name, const std::string& unit) const;
  void SmoothDemand(TimePoint now);
  void MergeCrashNews(const CrashNews& news, TimePoint now);

  Settings settings_;
  std::string incarnation_;
  std::string peers_address_;
  ConfigurationKeeper configuration_;
  EndpointTable endpoints_;
  MemberTable members_;
  std::map<std::string, PoolKeeper> keepers_;
  std::map<std::string, std::uint32_t> in_flight_;  // on this node, by endpoint
  std::map<std::string, std::uint32_t> demand_;     // on this node, by model or service
  std::map<std::string, double> smooth_demand_;     // of all nodes
  std::map<std::string, ServingSet> last_models_;   // to reuse unchanged affinity tables
  TimePoint smoothed_at_;
  CrashBook crash_book_;
  CrashNewsLog news_log_;            // sent with each heartbeat, including news from peers
  std::vector<Member> targets_;      // of the current heartbeat round
  std::vector<NodeDigest> digests_;  // sent in the current round
  std::uint64_t heartbeat_count_ = 0;
  bool endpoints_listed_ = false;
  bool nodes_listed_ = false;
  bool stopping_ = false;
  std::shared_ptr<const std::set<std::string>> running_nodes_;  // null while not known
  bool dirty_ = true;
};

}  // namespace rudderloom

#endif
