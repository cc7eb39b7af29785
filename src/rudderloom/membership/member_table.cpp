#include "rudderloom/membership/member_table.hpp"

#include <algorithm>                      // for min, partial_sort
#include <boost/container_hash/hash.hpp>  // for hash
#include <utility>                        // for move

namespace rudderloom {

namespace {

// Relayed heartbeats need about one more silence limit to arrive for each such number of members.
constexpr std::size_t kMembersPerSilenceLimit = 64;

// Returns at most `most` keys that follow `last`, wrapping around at the end.
std::vector<std::string> NextKeys(const std::map<std::string, Member>& members,
                                  const std::string& last,
                                  std::size_t most) {
  std::vector<std::string> keys;
  auto next = members.upper_bound(last);
  const std::size_t count = std::min(most, members.size());
  while (keys.size() < count) {
    if (next == members.end()) {
      next = members.begin();
    }
    keys.push_back(next->first);
    ++next;
  }
  return keys;
}

}  // namespace

std::uint64_t IncarnationId(const std::string& incarnation) {
  return boost::hash<std::string>{}(incarnation);
}

MemberTable::MemberTable(std::string self, MembershipSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void MemberTable::ApplyList(const std::vector<NodeState>& nodes) {
  for (auto& [name, member] : members_) {
    member.listed = false;
  }
  for (const NodeState& node : nodes) {
    if (node.name == self_) {
      continue;
    }
    Member& member = members_[node.name];
    member.listed = true;
    // The list lags behind, so it never overwrites what the node itself has sent.
    if (!member.advanced_at) {
      member.state = node;
    }
  }
}

void MemberTable::RecordHeartbeat(const NodeState& state, TimePoint now) {
  if (state.name == self_) {
    return;
  }
  Member& member = members_[state.name];
  const bool same = member.state.incarnation == state.incarnation;
  if (member.advanced_at && same && state.beat <= member.state.beat) {
    return;
  }
  member.state = state;
  member.advanced_at = now;
}

void MemberTable::RecordRelayedHeartbeat(const NodeDigest& digest, TimePoint now) {
  for (auto& [name, member] : members_) {
    NodeState& state = member.state;
    if (IncarnationId(state.incarnation) != digest.id) {
      continue;
    }
    if (digest.beat > state.beat) {
      state.beat = digest.beat;
      state.generation = std::max(state.generation, digest.generation);
      member.advanced_at = now;
    }
    return;
  }
}

void MemberTable::Expire(TimePoint now) {
  std::erase_if(members_, [&](const auto& entry) {
    return !entry.second.listed && !IsLive(entry.second, now);
  });
}

// Fleets of up to this many members send heartbeats to all members in every round.
std::size_t MemberTable::FullMeshLimit() const {
  return static_cast<std::size_t>(settings_.full_mesh);
}

std::vector<Member> MemberTable::NextTargets() {
  std::vector<Member> targets;
  const auto fanout = static_cast<std::size_t>(settings_.fanout);
  const std::size_t count = members_.size() <= FullMeshLimit() ? members_.size() : fanout;
  for (const std::string& name : NextKeys(members_, last_target_, count)) {
    targets.push_back(members_.at(name));
    last_target_ = name;
  }
  return targets;
}

std::vector<NodeDigest> MemberTable::FreshDigests(std::size_t most) const {
  std::vector<NodeDigest> digests;
  if (members_.size() <= FullMeshLimit()) {
    return digests;
  }
  std::vector<const Member*> heard;
  for (const auto& [name, member] : members_) {
    if (member.advanced_at) {
      heard.push_back(&member);
    }
  }
  const std::size_t count = std::min(most, heard.size());
  std::partial_sort(
      heard.begin(), heard.begin() + static_cast<std::ptrdiff_t>(count), heard.end(),
      [](const Member* a, const Member* b) { return a->advanced_at > b->advanced_at; });
  for (std::size_t i = 0; i < count; ++i) {
    const NodeState& state = heard[i]->state;
    digests.push_back({IncarnationId(state.incarnation), state.beat, state.generation});
  }
  return digests;
}

std::vector<const Member*> MemberTable::Live(TimePoint now) const {
  std::vector<const Member*> live;
  for (const auto& [name, member] : members_) {
    if (IsLive(member, now)) {
      live.push_back(&member);
    }
  }
  return live;
}

std::set<std::string> MemberTable::PossiblyRunning(TimePoint now) const {
  std::set<std::string> incarnations;
  for (const auto& [name, member] : members_) {
    if (!member.advanced_at || IsLive(member, now)) {
      incarnations.insert(member.state.incarnation);
    }
  }
  return incarnations;
}

bool MemberTable::IsLive(const Member& member, TimePoint now) const {
  const auto times = static_cast<Duration::rep>(1 + members_.size() / kMembersPerSilenceLimit);
  return member.advanced_at && Between(*member.advanced_at, now) <= settings_.silent_after * times;
}

bool MemberTable::Ended(const std::string& incarnation) const {
  for (const auto& [name, member] : members_) {
    if (member.state.incarnation == incarnation) {
      return false;
    }
  }
  return true;
}

}  // namespace rudderloom
