#include "rudderloom/dissemination/configuration_log.hpp"

#include <doctest/doctest.h>  // for TEST_CASE
#include <random>             // for mt19937

namespace rudderloom {
namespace {

Route MakeRoute(const std::string& prefix, const std::string& service) {
  Route route;
  route.name = "r" + prefix;
  route.host = "a.example";
  route.prefix = prefix;
  route.shares = {{service, 1}};
  return route;
}

RouteTablePtr MakeTable(std::uint64_t version, std::vector<Route> routes) {
  ServiceSpec desk;
  desk.name = "desk";
  return std::make_shared<const RouteTable>(version, std::move(routes),
                                            std::vector<ServiceSpec>{desk}, ClientLimits{});
}

RouteTablePtr Empty(std::uint64_t version) {
  return MakeTable(version, {});
}

TEST_CASE("an older configuration never replaces a newer one") {
  ConfigurationLog log;
  CHECK(log.Offer(Empty(5)));
  CHECK_FALSE(log.Offer(Empty(3)));
  CHECK_FALSE(log.Offer(Empty(5)));
  CHECK_FALSE(log.Offer(nullptr));
  CHECK(log.Offer(Empty(9)));
  CHECK(log.Current()->Version() == 9);
}

TEST_CASE("a node that has an earlier version is told only what changed") {
  ConfigurationLog log;
  std::vector<Route> routes;
  routes.reserve(1'000);
  for (int i = 0; i < 1'000; ++i) {
    routes.push_back(MakeRoute("/" + std::to_string(i) + "/", "desk"));
  }
  log.Offer(MakeTable(3, routes));
  routes[7].shares = {{"pool", 1}};
  routes.pop_back();
  log.Offer(MakeTable(8, routes));
  const ConfigurationChanges changes = log.Since(3);
  CHECK(changes.since == 3);
  CHECK(changes.version == 8);
  REQUIRE(changes.routes.values.size() == 1);
  CHECK(changes.routes.values.front().second.shares.front().service == "pool");
  CHECK(changes.routes.gone.size() == 1);
  CHECK(changes.services.values.empty());
  CHECK(log.Since(8).version == 0);
}

TEST_CASE("a node that knows nothing, or a version that was never in force here, is told all") {
  ConfigurationLog log;
  log.Offer(MakeTable(3, {MakeRoute("/a/", "desk")}));
  log.Offer(MakeTable(8, {MakeRoute("/b/", "desk")}));
  // Version 5 may have had a route that neither 3 nor 8 has.
  for (const std::uint64_t seen : {0, 5}) {
    const ConfigurationChanges changes = log.Since(seen);
    CHECK(changes.since == 0);
    CHECK(changes.routes.whole);
    CHECK(changes.routes.values.size() == 1);
  }
}

TEST_CASE("changes that go on from another version are not taken") {
  ConfigurationLog holder;
  holder.Offer(MakeTable(3, {MakeRoute("/a/", "desk")}));
  holder.Offer(MakeTable(8, {MakeRoute("/a/", "desk"), MakeRoute("/b/", "desk")}));
  ConfigurationLog node;
  node.Offer(Empty(4));
  CHECK_FALSE(node.Apply(holder.Since(3)));
  CHECK(node.Version() == 4);
  CHECK(node.Apply(holder.Since(node.Version())));
  CHECK(node.Current()->Find("a.example", "/b/x") != nullptr);
}

// The same routes and services, whatever their order.
bool Same(const RouteTable& left, const RouteTable& right) {
  if (left.Routes().size() != right.Routes().size() || left.Services() != right.Services()) {
    return false;
  }
  for (const Route& route : left.Routes()) {
    const Route* other = right.Find(route.host, route.prefix);
    if (other == nullptr || !(*other == route)) {
      return false;
    }
  }
  return true;
}

// Changes, adds and removes some routes.
void Vary(std::vector<Route>& routes, std::mt19937& random) {
  for (Route& route : routes) {
    if (random() % 8 == 0) {
      route.timeout = Duration(random() % 9'000);
    }
  }
  if (!routes.empty() && random() % 2 == 0) {
    routes.erase(routes.begin() + static_cast<std::ptrdiff_t>(random() % routes.size()));
  }
  if (random() % 2 == 0) {
    routes.push_back(MakeRoute("/" + std::to_string(random()) + "/", "desk"));
  }
}

TEST_CASE("whoever hears it over two steps, with versions left out, has the same configuration") {
  for (unsigned seed = 0; seed < 40; ++seed) {
    std::mt19937 random(seed);
    std::vector<Route> routes{MakeRoute("/a/", "desk"), MakeRoute("/b/", "pool")};
    std::vector<RouteTablePtr> tables(1);
    ConfigurationLog holder;
    ConfigurationLog relay;
    ConfigurationLog member;
    for (std::uint64_t version = 1; version < 150; ++version) {
      Vary(routes, random);
      tables.push_back(MakeTable(version, routes));
      // Each of them now and then reads the store by itself, too.
      for (ConfigurationLog* log : {&holder, &relay, &member}) {
        if (random() % (log == &holder ? 2 : 20) == 0) {
          log->Offer(tables.back());
        }
      }
      if (random() % 2 == 0) {
        relay.Apply(holder.Since(relay.Version()));
      }
      if (random() % 2 == 0) {
        member.Apply(relay.Since(member.Version()));
      }
      for (const ConfigurationLog* log : {&holder, &relay, &member}) {
        if (log->Version() != 0) {
          REQUIRE(Same(*log->Current(), *tables[log->Version()]));
        }
      }
    }
  }
}

}  // namespace
}  // namespace rudderloom
