// Fleets in simulated time send to an endpoint that announces how many requests a second it accepts
// from all of them, ten times as many as it accepts, while nodes fail.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max

#include "fakes/limited_traffic.hpp"  // for LimitedTraffic

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;
using fakes::LimitedTraffic;

constexpr double kLimits[] = {0.3, 1.0, 5.0, 50.0};
constexpr double kLeastWanted = 40.0;
constexpr int kBefore = 6'000;  // milliseconds
constexpr int kAfter = 9'000;

// In any 4 s: one and a half times the limit, and five requests.
int Allowed(double limit) {
  constexpr double kWindowSeconds = 4.0;
  constexpr double kTolerance = 1.5;
  return static_cast<int>(kTolerance * limit * kWindowSeconds) + 5;
}

FleetWorldOptions Fleet(int nodes) {
  FleetWorldOptions options;
  options.nodes = nodes;
  options.zones = 3;
  options.group_size = 16;
  return options;
}

struct Scenario {
  const char* name;
  void (*strike)(FleetWorld&, LimitedTraffic&);
};

void StrikeNothing(FleetWorld&, LimitedTraffic&) {}

void KillHolder(FleetWorld& world, LimitedTraffic&) {
  if (const auto holder = world.Holder()) {
    world.Kill(*holder);
  }
}

void SuspendHolder(FleetWorld& world, LimitedTraffic&) {
  if (const auto holder = world.Holder()) {
    world.Suspend(*holder, 5'000);
  }
}

void CutHolderFromNodes(FleetWorld& world, LimitedTraffic&) {
  if (const auto holder = world.Holder()) {
    world.CutFromNodes(*holder, true);
  }
}

void CutHolderFromStore(FleetWorld& world, LimitedTraffic&) {
  if (const auto holder = world.Holder()) {
    world.CutFromStore(*holder, true);
  }
}

void KillAll(FleetWorld& world, LimitedTraffic&) {
  for (int i = 0; i < world.Nodes(); ++i) {
    world.Start(i);
  }
}

void KillHolderWithoutStore(FleetWorld& world, LimitedTraffic& traffic) {
  world.SetStoreDown(true);
  KillHolder(world, traffic);
}

void KillHolderAndDeputy(FleetWorld& world, LimitedTraffic& traffic) {
  const auto holder = world.Holder();
  if (!holder) {
    return;
  }
  const FleetViewPtr& view = world.ViewOf(*holder == 0 ? 1 : 0);
  const auto deputy = view ? world.Answering(0, view->deputy) : std::nullopt;
  if (deputy) {
    world.Kill(*deputy);
  }
  KillHolder(world, traffic);
}

void RestoreStore(FleetWorld& world, LimitedTraffic&) {
  world.RestoreStore(4'000, 500);
}

const Scenario kScenarios[] = {{"nothing", StrikeNothing},
                               {"holder killed", KillHolder},
                               {"holder suspended", SuspendHolder},
                               {"holder cut from nodes", CutHolderFromNodes},
                               {"holder cut from store", CutHolderFromStore},
                               {"all killed", KillAll},
                               {"holder killed, store down", KillHolderWithoutStore},
                               {"holder and deputy killed", KillHolderAndDeputy},
                               {"store restored", RestoreStore}};

void Check(int nodes, double limit, const Scenario& scenario, unsigned seed) {
  CAPTURE(nodes);
  CAPTURE(limit);
  CAPTURE(scenario.name);
  CAPTURE(seed);
  FleetWorld world(Fleet(nodes));
  LimitedTraffic traffic(world, std::max(kLeastWanted, 10.0 * limit), seed);
  traffic.Play(kBefore);
  traffic.Announce(limit);
  traffic.Play(kBefore);
  scenario.strike(world, traffic);
  traffic.Play(kAfter);
  CHECK(traffic.MostInWindow() <= Allowed(limit));
}

// Guards against a sum over all nodes that grows with their number.
TEST_CASE("12 nodes together keep to an endpoint's limit while nodes fail") {
  for (const Scenario& scenario : kScenarios) {
    for (const double limit : kLimits) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        Check(12, limit, scenario, seed);
      }
    }
  }
}

TEST_CASE("60 nodes together keep to an endpoint's limit while nodes fail") {
  for (const Scenario& scenario : kScenarios) {
    for (const double limit : kLimits) {
      Check(60, limit, scenario, 7);
    }
  }
}

TEST_CASE("300 nodes together keep to an endpoint's limit while nodes fail") {
  for (const Scenario& scenario : kScenarios) {
    Check(300, 1.0, scenario, 9);
  }
  for (const double limit : kLimits) {
    Check(300, limit, kScenarios[1], 10);
  }
}

// Guards against limits that outlast their announcement, or that only some nodes know.
TEST_CASE("the begin and the end of a limit reach all nodes within a second") {
  for (const int nodes : {12, 60}) {
    FleetWorld world(Fleet(nodes));
    LimitedTraffic traffic(world, kLeastWanted, 3);
    traffic.Play(kBefore);
    for (int round = 0; round < 4; ++round) {
      traffic.Announce(5.0);
      traffic.Play(1'000);
      CHECK(traffic.NodesThatLimit() == nodes);
      traffic.Play(3'000);
      traffic.Announce(0.0);
      traffic.Play(1'500);
      CHECK(traffic.NodesThatLimit() == 0);
      traffic.Play(2'000);
      CHECK(traffic.Arrived(1'000) > 25);
    }
  }
}

// Guards against a limit that is never seen to end, as nothing is sent there any more.
TEST_CASE("a limited endpoint gets requests up to its limit, also without a holder") {
  FleetWorld world(Fleet(12));
  LimitedTraffic traffic(world, kLeastWanted, 4);
  traffic.Play(kBefore);
  traffic.Announce(2.0);
  traffic.Play(kBefore);
  CHECK(traffic.Arrived(4'000) >= 6);
  world.SetStoreDown(true);
  KillHolder(world, traffic);
  traffic.Play(6'000);
  CHECK(traffic.Arrived(4'000) >= 2);
}

}  // namespace
}  // namespace rudderloom
