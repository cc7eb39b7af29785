#include "rudderloom/dissemination/roster.hpp"

#include <algorithm>   // for sort, min, find
#include <functional>  // for hash

namespace rudderloom {

namespace {

// Enough for some of them to reach the store when it rejects a third of the nodes.
constexpr std::size_t kStandbyCount = 4;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Rendezvous hash of node and relay. It keeps the groups even and spreads the members of a failed
// relay over the other relays of the zone.
std::size_t RendezvousHash(const std::string& node, const std::string& relay) {
  return std::hash<std::string>{}(node + " " + relay);
}

}  // namespace

std::uint32_t MaxRelayMembers(std::uint32_t group_size) {
  return group_size + group_size / 2;
}

void Roster::Update(std::vector<ReportingNode> nodes) {
  // A standby without links to endpoints could send no orders.
  std::sort(nodes.begin(), nodes.end(), [](const ReportingNode& left, const ReportingNode& right) {
    if (left.reaches_endpoints != right.reaches_endpoints) {
      return left.reaches_endpoints;
    }
    return left.processor_share != right.processor_share
               ? left.processor_share > right.processor_share
               : left.name < right.name;
  });
  ChooseStandbys(nodes);
  ChooseRelays(nodes);
}

void Roster::ChooseStandbys(const std::vector<ReportingNode>& nodes) {
  standby_names_.clear();
  standby_addresses_.clear();
  for (std::size_t i = 0; i < std::min(kStandbyCount, nodes.size()); ++i) {
    standby_names_.insert(nodes[i].name);
    standby_addresses_.push_back(nodes[i].address);
  }
}

void Roster::ChooseRelays(const std::vector<ReportingNode>& nodes) {
  relays_by_zone_.clear();
  relay_names_.clear();
  std::uint32_t fleet_size = 0;
  std::map<std::string, std::uint32_t> zone_sizes;
  for (const ReportingNode& node : nodes) {
    fleet_size += node.represented_nodes;
    zone_sizes[node.availability_zone] += node.represented_nodes;
  }
  if (fleet_size <= MaxRelayMembers(group_size_)) {
    return;
  }
  for (const ReportingNode& node : nodes) {
    std::vector<std::string>& relays = relays_by_zone_[node.availability_zone];
    const std::uint32_t zone_size = zone_sizes[node.availability_zone];
    if (relays.size() * group_size_ < zone_size) {
      relays.push_back(node.address);
      relay_names_.insert(node.name);
    }
  }
}

std::string Roster::RelayFor(const NodeCounts& asking) const {
  // A relay that is no longer selected stays a relay while others report to it.
  if (asking.represented_nodes > 1 || IsRelay(asking.node)) {
    return "";
  }
  const auto zone = relays_by_zone_.find(asking.availability_zone);
  if (zone == relays_by_zone_.end()) {
    return "";
  }
  std::string best;
  for (const std::string& relay : zone->second) {
    const bool preferred =
        best.empty() || RendezvousHash(asking.node, relay) > RendezvousHash(asking.node, best);
    if (preferred && !Contains(asking.avoided_relays, relay)) {
      best = relay;
    }
  }
  return best;
}

}  // namespace rudderloom
