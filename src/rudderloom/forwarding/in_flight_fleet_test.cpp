// Fleets in simulated time send twice what an endpoint with 6 slots can serve, while nodes fail. At
// most 12 granted requests may be there, and as many again after a change of the granting node.
#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/in_flight_traffic.hpp"  // for InFlightTraffic

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;
using fakes::InFlightTraffic;

constexpr int kNodes = 60;
constexpr double kOffered = 2.0 * InFlightTraffic::kCapacityPerSecond;
constexpr int kWarmUpMs = 6'000;
constexpr int kFaultMs = 4'000;  // in which the fleet notices the fault
constexpr int kAfterMs = 5'000;

FleetWorldOptions Fleet() {
  FleetWorldOptions options;
  options.nodes = kNodes;
  options.zones = 3;
  options.group_size = 16;
  return options;
}

struct Scenario {
  const char* name;
  void (*inject)(FleetWorld&, InFlightTraffic&);
  int limits;  // granted at one time at most, in multiples of the limit
};

void InjectNothing(FleetWorld&, InFlightTraffic&) {}

void KillGranter(FleetWorld& world, InFlightTraffic& traffic) {
  if (const auto granter = traffic.Granter()) {
    world.Kill(*granter);
  }
}

void RestartGranter(FleetWorld& world, InFlightTraffic& traffic) {
  if (const auto granter = traffic.Granter()) {
    world.Start(*granter);
  }
}

void KillHolder(FleetWorld& world, InFlightTraffic&) {
  if (const auto holder = world.Holder()) {
    world.Kill(*holder);
  }
}

void SetStoreDown(FleetWorld& world, InFlightTraffic&) {
  world.SetStoreDown(true);
}

void KillGranterWithoutStore(FleetWorld& world, InFlightTraffic& traffic) {
  world.SetStoreDown(true);
  KillGranter(world, traffic);
}

void KillHolderWithoutStore(FleetWorld& world, InFlightTraffic& traffic) {
  world.SetStoreDown(true);
  KillHolder(world, traffic);
}

void CutGranterFromNodes(FleetWorld& world, InFlightTraffic& traffic) {
  if (const auto granter = traffic.Granter()) {
    world.CutFromNodes(*granter, true);
  }
}

void SuspendGranter(FleetWorld& world, InFlightTraffic& traffic) {
  if (const auto granter = traffic.Granter()) {
    world.Suspend(*granter, 3'000);
  }
}

void RestartOthers(FleetWorld& world, InFlightTraffic& traffic) {
  const auto granter = traffic.Granter();
  for (int node = 0; node < world.Nodes(); node += 4) {
    if (node != granter && node != world.Holder()) {
      world.Start(node);
    }
  }
}

const Scenario kScenarios[] = {{"nothing", InjectNothing, 1},
                               {"store down", SetStoreDown, 1},
                               {"granting node killed", KillGranter, 2},
                               {"granting node restarted", RestartGranter, 2},
                               {"holder killed", KillHolder, 2},
                               {"granting node killed, store down", KillGranterWithoutStore, 2},
                               {"holder killed, store down", KillHolderWithoutStore, 2},
                               {"granting node cut from nodes", CutGranterFromNodes, 2},
                               {"granting node suspended", SuspendGranter, 2},
                               {"a quarter of the nodes new", RestartOthers, 2}};

// Guards against an endpoint that gets more than it can answer in time, and against requests that
// stop because nobody grants them.
TEST_CASE("60 nodes keep to the work in flight at an endpoint while nodes fail, and go on") {
  for (const Scenario& scenario : kScenarios) {
    for (unsigned seed = 1; seed <= 3; ++seed) {
      CAPTURE(std::string(scenario.name));
      CAPTURE(seed);
      FleetWorld world(Fleet());
      world.Play(kWarmUpMs);
      InFlightTraffic traffic(world, kOffered, seed);
      traffic.Play(kWarmUpMs);
      CHECK(traffic.MostGranted() <= InFlightTraffic::kLimit);
      CHECK(traffic.MostSolo() == 0);
      scenario.inject(world, traffic);
      traffic.Play(kFaultMs);
      traffic.TakeServed();
      traffic.Play(kAfterMs);
      CHECK(traffic.MostGranted() <= scenario.limits * InFlightTraffic::kLimit);
      CHECK(traffic.TakeServed() >=
            InFlightTraffic::kCapacityPerSecond * kAfterMs / 1'000 * 9 / 10);
    }
  }
}

// Guards against a new fleet, which knows no granting node, that floods the endpoint or sends it
// nothing.
TEST_CASE("60 new nodes send one request at a time each until they know a granting node") {
  FleetWorld world(Fleet());
  InFlightTraffic traffic(world, kOffered, 1);
  traffic.Play(kWarmUpMs);
  CHECK(traffic.MostSolo() <= kNodes);
  CHECK(traffic.MostGranted() <= 2 * InFlightTraffic::kLimit);
  traffic.TakeServed();
  traffic.Play(kAfterMs);
  CHECK(traffic.TakeServed() >= InFlightTraffic::kCapacityPerSecond * kAfterMs / 1'000 * 9 / 10);
}

}  // namespace
}  // namespace rudderloom
