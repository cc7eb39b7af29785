#include "rudderloom/membership/member_table.hpp"

#include <algorithm>  // for min
#include <utility>    // for move

namespace rudderloom {

namespace {

// The keys of a map that follow `last`, in a circle, at most `most` of them.
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

MemberTable::MemberTable(std::string self, MembershipSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void MemberTable::Listed(const std::vector<NodeState>& nodes) {
  for (auto& [name, member] : members_) {
    member.listed = false;
  }
  for (const NodeState& node : nodes) {
    if (node.name == self_) {
      continue;
    }
    Member& member = members_[node.name];
    member.listed = true;
    // The list lags, so it never overwrites what the node itself has said.
    if (!member.advanced_at) {
      member.state = node;
    }
  }
}

void MemberTable::Heard(const NodeState& state, TimePoint now) {
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

void MemberTable::HeardOf(const NodeDigest& digest, TimePoint now) {
  const auto found = members_.find(digest.name);
  if (found == members_.end()) {
    return;
  }
  NodeState& state = found->second.state;
  if (state.incarnation != digest.incarnation || digest.beat <= state.beat) {
    return;
  }
  state.beat = digest.beat;
  state.generation = std::max(state.generation, digest.generation);
  found->second.advanced_at = now;
}

void MemberTable::Expire(TimePoint now) {
  std::erase_if(members_, [&](const auto& entry) {
    return !entry.second.listed && !IsLive(entry.second, now);
  });
}

std::vector<Member> MemberTable::NextTargets() {
  std::vector<Member> targets;
  for (const std::string& name :
       NextKeys(members_, last_target_, static_cast<std::size_t>(settings_.fanout))) {
    targets.push_back(members_.at(name));
    last_target_ = name;
  }
  return targets;
}

std::vector<NodeDigest> MemberTable::NextDigests(std::size_t most) {
  std::vector<NodeDigest> digests;
  for (const std::string& name : NextKeys(members_, last_digest_, most)) {
    const NodeState& state = members_.at(name).state;
    digests.push_back({state.name, state.incarnation, state.beat, state.generation});
    last_digest_ = name;
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

bool MemberTable::IsLive(const Member& member, TimePoint now) const {
  return member.advanced_at && Between(*member.advanced_at, now) <= settings_.silent_after;
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
