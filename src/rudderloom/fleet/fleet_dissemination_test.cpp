// Load: a fleet in which every node needs what the store and the holder of the lease know, at its
// start, while it is calm, and when nodes that others rely on are lost. Asked for: calls to the
// store and reports to one node that do not grow with the fleet, changes known everywhere in time,
// and nothing that goes back.
// Grounds for the bounds: drains and configurations have 4 s; a takeover of the lease takes about
// 2 s; calls that fail end after 1 s.
#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/fleet_world.hpp"  // for FleetWorld

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;

constexpr int kBound = 4'000;

// Nodes that live and are in touch, but for one.
template <class Check>
bool All(const FleetWorld& world, int but, Check check) {
  for (int i = 0; i < world.Nodes(); ++i) {
    if (world.Alive(i) && i != but && !check(i)) {
      return false;
    }
  }
  return true;
}

// How long it takes until all nodes but one have this configuration; `limit` when not in time.
int SpreadTime(FleetWorld& world, std::uint64_t version, int but = -1, int limit = 2 * kBound) {
  const int from = world.Now();
  while (world.Now() - from < limit) {
    if (All(world, but, [&](int i) { return world.RoutesVersionOf(i) >= version; })) {
      return world.Now() - from;
    }
    world.Play(50);
  }
  return limit;
}

// How long nodes still send to an endpoint that has said to leave.
int DrainTime(FleetWorld& world, const std::string& instance, int but = -1) {
  const int from = world.Now();
  world.PutEndpoint(instance, true);
  while (world.Now() - from < 2 * kBound) {
    if (All(world, but, [&](int i) { return !world.Sends(i, instance); })) {
      return world.Now() - from;
    }
    world.Play(50);
  }
  return 2 * kBound;
}

// A relay other than the holder: a node that others report to.
int SomeRelay(const FleetWorld& world) {
  for (int i = 0; i < world.Nodes(); ++i) {
    if (world.Alive(i) && world.Holder() != i && world.ReportsTo(i) > 0) {
      return i;
    }
  }
  return -1;
}

FleetWorldOptions Large() {
  FleetWorldOptions options;
  options.nodes = 96;
  options.zones = 3;
  options.group_size = 8;
  return options;
}

