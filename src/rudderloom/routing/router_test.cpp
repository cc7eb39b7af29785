#include "rudderloom/routing/router.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <map>  // for map

#include "fakes/cells.hpp"  // for ProvedCell

namespace rudderloom {

namespace {

const TimePoint kStart{};

Snapshot MakeSnapshot(std::uint32_t count, std::uint32_t slots, std::uint32_t nodes = 1) {
  Snapshot snapshot;
  snapshot.live_nodes = nodes;
  std::vector<std::string> names;
  ServingSet set;
  for (std::uint32_t i = 0; i < count; ++i) {
    EndpointView view;
    view.id = i;
    view.name = "ep" + std::to_string(i);
    view.slots = slots;
    names.push_back(view.name);
    snapshot.endpoints.push_back(view);
    set.endpoints.push_back(i);
  }
  set.affinity = BuildAffinity(names);
  snapshot.models["m"] = set;
  return snapshot;
}

}  // namespace

TEST_CASE("requests with a common prefix stay on one endpoint while it has free slots") {
  const Snapshot snapshot = MakeSnapshot(10, 8);
  Router router(1);
  RouteQuery ask;
  ask.prefix = PrefixHash("m", "the same beginning");
  std::map<std::uint32_t, int> counts;
  for (int i = 0; i < 100; ++i) {
    const auto chosen = router.Choose(snapshot, snapshot.models.at("m"), ask, kStart);
    REQUIRE(chosen);
    ++counts[*chosen];
    router.RequestStarted(*chosen);
    router.RequestEnded(*chosen, RouteResult::kServed, Duration(5), kStart);
  }
  CHECK(counts.size() == 1);
}

TEST_CASE("slots are not exceeded, including other nodes' requests") {
  Snapshot snapshot = MakeSnapshot(4, 8);
  snapshot.endpoints[0].others_in_flight = 8;
  Router router(1);
  int started = 0;
  while (const auto chosen = router.Choose(snapshot, snapshot.models.at("m"), {}, kStart)) {
    router.RequestStarted(*chosen);
    ++started;
    REQUIRE(started < 100);
  }
  // Eight slots on each of three endpoints, and this node's even share of the one that other nodes
  // filled.
  CHECK(started == 3 * 8 + 8);
  snapshot.live_nodes = 8;
  Router second(2);
  started = 0;
  while (const auto chosen = second.Choose(snapshot, snapshot.models.at("m"), {}, kStart)) {
    second.RequestStarted(*chosen);
    ++started;
  }
  // With eight nodes, a node borrows only up to three quarters of the slots, since other nodes'
  // requests are known with a delay.
  CHECK(started == 3 * 6 + 1);
}

TEST_CASE("background requests leave capacity for urgent requests") {
  const Snapshot snapshot = MakeSnapshot(1, 8);
  Router router(1);
  RouteQuery fills;
  fills.is_background = true;
  int started = 0;
  while (const auto chosen = router.Choose(snapshot, snapshot.models.at("m"), fills, kStart)) {
    router.RequestStarted(*chosen);
    ++started;
  }
  CHECK(started == 4);
  CHECK(router.Choose(snapshot, snapshot.models.at("m"), {}, kStart));
}

TEST_CASE("an endpoint that becomes slow without failing gets few requests") {
  const Snapshot snapshot = MakeSnapshot(5, 100);
  Router router(3);
  std::map<std::uint32_t, int> counts;
  for (std::uint64_t i = 0; i < 2'000; ++i) {
    RouteQuery ask;
    ask.prefix = i;
    const auto chosen = router.Choose(snapshot, snapshot.models.at("m"), ask, kStart);
    REQUIRE(chosen);
    router.RequestStarted(*chosen);
    router.RequestEnded(*chosen, RouteResult::kServed, Duration(*chosen == 2 ? 500 : 10), kStart);
    ++counts[*chosen];
  }
  CHECK(counts[2] < 2'000 / 5 / 4);
}

TEST_CASE("a failing endpoint is ejected, then probed by one request") {
  const Snapshot snapshot = MakeSnapshot(1, 8);
  const ServingSet& set = snapshot.models.at("m");
  Router router(1);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(router.Choose(snapshot, set, {}, kStart));
    router.RequestStarted(0);
    router.RequestEnded(0, RouteResult::kFailed, Duration(0), kStart);
  }
  CHECK_FALSE(router.Choose(snapshot, set, {}, kStart + Duration(100)));
  const TimePoint later = kStart + Duration(3'000);
  REQUIRE(router.Choose(snapshot, set, {}, later));
  router.RequestStarted(0);
  CHECK_FALSE(router.Choose(snapshot, set, {}, later));
  router.RequestEnded(0, RouteResult::kServed, Duration(5), later);
  CHECK(router.Choose(snapshot, set, {}, later));
}

TEST_CASE("removing an endpoint remaps only its own share of prefixes") {
  std::vector<std::string> names;
  names.reserve(10);
  for (int i = 0; i < 10; ++i) {
    names.push_back("ep" + std::to_string(i));
  }
  const auto before = BuildAffinity(names);
  std::vector<std::string> fewer = names;
  fewer.erase(fewer.begin() + 3);
  const auto after = BuildAffinity(fewer);
  int moved = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != 3) {
      moved += names[before[i]] != fewer[after[i]] ? 1 : 0;
    }
  }
  CHECK(moved == 0);
}

}  // namespace rudderloom
