// Fleets in simulated time send to an endpoint that announces how many requests per second it
// accepts from all nodes together. They are offered ten times as many, while nodes fail.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max

#include "fakes/limited_traffic.hpp"         // for LimitedTraffic
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;
using fakes::LimitedTraffic;

constexpr double kLimits[] = {0.3, 1.0, 5.0, 50.0};
constexpr double kMinOffered = 40.0;
constexpr int kBeforeFault = 6'000;  // Milliseconds.
constexpr int kAfterFault = 9'000;

// Requests allowed in any 4 s: one and a half times the limit, plus five.
int MaxAllowed(double limit) {
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
  void (*inject)(FleetWorld&, LimitedTraffic&);
};

void InjectNothing(FleetWorld&, LimitedTraffic&) {}

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

void RestartAll(FleetWorld& world, LimitedTraffic&) {
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
  const auto deputy = view ? world.ReachableNodeAt(0, view->deputy) : std::nullopt;
  if (deputy) {
    world.Kill(*deputy);
  }
  KillHolder(world, traffic);
}

void RestoreStore(FleetWorld& world, LimitedTraffic&) {
  world.RestoreStore(4'000, 500);
}

const Scenario kScenarios[] = {{"nothing", InjectNothing},
                               {"holder killed", KillHolder},
                               {"holder suspended", SuspendHolder},
                               {"holder cut from nodes", CutHolderFromNodes},
                               {"holder cut from store", CutHolderFromStore},
                               {"all restarted", RestartAll},
                               {"holder killed, store down", KillHolderWithoutStore},
                               {"holder and deputy killed", KillHolderAndDeputy},
                               {"store restored", RestoreStore}};

void CheckLimitKept(int nodes, double limit, const Scenario& scenario, unsigned seed) {
  CAPTURE(nodes);
  CAPTURE(limit);
  CAPTURE(scenario.name);
  CAPTURE(seed);
  FleetWorld world(Fleet(nodes));
  LimitedTraffic traffic(world, std::max(kMinOffered, 10.0 * limit), seed);
  traffic.Play(kBeforeFault);
  traffic.Announce(limit);
  traffic.Play(kBeforeFault);
  scenario.inject(world, traffic);
  traffic.Play(kAfterFault);
  CHECK(traffic.MostInWindow() <= MaxAllowed(limit));
}

// Guards against a total over all nodes that grows with their number.
TEST_CASE("12 nodes together keep to an endpoint's limit while nodes fail") {
  for (const Scenario& scenario : kScenarios) {
    for (const double limit : kLimits) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        CheckLimitKept(12, limit, scenario, seed);
      }
    }
  }
}

TEST_CASE("60 nodes together keep to an endpoint's limit while nodes fail") {
  for (const Scenario& scenario : kScenarios) {
    for (const double limit : kLimits) {
      CheckLimitKept(60, limit, scenario, 7);
    }
  }
}

TEST_CASE("300 nodes together keep to an endpoint's limit while nodes fail") {
  for (const Scenario& scenario : kScenarios) {
    CheckLimitKept(300, 1.0, scenario, 9);
  }
  for (const double limit : kLimits) {
    CheckLimitKept(300, limit, kScenarios[1], 10);
  }
}

// Guards against limits that outlast their announcement, or that reach only some nodes.
TEST_CASE("the start and the end of a limit reach all nodes within a second") {
  for (const int nodes : {12, 60}) {
    FleetWorld world(Fleet(nodes));
    LimitedTraffic traffic(world, kMinOffered, 3);
    traffic.Play(kBeforeFault);
    for (int round = 0; round < 4; ++round) {
      traffic.Announce(5.0);
      traffic.Play(1'000);
      CHECK(traffic.NodesApplyingLimit() == nodes);
      traffic.Play(3'000);
      traffic.Announce(0.0);
      traffic.Play(1'500);
      CHECK(traffic.NodesApplyingLimit() == 0);
      traffic.Play(2'000);
      CHECK(traffic.Arrived(1'000) > 25);
    }
  }
}

// Guards against a limit whose end is never noticed because no more requests are sent.
TEST_CASE("a limited endpoint gets requests up to its limit, also without a holder") {
  FleetWorld world(Fleet(12));
  LimitedTraffic traffic(world, kMinOffered, 4);
  traffic.Play(kBeforeFault);
  traffic.Announce(2.0);
  traffic.Play(kBeforeFault);
  CHECK(traffic.Arrived(4'000) >= 6);
  world.SetStoreDown(true);
  KillHolder(world, traffic);
  traffic.Play(6'000);
  CHECK(traffic.Arrived(4'000) >= 2);
}

// Guards against a holder that goes on with the standbys of its last view: it chose other granting
// nodes than all others, and 15 to 19 requests were granted where one node grants 14.
TEST_CASE("a holder uses its new standbys at once") {
  const auto at = [](int milliseconds) {
    return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
  };
  FleetSettings settings;
  settings.name = "n1";
  settings.listen.peers = "n1:1";
  FleetState state(settings, "x");
  FleetViewPtr view;
  const auto handle = [&](const fleet_message::Any& message, int ms) {
    const auto effects = state.Handle(message, at(ms));
    view = effects.view ? effects.view : view;
    if (effects.lease_write) {
      const StoreRevision revision{0, static_cast<std::uint64_t>(ms) + 1};
      state.Handle(fleet_message::LeaseWritten{revision}, at(ms));
    }
  };
  handle(fleet_message::RoutesSeen{std::make_shared<const RouteTable>(
             1, std::vector<Route>{}, std::vector<ServiceSpec>{}, ClientLimits{})},
         0);
  handle(fleet_message::EndpointsListed{{}, StoreRevision{0, 1}}, 0);
  handle(fleet_message::LeaseSeen{std::nullopt, {}, true}, 0);
  for (int ms = 50; ms < 6'000; ms += 50) {
    CAPTURE(ms);
    for (const std::string name : {"n2", "n3"}) {
      if (name == "n2" || ms >= 3'000) {
        NodeCounts counts;
        counts.node = name;
        counts.address = name + ":1";
        handle(fleet_message::PeerCountsReceived{counts}, ms);
      }
    }
    handle(fleet_message::Tick{}, ms);
    if (ms >= 2'000 && ms < 3'000) {
      CHECK(view->standbys == std::vector<std::string>{"n2:1"});
    }
  }
  CHECK(view->standbys == std::vector<std::string>{"n2:1", "n3:1"});
}

}  // namespace
}  // namespace rudderloom