TEST_CASE("a first start of the whole fleet calls the store a few times a node, not for lists") {
  FleetWorld world(Large());
  world.Play(6'000);
  REQUIRE(world.Holder());
  MESSAGE("lists ", world.Calls().lists, " watches ", world.Calls().watches, " lease ",
          world.Calls().lease);
  CHECK(All(world, -1, [&](int i) { return world.RoutesVersionOf(i) == 1; }));
  CHECK(All(world, -1, [&](int i) { return world.Sends(i, "e1"); }));
  // 96 nodes that each list two kinds and read the lease twice would make 400 calls and more.
  CHECK(world.Calls().lists <= 20);
  CHECK(world.Calls().All() <= 140);
}

TEST_CASE("a calm fleet calls the store no more often than a few nodes would") {
  FleetWorld world(Large());
  world.Play(8'000);
  const double before = world.Calls().All();
  world.Play(10'000);
  MESSAGE("calls in 10 s ", world.Calls().All() - before);
  CHECK(world.Calls().All() - before <= 80);
}

TEST_CASE("the holder hears relays, and no relay hears more nodes than its group and a half") {
  FleetWorld world(Large());
  world.Play(8'000);
  const auto holder = world.Holder();
  REQUIRE(holder);
  // 14 relays report ten times a second; 96 nodes would report 400 times.
  MESSAGE("reports to the holder a second ", world.ReportsTo(*holder));
  CHECK(world.ReportsTo(*holder) <= 180);
  for (int i = 0; i < world.Nodes(); ++i) {
    if (i != *holder) {
      CHECK(world.ReportsTo(i) <= 60);
    }
  }
}

TEST_CASE("a holder with little processor time is told less often") {
  FleetWorldOptions options = Large();
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

TEST_CASE("changes are known everywhere in time, and cost no call for each node") {
  FleetWorld world(Large());
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

TEST_CASE("when the holder dies the fleet does not ask the store, and changes stay in time") {
  FleetWorld world(Large());
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
  CHECK(spread <= kBound);
  CHECK(All(world, -1, [&](int i) { return !world.Sends(i, "e2"); }));
  world.Play(4'000);
  REQUIRE(world.Holder());
  MESSAGE("configuration ", spread, " ms, calls ", world.Calls().All() - before);
  // 95 nodes that list and watch two kinds would make 380 calls and more.
  CHECK(world.Calls().All() - before <= 120);
}

TEST_CASE("when a relay dies, freezes or is cut off its members hear others soon") {
  for (const bool silent : {false, true}) {
    FleetWorld world(Large());
    world.Play(8'000);
    const int relay = SomeRelay(world);
    REQUIRE(relay >= 0);
    if (silent) {
      world.CutFromNodes(relay, true);
    } else {
      world.Kill(relay);
    }
    world.Configure(5);
    const int spread = SpreadTime(world, 5, relay);
    MESSAGE("configuration ", spread, " ms");
    CHECK(spread <= 3'000);
    CHECK(world.WentBack() == 0);
  }
}

TEST_CASE("when all relays of a zone die at once the zone has others soon") {
  FleetWorld world(Large());
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

TEST_CASE("after all processes died at once every node is of use within a second") {
  FleetWorld world(Large());
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
  CHECK(All(world, -1, [&](int i) { return world.Sends(i, "e1"); }));
  CHECK(All(world, -1, [&](int i) { return world.RoutesVersionOf(i) == 1; }));
  world.Play(9'000);
  REQUIRE(world.Holder());
  MESSAGE("calls ", world.Calls().All() - before);
  // Two lists a node are the price of being of use at once.
  CHECK(world.Calls().All() - before <= 2.0 * world.Nodes() + 150);
}

TEST_CASE("a store that is down costs no call a node and second, and is heard of when it returns") {
  FleetWorld world(Large());
  world.Play(8'000);
  const double before = world.Calls().All();
  world.SetStoreDown(true);
  world.Play(9'000);
  MESSAGE("calls in 9 s ", world.Calls().All() - before);
  CHECK(world.Calls().All() - before <= 300);
  world.SetStoreDown(false);
  world.Configure(5);
  CHECK(SpreadTime(world, 5, -1, 3 * kBound) <= 2 * kBound);
}

// Each pair of faults at two moments, in a small fleet: nothing goes back, and a change made during
// them is known at all nodes that are in touch within the bound after the last one.
TEST_CASE("any two faults, in any order") {
  using Fault = void (*)(FleetWorld&, int);
  const std::vector<Fault> faults{
      [](FleetWorld& world, int node) { world.Kill(node); },
      [](FleetWorld& world, int node) { world.Start(node); },
      [](FleetWorld& world, int node) { world.CutFromStore(node, true); },
      [](FleetWorld& world, int node) { world.CutFromNodes(node, true); },
  };
  const auto victim = [](const FleetWorld& world, int which) {
    return which == 0 ? world.Holder().value_or(0) : SomeRelay(world);
  };
  int schedules = 0;
  for (const Fault first : faults) {
    for (const Fault second : faults) {
      for (int whom = 0; whom < 4; ++whom) {
        for (const int pause : {0, 300, 1'200, 2'500}) {
          FleetWorldOptions options;
          options.nodes = 14;
          options.group_size = 3;
          FleetWorld world(options);
          world.Play(5'000);
          const int one = victim(world, whom % 2);
          REQUIRE(one >= 0);
          first(world, one);
          world.Play(pause + 5);
          const int other = victim(world, whom / 2);
          if (other >= 0) {
            second(world, other);
          }
          world.Configure(5);
          const int from = world.Now();
          const auto in_force = [&](int i) {
            return i == one || i == other || world.RoutesVersionOf(i) == 5;
          };
          while (world.Now() - from < 2 * kBound && !All(world, -1, in_force)) {
            world.Play(50);
          }
          CAPTURE(whom);
          CAPTURE(pause);
          CHECK(world.Now() - from <= kBound);
          CHECK(world.WentBack() == 0);
          ++schedules;
        }
      }
    }
  }
  MESSAGE("schedules ", schedules);
}

}  // namespace
}  // namespace rudderloom
