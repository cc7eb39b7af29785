#include "rudderloom/routes/route_table.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.shares = {{"service", 1}};
  return route;
}

RouteTablePtr MakeTable(std::uint64_t version, std::vector<Route> routes) {
  return std::make_shared<const RouteTable>(version, std::move(routes), std::vector<ServiceSpec>{},
                                            ClientLimits{});
}

TEST_CASE("Find returns the route of the host with the longest matching prefix") {
  const auto table = MakeTable(1, {MakeRoute("a.example", "/x/"), MakeRoute("a.example", "/x/y/"),
                                   MakeRoute("b.example", "/")});
  CHECK(table->Find("a.example", "/x/y/z")->prefix == "/x/y/");
  CHECK(table->Find("A.example:80", "/x/z?q=/x/y/")->prefix == "/x/");
  CHECK(table->Find("b.example", "/x/y/")->prefix == "/");
  CHECK(table->Find("a.example", "/x") == nullptr);
  CHECK(table->Find("a.example", "/xy/") == nullptr);
  CHECK(table->Find("c.example", "/x/") == nullptr);
  CHECK(table->Find("", "") == nullptr);
}

TEST_CASE("ChooseService distributes requests by weight") {
  Route route = MakeRoute("a.example", "/");
  route.shares = {{"first", 9}, {"second", 1}, {"never", 0}};
  int second = 0;
  for (std::uint64_t random = 0; random < 100; ++random) {
    const std::string& service = ChooseService(route, random);
    CHECK(service != "never");
    second += service == "second" ? 1 : 0;
  }
  CHECK(second == 10);
}

TEST_CASE("priorities are counted by service, each once, and unknown services have none") {
  std::vector<Route> routes{MakeRoute("a.example", "/a/"), MakeRoute("a.example", "/b/"),
                            MakeRoute("a.example", "/c/"), MakeRoute("a.example", "/d/")};
  const std::vector<std::uint32_t> priorities{3, 0, 3, 5};
  for (std::size_t i = 0; i < routes.size(); ++i) {
    routes[i].priority = priorities[i];
    routes[i].shares = {{"pool", 1}};
  }
  const RouteTable table(1, routes, {}, {});
  CHECK(table.MoreUrgentPriorities("pool", 0) == 0);
  CHECK(table.MoreUrgentPriorities("pool", 3) == 1);
  CHECK(table.MoreUrgentPriorities("pool", 5) == 2);
  CHECK(table.MoreUrgentPriorities("pool", 9) == 3);
  CHECK(table.MoreUrgentPriorities("unknown", 9) == 0);
}

// A model service with one route of each timeout.
RouteTable MakeModelTable(Duration load_time, const std::vector<Duration>& timeouts) {
  std::vector<Route> routes;
  for (const Duration timeout : timeouts) {
    Route route = MakeRoute("a.example", "/" + std::to_string(timeout.count()) + "/");
    route.kind = RouteKind::kStream;
    route.timeout = timeout;
    routes.push_back(route);
  }
  ServiceSpec service;
  service.name = "service";
  service.engine.emplace();
  ModelSpec model;
  model.load_time = load_time;
  service.engine->models = {model};
  return RouteTable(1, routes, {service}, ClientLimits{});
}

// The failure: overload control changed how deployments are served that can load models in time.
TEST_CASE("callers give up before loads only if their timeout is much shorter than every load") {
  const std::vector<Duration> timeouts{Duration(20'000), Duration(5'000)};
  CHECK(MakeModelTable(Duration(9'000), timeouts).CallersGiveUpBeforeLoads());
  CHECK_FALSE(MakeModelTable(Duration(5'800), timeouts).CallersGiveUpBeforeLoads());
  CHECK_FALSE(MakeModelTable(Duration(9'000), {Duration(20'000)}).CallersGiveUpBeforeLoads());
  CHECK_FALSE(
      RouteTable(1, {MakeRoute("a.example", "/")}, {}, ClientLimits{}).CallersGiveUpBeforeLoads());
}

}  // namespace
}  // namespace rudderloom
