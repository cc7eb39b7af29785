/// @file
/// Which entry nodes there are, which are heard, and whom to send the next heartbeats to.
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

/// @brief What one entry node tells the others with each heartbeat.
/// @ingroup membership
struct NodeState {
  std::string name;
  std::string incarnation;    ///< New with each start of the process.
  std::string peers_address;  ///< Where it answers peers and operators.
  std::string availability_zone;
  std::uint64_t beat = 0;        ///< Grows with each heartbeat of this incarnation.
  std::uint64_t generation = 0;  ///< Of the configuration in force there.
  bool stopping = false;
  std::vector<std::string> leaving;                ///< `endpoint#incarnation` seen leaving.
  std::map<std::string, std::uint32_t> in_flight;  ///< Requests by endpoint.
  std::map<std::string, std::uint32_t> demand;     ///< Requests running or waiting, by unit name.
  std::map<std::string, std::uint64_t> quiet_epochs;  ///< By pool: no older order is in its hand.
  CrashNews crash_news;                               ///< That it has seen or heard of lately.
};

/// @brief Heartbeat counters of a third node, passed on by whoever heard it.
/// @ingroup membership
struct NodeDigest {
  std::uint64_t id = 0;  ///< See IncarnationId.
  std::uint64_t beat = 0;
  std::uint64_t generation = 0;
};

/// @brief A short id for an incarnation, the same in every process.
/// @ingroup membership
std::uint64_t IncarnationId(const std::string& incarnation);

/// @brief One known entry node and when its heartbeat last advanced.
/// @ingroup membership
struct Member {
  NodeState state;
  bool listed = false;  ///< The platform's list names it.
  std::optional<TimePoint> advanced_at;
};

/// @brief Knows the other entry nodes, from the platform's lagging list and from heartbeats.
/// Pure: no I/O, and time is passed in.
/// @ingroup membership
class MemberTable {
 public:
  MemberTable(std::string self, MembershipSettings settings);

  /// @brief Takes the platform's list of nodes; one that left the list stays while it is heard.
  void Listed(const std::vector<NodeState>& nodes);

  /// @brief Takes a node's own word.
  void Heard(const NodeState& state, TimePoint now);

  /// @brief Takes another's word about a node; only a higher beat counts.
  void HeardOf(const NodeDigest& digest, TimePoint now);

  /// @brief Forgets nodes that are neither listed nor heard.
  void Expire(TimePoint now);

  /// @brief Addresses for the next heartbeat round: at most the fanout, all in turn.
  std::vector<Member> NextTargets();

  /// @brief Up to `most` heartbeat counters to pass on, those that advanced last; none while a
  /// heartbeat round reaches every member anyway.
  std::vector<NodeDigest> FreshDigests(std::size_t most) const;

  /// @brief Members heard lately, without this node itself.
  std::vector<const Member*> Live(TimePoint now) const;

  /// @brief True when the member's heartbeat advanced within the silence limit, which is longer
  /// where there are so many members that news of one takes several rounds.
  bool IsLive(const Member& member, TimePoint now) const;

  /// @brief True when no incarnation of this id is listed, heard or remembered.
  bool Ended(const std::string& incarnation) const;

  const std::map<std::string, Member>& Members() const { return members_; }

 private:
  std::size_t FullMesh() const;

  std::string self_;
  MembershipSettings settings_;
  std::map<std::string, Member> members_;
  std::string last_target_;
};

}  // namespace rudderloom

#endif
