/// @file
/// The known entry nodes, which of them are alive, and the targets of the next heartbeats.
#ifndef RUDDERLOOM_MEMBERSHIP_MEMBER_TABLE_HPP
#define RUDDERLOOM_MEMBERSHIP_MEMBER_TABLE_HPP

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews
#include "rudderloom/settings/settings.hpp"      // for MembershipSettings

namespace rudderloom {

/// @brief The state that an entry node sends to the others with each heartbeat.
/// @ingroup membership
struct NodeState {
  std::string name;
  std::string incarnation;    ///< Changes with each start of the process.
  std::string peers_address;  ///< Address for peers and operators.
  std::string availability_zone;
  std::uint64_t beat = 0;        ///< Incremented with each heartbeat of this incarnation.
  std::uint64_t generation = 0;  ///< Generation of its configuration in force.
  bool stopping = false;
  std::vector<std::string> leaving;  ///< Leaving instances of endpoints, see InstanceOf.
  std::map<std::string, std::uint32_t> in_flight;  ///< Running requests by endpoint.
  std::map<std::string, std::uint32_t> demand;     ///< Running or waiting requests by unit name.
  std::map<std::string, std::uint64_t>
      quiet_epochs;      ///< By pool: no order of an older epoch is pending on it.
  CrashNews crash_news;  ///< Recent crashes that it has seen or received.
};

/// @brief Heartbeat counters of another node, relayed by a node that received them.
/// @ingroup membership
struct NodeDigest {
  std::uint64_t id = 0;  ///< See `IncarnationId`.
  std::uint64_t beat = 0;
  std::uint64_t generation = 0;
};

/// @brief Returns a short id for an incarnation, the same in every process.
/// @ingroup membership
std::uint64_t IncarnationId(const std::string& incarnation);

/// @brief A known entry node and the time at which its heartbeat counter last advanced.
/// @ingroup membership
struct Member {
  NodeState state;
  bool listed = false;  ///< In the platform's list.
  std::optional<TimePoint> advanced_at;
};

/// @brief Tracks the other entry nodes, from the platform's list, which lags behind, and from
/// heartbeats. Pure: no I/O, and time is passed in.
/// @ingroup membership
class MemberTable {
 public:
  MemberTable(std::string self, MembershipSettings settings);

  /// @brief Applies the platform's list of nodes; a node that left the list is kept while its
  /// heartbeats arrive.
  void ApplyList(const std::vector<NodeState>& nodes);

  /// @brief Applies a heartbeat received from the node itself.
  void RecordHeartbeat(const NodeState& state, TimePoint now);

  /// @brief Applies a relayed heartbeat counter; only a higher counter has an effect.
  void RecordRelayedHeartbeat(const NodeDigest& digest, TimePoint now);

  /// @brief Removes nodes that are neither listed nor alive.
  void Expire(TimePoint now);

  /// @brief Returns the targets of the next heartbeat round: at most the fanout, in rotation.
  std::vector<Member> NextTargets();

  /// @brief Returns up to `most` heartbeat counters to relay, those that advanced last; none while
  /// a heartbeat round reaches every member anyway.
  std::vector<NodeDigest> FreshDigests(std::size_t most) const;

  /// @brief Returns the members that are alive, without this node.
  std::vector<const Member*> Live(TimePoint now) const;

  /// @brief Returns true when the member's heartbeat advanced within the silence limit, which is
  /// longer in large fleets, where news of a member takes several rounds.
  bool IsLive(const Member& member, TimePoint now) const;

  /// @brief Returns the incarnations of the members that are alive or were never heard.
  std::set<std::string> PossiblyRunning(TimePoint now) const;

  /// @brief Returns true when no known member has this incarnation.
  bool Ended(const std::string& incarnation) const;

  const std::map<std::string, Member>& Members() const { return members_; }

 private:
  std::size_t FullMeshLimit() const;

  std::string self_;
  MembershipSettings settings_;
  std::map<std::string, Member> members_;
  std::string last_target_;
};

}  // namespace rudderloom

#endif
