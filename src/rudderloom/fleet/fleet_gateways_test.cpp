// Fleets in simulated time whose nodes lose their links to all endpoints learn which nodes forward
// their requests, and place the lease on a node that reaches endpoints.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max

#include "fakes/fleet_world.hpp"  // for FleetWorld

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;

constexpr int kZones = 3;
constexpr int kWarmUpMs = 6'000;
// Callers must be served from 3 s after a cut on. A node needs up to 1.5 s to notice it.
constexpr int kLearnMs = 1'500;
constexpr int kHandOverMs = 6'000;
constexpr int kGroupSize = 16;
// One gateway carries at most this many times the requests of an average one, and of one group.
constexpr int kMaxImbalance = 3;

FleetWorldOptions Fleet(int nodes) {
  FleetWorldOptions options;
  options.nodes = nodes;
  options.zones = kZones;
  options.group_size = kGroupSize;
  return options;
}

using CutNodes = std::vector<int>;

struct Scenario {
  const char* name;
  CutNodes (*choose)(const FleetWorld&);
};

CutNodes OneNode(const FleetWorld& world) {
  return {world.Holder() == 1 ? 2 : 1};
}

CutNodes LeaseHolder(const FleetWorld& world) {
  return {world.Holder().value()};
}

CutNodes Zone(const FleetWorld& world) {
  CutNodes nodes;
  for (int i = 0; i < world.Nodes(); i += kZones) {
    nodes.push_back(i);
  }
  return nodes;
}

CutNodes MostOfAZone(const FleetWorld& world) {
  CutNodes nodes = Zone(world);
  nodes.pop_back();
  return nodes;
}

CutNodes TwoThirds(const FleetWorld& world) {
  CutNodes nodes;
  for (int i = 0; i < world.Nodes(); ++i) {
    if (i % kZones != 0) {
      nodes.push_back(i);
    }
  }
  return nodes;
}

constexpr Scenario kScenarios[] = {{"one node", OneNode},
                                   {"the lease holder", LeaseHolder},
                                   {"a zone", Zone},
                                   {"most of a zone", MostOfAZone},
                                   {"two thirds", TwoThirds}};

// The largest number of cut nodes that one gateway is named to.
int MaxNodesPerGateway(const FleetWorld& world, const CutNodes& cut) {
  std::map<int, int> named;
  int most = 0;
  for (const int node : cut) {
    for (const Gateway& gateway : world.ViewOf(node)->gateways) {
      most = std::max(most, ++named[world.NodeOfGateway(gateway)]);
    }
  }
  return most;
}

void CheckScenario(int nodes, const Scenario& scenario) {
  CAPTURE(nodes);
  CAPTURE(scenario.name);
  FleetWorld world(Fleet(nodes));
  world.Play(kWarmUpMs);
  const CutNodes cut = scenario.choose(world);
  for (const int node : cut) {
    world.CutFromEndpoints(node, true);
  }
  world.Play(kLearnMs);
  for (const int node : cut) {
    CAPTURE(node);
    const GatewayList& gateways = world.ViewOf(node)->gateways;
    CHECK(!gateways.empty());
    for (const Gateway& gateway : gateways) {
      CHECK(!world.IsCutFromEndpoints(world.NodeOfGateway(gateway)));
    }
  }
  world.Play(kHandOverMs);
  REQUIRE(world.Holder());
  CHECK(!world.IsCutFromEndpoints(*world.Holder()));
  // The requests of the nodes without links spread over all others.
  const int whole = nodes - static_cast<int>(cut.size());
  const int names = static_cast<int>(cut.size() * std::min<std::size_t>(kMaxGateways, whole));
  CHECK(MaxNodesPerGateway(world, cut) <= kMaxImbalance * names / whole + kGroupSize);
  for (const int node : cut) {
    world.CutFromEndpoints(node, false);
  }
  world.Play(kLearnMs);
  for (const int node : cut) {
    CHECK(world.ViewOf(node)->gateways.empty());
  }
}

void CheckAll(int nodes) {
  for (const Scenario& scenario : kScenarios) {
    CheckScenario(nodes, scenario);
  }
}

TEST_CASE("8 nodes: those cut off from endpoints learn their gateways") {
  CheckAll(8);
}

TEST_CASE("60 nodes: those cut off from endpoints learn their gateways") {
  CheckAll(60);
}

TEST_CASE("300 nodes: those cut off from endpoints learn their gateways") {
  CheckAll(300);
}

TEST_CASE("a node cut off while there is no lease holder asks the standbys for gateways") {
  FleetWorld world(Fleet(8));
  world.Play(kWarmUpMs);
  world.SetStoreDown(true);
  world.Kill(world.Holder().value());
  world.Play(3'000);
  int node = 0;
  while (!world.Alive(node)) {
    ++node;
  }
  world.CutFromEndpoints(node, true);
  world.Play(kLearnMs);
  CHECK(!world.ViewOf(node)->gateways.empty());
}

// Guards against a fleet without endpoints that passes its lease from node to node.
TEST_CASE("a fleet that is cut off as a whole keeps its lease holder") {
  FleetWorld world(Fleet(8));
  world.Play(kWarmUpMs);
  const auto holder = world.Holder();
  for (int i = 0; i < world.Nodes(); ++i) {
    world.CutFromEndpoints(i, true);
  }
  world.Play(kHandOverMs);
  CHECK(world.Holder() == holder);
  CHECK(world.ViewOf(0)->gateways.empty());
}

}  // namespace
}  // namespace rudderloom
