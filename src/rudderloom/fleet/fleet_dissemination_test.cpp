// Load tests of a fleet in which every node needs the state of the store and of the lease holder:
// at startup, in normal operation, and when nodes that others rely on fail. Checks that calls to
// the store and reports to one node do not grow with the fleet, that changes reach all nodes in
// time, and that no node returns to an older state.
// Bounds: drains and configurations have 4 s; a takeover of the lease takes about 2 s; failed calls
// end after 1 s.
#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/fleet_world.hpp"  // for FleetWorld

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;

constexpr int kChangeBound = 4'000;

// Checks all running and connected nodes except one.
template <class Check>
bool AllExcept(const FleetWorld& world, int excluded, Check check) {
  for (int i = 0; i < world.Nodes(); ++i) {
    if (world.Alive(i) && i != excluded && !check(i)) {
      return false;
    }
  }
  return true;
}

// Time until all nodes except one have this configuration; `limit` when it takes longer.
int SpreadTime(FleetWorld& world,
               std::uint64_t version,
               int excluded = -1,
               int limit = 2 * kChangeBound) {
  const int from = world.Now();
  while (world.Now() - from < limit) {
    if (AllExcept(world, excluded, [&](int i) { return world.RoutesVersionOf(i) >= version; })) {
      return world.Now() - from;
    }
    world.Play(50);
  }
  return limit;
}

// Time during which nodes still send to an endpoint that is leaving.
int DrainTime(FleetWorld& world, const std::string& instance, int excluded = -1) {
  const int from = world.Now();
  world.PutEndpoint(instance, true);
  while (world.Now() - from < 2 * kChangeBound) {
    if (AllExcept(world, excluded, [&](int i) { return !world.Sends(i, instance); })) {
      return world.Now() - from;
    }
    world.Play(50);
  }
  return 2 * kChangeBound;
}

// A relay other than the holder: a node that others report to.
int FindRelay(const FleetWorld& world) {
  for (int i = 0; i < world.Nodes(); ++i) {
    if (world.Alive(i) && world.Holder() != i && world.ReportsTo(i) > 0) {
      return i;
    }
  }
  return -1;
}

FleetWorldOptions LargeFleet() {
  FleetWorldOptions options;
  options.nodes = 96;
  options.zones = 3;
  options.group_size = 8;
  return options;
}

