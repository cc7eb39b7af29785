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

RouteTablePtr EmptyTable(std::uint64_t version) {
  return MakeTable(version, {});
}

TEST_CASE("an older configuration never replaces a newer one") {
  ConfigurationLog log;
  CHECK(log.Offer(EmptyTable(5)));
  CHECK_FALSE(log.Offer(EmptyTable(3)));
  CHECK_FALSE(log.Offer(EmptyTable(5)));
  CHECK_FALSE(log.Offer(nullptr));
  CHECK(log.Offer(EmptyTable(9)));
  CHECK(log.Current()->Version() == 9);
}

TEST_CASE("a node with an earlier version receives only the changes") {
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

TEST_CASE("a node with no version or an unknown version receives the complete configuration") {
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

TEST_CASE("changes with a different base version are rejected") {
  ConfigurationLog holder;
  holder.Offer(MakeTable(3, {MakeRoute("/a/", "desk")}));
  holder.Offer(MakeTable(8, {MakeRoute("/a/", "desk"), MakeRoute("/b/", "desk")}));
  ConfigurationLog node;
  node.Offer(EmptyTable(4));
  CHECK_FALSE(node.Apply(holder.Since(3)));
  CHECK(node.Version() == 4);
  CHECK(node.Apply(holder.Since(node.Version())));
  CHECK(node.Current()->Find("a.example", "/b/x") != nullptr);
}

// True if both have the same routes and services, in any order.
bool SameContent(const RouteTable& left, const RouteTable& right) {
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

// Randomly changes, adds and removes routes.
void MutateRoutes(std::vector<Route>& routes, std::mt19937& random) {
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

TEST_CASE("a node two hops away that skips versions ends up with the same configuration") {
  for (unsigned seed = 0; seed < 40; ++seed) {
    std::mt19937 random(seed);
    std::vector<Route> routes{MakeRoute("/a/", "desk"), MakeRoute("/b/", "pool")};
    std::vector<RouteTablePtr> tables(1);
    ConfigurationLog holder;
    ConfigurationLog relay;
    ConfigurationLog member;
    for (std::uint64_t version = 1; version < 150; ++version) {
      MutateRoutes(routes, random);
      tables.push_back(MakeTable(version, routes));
      // Each node also reads the store directly from time to time.
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
          REQUIRE(SameContent(*log->Current(), *tables[log->Version()]));
        }
      }
    }
  }
}

}  // namespace
}  // namespace rudderloom
