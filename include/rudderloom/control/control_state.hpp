/// @file
/// The whole control state of one entry node, as a pure function of the messages it got.
#ifndef RUDDERLOOM_CONTROL_CONTROL_STATE_HPP
#define RUDDERLOOM_CONTROL_CONTROL_STATE_HPP

#include <cstdint>  // for int64_t
#include <map>      // for map
#include <memory>   // for shared_ptr
#include <string>   // for string
#include <vector>   // for vector

#include "rudderloom/control/messages.hpp"       // for message::Any
#include "rudderloom/control/snapshot.hpp"       // for Snapshot
#include "rudderloom/quarantine/crash_book.hpp"  // for CrashBook
#include "rudderloom/quarantine/news_log.hpp"    // for NewsLog
#include "rudderloom/settings/settings.hpp"      // for Settings

namespace rudderloom {

/// @brief What this node tells about itself and others, for heartbeats and operators.
/// @ingroup control
struct NodeReport {
  NodeState self;
  std::vector<Member> members;
  std::vector<Member> targets;      ///< Whom to send the next heartbeat to.
  std::vector<NodeDigest> digests;  ///< To pass on with it.
  std::map<std::string, PoolRecord> pools;
  std::vector<std::string> held_pools;
  std::vector<EndpointState> endpoints;
  ConfigurationPtr configuration;
  bool peers_known = false;  ///< Some other node is known at all.
  bool released = false;     ///< After a stop was asked: no lease is held any more.
};

/// @brief What the control state asks its shell to do.
/// @ingroup control
struct ControlEffects {
  PoolEffects pool;
  SnapshotPtr snapshot;  ///< Null when nothing changed for traffic.
};

/// @brief Owns all control state. Pure: no I/O, and time is passed in.
/// @ingroup control
class ControlState {
 public:
  ControlState(Settings settings, std::string incarnation, std::string peers_address);

  /// @brief Takes one message; only Tick and StopAsked give effects besides a new snapshot.
  /// @param unix_seconds Wall clock, for the declared starts of serving events.
  ControlEffects Handle(const message::Any& any, TimePoint now, std::int64_t unix_seconds);

  /// @brief A report as of now; moves on to the next heartbeat targets when asked to.
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
  void On(const message::PeerHeard& heard, TimePoint now);
  void On(const message::LeavingSaid& said, TimePoint now);
  void On(const message::TrafficSampled& sampled, TimePoint now);
  void On(const message::Tick& tick, TimePoint now);
  void On(const message::StopAsked& asked, TimePoint now);

  PoolKeeper& KeeperOf(const std::string& pool);
  PoolView ViewOf(const std::string& pool, TimePoint now, std::int64_t unix_seconds);
  std::vector<WantedUnit> WantedIn(const std::string& pool, std::int64_t unix_seconds) const;
  std::uint32_t OthersInFlight(const std::string& endpoint, TimePoint now) const;
  bool Routable(const EndpointState& state) const;
  std::optional<UnitState> StateOnRecord(const EndpointState& endpoint,
                                         const std::string& unit) const;
  bool Withdrawn(const EndpointState& endpoint, const std::string& unit) const;
  SnapshotPtr MakeSnapshot(TimePoint now);
  void AddServing(Snapshot& snapshot,
                  std::map<std::string, ServingSet>& sets,
                  const std::string& name,
                  const std::string& unit,
                  const std::vector<std::uint32_t>& endpoints) const;
  void AddUnit(Snapshot& snapshot, const std::string& name, const std::string& unit) const;
  void SmoothDemand(TimePoint now);
  void TakeCrashNews(const CrashNews& news, TimePoint now);

  Settings settings_;
  std::string incarnation_;
  std::string peers_address_;
  ConfigurationKeeper configuration_;
  EndpointTable endpoints_;
  MemberTable members_;
  std::map<std::string, PoolKeeper> keepers_;
  std::map<std::string, std::uint32_t> in_flight_;  // here, by endpoint
  std::map<std::string, std::uint32_t> demand_;     // here, by name
  std::map<std::string, double> smooth_demand_;     // over all nodes
  std::map<std::string, ServingSet> last_models_;   // to keep affinity tables that still hold
  TimePoint smoothed_at_;
  CrashBook crash_book_;
  NewsLog news_log_;                 // told with each heartbeat, also what was heard
  std::vector<Member> targets_;      // of the present heartbeat round
  std::vector<NodeDigest> digests_;  // to pass on with it
  std::uint64_t beat_ = 0;
  bool endpoints_listed_ = false;
  bool nodes_listed_ = false;
  bool stopping_ = false;
  bool dirty_ = true;
};

}  // namespace rudderloom

#endif