TEST_CASE("a first start of the whole fleet makes few store calls per node, and few lists") {
  FleetWorld world(LargeFleet());
  world.Play(6'000);
  REQUIRE(world.Holder());
  MESSAGE("lists ", world.Calls().lists, " watches ", world.Calls().watches, " lease ",
          world.Calls().lease);
  CHECK(AllExcept(world, -1, [&](int i) { return world.RoutesVersionOf(i) == 1; }));
  CHECK(AllExcept(world, -1, [&](int i) { return world.Sends(i, "e1"); }));
  // If each of 96 nodes listed two kinds and read the lease twice, they would make over 400 calls.
  CHECK(world.Calls().lists <= 20);
  CHECK(world.Calls().All() <= 140);
}

TEST_CASE("an idle fleet calls the store no more often than a few nodes would") {
  FleetWorld world(LargeFleet());
  world.Play(8'000);
  const double before = world.Calls().All();
  world.Play(10'000);
  MESSAGE("calls in 10 s ", world.Calls().All() - before);
  CHECK(world.Calls().All() - before <= 80);
}

TEST_CASE("only relays report to the holder, and at most one and a half groups to a relay") {
  FleetWorld world(LargeFleet());
  world.Play(8'000);
  const auto holder = world.Holder();
  REQUIRE(holder);
  // 14 relays report ten times a second; 96 nodes that report directly would make 400 reports.
  MESSAGE("reports to the holder a second ", world.ReportsTo(*holder));
  CHECK(world.ReportsTo(*holder) <= 180);
  for (int i = 0; i < world.Nodes(); ++i) {
    if (i != *holder) {
      CHECK(world.ReportsTo(i) <= 60);
    }
  }
}

TEST_CASE("a holder with little processor time gets fewer reports") {
  FleetWorldOptions options = LargeFleet();
  options.large_in_zone = 0;
  FleetWorld world(options);
  world.Play(10'000);
  const auto holder = world.Holder();
  REQUIRE(holder);
  MESSAGE("reports to the holder a second ", world.ReportsTo(*holder));
  CHECK(world.ReportsTo(*holder) <= 80);
  world.Configure(5);
  CHECK(SpreadTime(world, 5) <= 2'000);
}

TEST_CASE("changes reach all nodes in time, without a store call per node") {
  FleetWorld world(LargeFleet());
  world.Play(8'000);
  const double before = world.Calls().All();
  world.Configure(5);
  const int spread = SpreadTime(world, 5);
  const int drained = DrainTime(world, "e1");
  MESSAGE("configuration ", spread, " ms, drain ", drained, " ms, calls ",
          world.Calls().All() - before);
  CHECK(spread <= 1'500);
  CHECK(drained <= 1'500);
  CHECK(world.Calls().All() - before <= 60);
}

TEST_CASE("when the holder dies the fleet does not read the store, and changes stay in time") {
  FleetWorld world(LargeFleet());
  world.Play(8'000);
  const int holder = *world.Holder();
  const double before = world.Calls().All();
  world.Kill(holder);
  world.Configure(5);
  world.PutEndpoint("e2", true);
  const int spread = SpreadTime(world, 5);
  while (!world.Holder() && world.Now() < 20'000) {
    world.Play(50);
  }
  MESSAGE("another holder after ", world.Now() - 8'000, " ms");
  CHECK(spread <= kChangeBound);
  CHECK(AllExcept(world, -1, [&](int i) { return !world.Sends(i, "e2"); }));
  world.Play(4'000);
  REQUIRE(world.Holder());
  MESSAGE("configuration ", spread, " ms, calls ", world.Calls().All() - before);
  // If each of 95 nodes listed and watched two kinds, they would make over 380 calls.
  CHECK(world.Calls().All() - before <= 120);
}

TEST_CASE("when a relay dies, freezes or is cut off its members soon report to others") {
  for (const bool cut_off : {false, true}) {
    FleetWorld world(LargeFleet());
    world.Play(8'000);
    const int relay = FindRelay(world);
    REQUIRE(relay >= 0);
    if (cut_off) {
      world.CutFromNodes(relay, true);
    } else {
      world.Kill(relay);
    }
    world.Configure(5);
    const int spread = SpreadTime(world, 5, relay);
    MESSAGE("configuration ", spread, " ms");
    CHECK(spread <= 3'000);
    CHECK(world.ConfigurationRegressions() == 0);
  }
}

TEST_CASE("when all relays of a zone die at once the zone soon has others") {
  FleetWorld world(LargeFleet());
  world.Play(8'000);
  for (int i = 0; i < world.Nodes(); i += 3) {
    if (world.ReportsTo(i) > 0 && world.Holder() != i) {
      world.Kill(i);
    }
  }
  world.Configure(5);
  CHECK(SpreadTime(world, 5) <= 3'000);
  world.Play(6'000);
  const auto holder = world.Holder();
  REQUIRE(holder);
  CHECK(world.ReportsTo(*holder) <= 220);
}

TEST_CASE("after all processes were killed at once every node serves within a second") {
  FleetWorld world(LargeFleet());
  world.Play(8'000);
  for (int i = 0; i < world.Nodes(); ++i) {
    world.Kill(i);
  }
  const double before = world.Calls().All();
  world.Play(200);
  for (int i = 0; i < world.Nodes(); ++i) {
    world.Start(i);
  }
  world.Play(1'000);
  CHECK(AllExcept(world, -1, [&](int i) { return world.Sends(i, "e1"); }));
  CHECK(AllExcept(world, -1, [&](int i) { return world.RoutesVersionOf(i) == 1; }));
  world.Play(9'000);
  REQUIRE(world.Holder());
  MESSAGE("calls ", world.Calls().All() - before);
  // Each node makes two lists so that it can serve requests at once.
  CHECK(world.Calls().All() - before <= 2.0 * world.Nodes() + 150);
}

TEST_CASE("a store outage costs no call per node and second, and its end is noticed") {
  FleetWorld world(LargeFleet());
  world.Play(8'000);
  const double before = world.Calls().All();
  world.SetStoreDown(true);
  world.Play(9'000);
  MESSAGE("calls in 9 s ", world.Calls().All() - before);
  CHECK(world.Calls().All() - before <= 300);
  world.SetStoreDown(false);
  world.Configure(5);
  CHECK(SpreadTime(world, 5, -1, 3 * kChangeBound) <= 2 * kChangeBound);
}

// Each pair of faults at two moments, in a small fleet: no node returns to an older state, and a
// change made during the faults reaches all connected nodes within the bound after the last one.
TEST_CASE("any two faults, in any order") {
  using Fault = void (*)(FleetWorld&, int);
  const std::vector<Fault> faults{
      [](FleetWorld& world, int node) { world.Kill(node); },
      [](FleetWorld& world, int node) { world.Start(node); },
      [](FleetWorld& world, int node) { world.CutFromStore(node, true); },
      [](FleetWorld& world, int node) { world.CutFromNodes(node, true); },
  };
  const auto victim = [](const FleetWorld& world, int which) {
    return which == 0 ? world.Holder().value_or(0) : FindRelay(world);
  };
  int schedules = 0;
  for (const Fault first : faults) {
    for (const Fault second : faults) {
      for (int victims = 0; victims < 4; ++victims) {
        for (const int pause : {0, 300, 1'200, 2'500}) {
          FleetWorldOptions options;
          options.nodes = 14;
          options.group_size = 3;
          FleetWorld world(options);
          world.Play(5'000);
          const int first_victim = victim(world, victims % 2);
          REQUIRE(first_victim >= 0);
          first(world, first_victim);
          world.Play(pause + 5);
          const int second_victim = victim(world, victims / 2);
          if (second_victim >= 0) {
            second(world, second_victim);
          }
          world.Configure(5);
          const int from = world.Now();
          const auto in_force = [&](int i) {
            return i == first_victim || i == second_victim || world.RoutesVersionOf(i) == 5;
          };
          while (world.Now() - from < 2 * kChangeBound && !AllExcept(world, -1, in_force)) {
            world.Play(50);
          }
          CAPTURE(victims);
          CAPTURE(pause);
          CHECK(world.Now() - from <= kChangeBound);
          CHECK(world.ConfigurationRegressions() == 0);
          ++schedules;
        }
      }
    }
  }
  MESSAGE("schedules ", schedules);
}

}  // namespace
}  // namespace rudderloom
