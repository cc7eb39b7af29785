#include "rudderloom/dissemination/roster.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr std::uint32_t kGroupSize = 16;

ReportingNode MakeNode(int number, int zone, double share = 0.12) {
  ReportingNode node;
  node.name = "n" + std::to_string(number);
  node.address = "10.0.0." + std::to_string(number) + ":1";
  node.availability_zone = "zone-" + std::to_string(zone);
  node.processor_share = share;
  return node;
}

NodeCounts CountsOf(const ReportingNode& node) {
  NodeCounts counts;
  counts.node = node.name;
  counts.availability_zone = node.availability_zone;
  counts.represented_nodes = node.represented_nodes;
  return counts;
}

// Six zones of 49 nodes, three nodes of each zone with half a core; no relays assigned yet.
std::vector<ReportingNode> LargeFleet() {
  std::vector<ReportingNode> nodes;
  nodes.reserve(294);
  for (int i = 0; i < 294; ++i) {
    nodes.push_back(MakeNode(i, i % 6, i < 18 ? 0.5 : 0.12));
  }
  return nodes;
}

TEST_CASE("a small fleet needs no relays") {
  std::vector<ReportingNode> nodes;
  nodes.reserve(24);
  for (int i = 0; i < 24; ++i) {
    nodes.push_back(MakeNode(i, i % 3));
  }
  Roster roster(kGroupSize);
  roster.Update(nodes);
  CHECK_FALSE(roster.HasRelays());
  CHECK(roster.RelayFor(CountsOf(nodes[5])).empty());
  CHECK(roster.StandbyAddresses().size() == 4);
}

TEST_CASE("in a large fleet only the nodes with the most CPU time report to the holder") {
  const auto nodes = LargeFleet();
  Roster roster(kGroupSize);
  roster.Update(nodes);
  int direct = 0;
  std::map<std::string, int> members;
  for (const ReportingNode& node : nodes) {
    const std::string relay = roster.RelayFor(CountsOf(node));
    direct += relay.empty() ? 1 : 0;
    members[relay] += 1;
    CHECK((!relay.empty() || roster.IsRelay(node.name)));
  }
  CHECK(direct == 24);  // 49 nodes a zone: four groups of up to 16
  for (int i = 0; i < 18; ++i) {
    CHECK(roster.IsRelay(nodes[static_cast<std::size_t>(i)].name));
  }
  for (const auto& [relay, count] : members) {
    CHECK(count <= static_cast<int>(MaxRelayMembers(kGroupSize)));
  }
}

TEST_CASE("a node reports to a relay of its own zone") {
  const auto nodes = LargeFleet();
  Roster roster(kGroupSize);
  roster.Update(nodes);
  for (const ReportingNode& node : nodes) {
    const std::string relay = roster.RelayFor(CountsOf(node));
    for (const ReportingNode& other : nodes) {
      if (other.address == relay) {
        CHECK(other.availability_zone == node.availability_zone);
      }
    }
  }
}

TEST_CASE("relays that failed to answer are skipped, and without any relay the holder is used") {
  const auto nodes = LargeFleet();
  Roster roster(kGroupSize);
  roster.Update(nodes);
  NodeCounts asking = CountsOf(nodes[200]);
  for (int attempt = 0; attempt < 4; ++attempt) {
    const std::string relay = roster.RelayFor(asking);
    CHECK_FALSE(relay.empty());
    asking.avoided_relays.push_back(relay);
  }
  CHECK(roster.RelayFor(asking).empty());
}

TEST_CASE("the members of a failed relay spread over the other relays of its zone") {
  const auto nodes = LargeFleet();
  Roster roster(kGroupSize);
  roster.Update(nodes);
  const std::string lost = roster.RelayFor(CountsOf(nodes[204]));
  std::map<std::string, int> reassigned;
  for (const ReportingNode& node : nodes) {
    NodeCounts asking = CountsOf(node);
    if (roster.RelayFor(asking) == lost) {
      asking.avoided_relays = {lost};
      reassigned[roster.RelayFor(asking)] += 1;
    }
  }
  CHECK(reassigned.size() >= 2);
}

TEST_CASE("relays remain relays when they report for their groups after a takeover") {
  // After a takeover, 18 relays report for all nodes.
  std::vector<ReportingNode> nodes;
  for (int i = 0; i < 18; ++i) {
    nodes.push_back(MakeNode(i, i % 6, 0.5));
    nodes.back().represented_nodes = 16;
  }
  Roster roster(kGroupSize);
  roster.Update(nodes);
  for (const ReportingNode& node : nodes) {
    CHECK(roster.IsRelay(node.name));
    CHECK(roster.RelayFor(CountsOf(node)).empty());
  }
}

TEST_CASE("a deselected relay is not redirected while others report to it") {
  auto nodes = LargeFleet();
  Roster roster(kGroupSize);
  roster.Update(nodes);
  ReportingNode deselected = MakeNode(900, 2, 0.12);
  deselected.represented_nodes = 9;
  CHECK(roster.RelayFor(CountsOf(deselected)).empty());
}

TEST_CASE("the nodes with the most CPU time are the standbys") {
  std::vector<ReportingNode> nodes;
  nodes.reserve(10);
  for (int i = 0; i < 10; ++i) {
    nodes.push_back(MakeNode(i, 0, i < 6 ? 0.12 : 0.5));
  }
  nodes.erase(nodes.begin() + 7);  // the holder
  Roster roster(kGroupSize);
  roster.Update(nodes);
  for (const char* name : {"n0", "n6", "n8", "n9"}) {
    CHECK(roster.IsStandby(name));
  }
  CHECK_FALSE(roster.IsStandby("n1"));
  roster.Update({});
  CHECK(roster.StandbyAddresses().empty());
}

}  // namespace
}  // namespace rudderloom
