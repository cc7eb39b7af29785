#include "rudderloom/dissemination/roster.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr std::uint32_t kGroup = 16;

ReportingNode MakeNode(int number, int zone, double share = 0.12) {
  ReportingNode node;
  node.name = "n" + std::to_string(number);
  node.address = "10.0.0." + std::to_string(number) + ":1";
  node.availability_zone = "zone-" + std::to_string(zone);
  node.processor_share = share;
  return node;
}

NodeCounts Asking(const ReportingNode& node) {
  NodeCounts counts;
  counts.node = node.name;
  counts.availability_zone = node.availability_zone;
  counts.stands_for = node.stands_for;
  return counts;
}

// Six zones of 49 nodes, three of them with half a core, as they report before anybody relays.
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
  Roster roster(kGroup);
  roster.Update(nodes);
  CHECK_FALSE(roster.HasRelays());
  CHECK(roster.RelayFor(Asking(nodes[5])).empty());
  CHECK(roster.StandbyAddresses().size() == 4);
}

TEST_CASE("in a large fleet few nodes report to the holder, those with the most processor time") {
  const auto nodes = LargeFleet();
  Roster roster(kGroup);
  roster.Update(nodes);
  int direct = 0;
  std::map<std::string, int> members;
  for (const ReportingNode& node : nodes) {
    const std::string relay = roster.RelayFor(Asking(node));
    direct += relay.empty() ? 1 : 0;
    members[relay] += 1;
    CHECK((!relay.empty() || roster.IsRelay(node.name)));
  }
  CHECK(direct == 24);  // 49 nodes a zone: four groups of up to 16
  for (int i = 0; i < 18; ++i) {
    CHECK(roster.IsRelay(nodes[static_cast<std::size_t>(i)].name));
  }
  for (const auto& [relay, count] : members) {
    CHECK(count <= static_cast<int>(MostMembers(kGroup)));
  }
}

TEST_CASE("a node reports to a relay of its own zone") {
  const auto nodes = LargeFleet();
  Roster roster(kGroup);
  roster.Update(nodes);
  for (const ReportingNode& node : nodes) {
    const std::string relay = roster.RelayFor(Asking(node));
    for (const ReportingNode& other : nodes) {
      if (other.address == relay) {
        CHECK(other.availability_zone == node.availability_zone);
      }
    }
  }
}

TEST_CASE("a relay that gave no answer is left out, and without any the holder answers") {
  const auto nodes = LargeFleet();
  Roster roster(kGroup);
  roster.Update(nodes);
  NodeCounts asking = Asking(nodes[200]);
  for (int tries = 0; tries < 4; ++tries) {
    const std::string relay = roster.RelayFor(asking);
    CHECK_FALSE(relay.empty());
    asking.avoided_relays.push_back(relay);
  }
  CHECK(roster.RelayFor(asking).empty());
}

TEST_CASE("the members of a relay that goes spread over the others of its zone") {
  const auto nodes = LargeFleet();
  Roster roster(kGroup);
  roster.Update(nodes);
  const std::string lost = roster.RelayFor(Asking(nodes[204]));
  std::map<std::string, int> taken;
  for (const ReportingNode& node : nodes) {
    NodeCounts asking = Asking(node);
    if (roster.RelayFor(asking) == lost) {
      asking.avoided_relays = {lost};
      taken[roster.RelayFor(asking)] += 1;
    }
  }
  CHECK(taken.size() >= 2);
}

TEST_CASE("relays that the holder hears only for their groups stay relays") {
  // After a takeover: 18 relays stand for all.
  std::vector<ReportingNode> nodes;
  for (int i = 0; i < 18; ++i) {
    nodes.push_back(MakeNode(i, i % 6, 0.5));
    nodes.back().stands_for = 16;
  }
  Roster roster(kGroup);
  roster.Update(nodes);
  for (const ReportingNode& node : nodes) {
    CHECK(roster.IsRelay(node.name));
    CHECK(roster.RelayFor(Asking(node)).empty());
  }
}

TEST_CASE("a relay that lost its place is not sent elsewhere while others report to it") {
  auto nodes = LargeFleet();
  Roster roster(kGroup);
  roster.Update(nodes);
  ReportingNode late = MakeNode(900, 2, 0.12);
  late.stands_for = 9;
  CHECK(roster.RelayFor(Asking(late)).empty());
}

TEST_CASE("the nodes with the most processor time take over first") {
  std::vector<ReportingNode> nodes;
  nodes.reserve(10);
  for (int i = 0; i < 10; ++i) {
    nodes.push_back(MakeNode(i, 0, i < 6 ? 0.12 : 0.5));
  }
  nodes.erase(nodes.begin() + 7);  // the holder
  Roster roster(kGroup);
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
