// Tests the comparison of a configuration with the version in force.
#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/configuration_check/configuration_check.hpp"  // for CompareConfigurations

namespace rudderloom {
namespace {

Route MakeRoute(std::string name, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = "h.example";
  route.prefix = std::move(prefix);
  route.shares = {{"pool", 1}};
  return route;
}

ServiceSpec MakePool(std::vector<ModelSpec> models) {
  ServiceSpec service;
  service.name = "pool";
  service.engine = EngineSpec();
  service.engine->models = std::move(models);
  return service;
}

ModelSpec MakeModel(std::string name, std::uint64_t memory_mb) {
  ModelSpec model;
  model.name = std::move(name);
  model.memory_mb = memory_mb;
  return model;
}

Customer MakeCustomer(std::string name, const std::string& key) {
  Customer customer;
  customer.name = std::move(name);
  customer.keys = {DigestOf(key)};
  return customer;
}

TEST_CASE("equal content under a higher version has no differences") {
  const std::vector<Route> routes{MakeRoute("r", "/r/")};
  const RouteTable before(1, routes, {MakePool({})}, {});
  CHECK(CompareConfigurations(before, RouteTable(2, routes, {MakePool({})}, {})).empty());
}

TEST_CASE("a version that nodes would ignore is an error") {
  const RouteTable before(7, {}, {}, {});
  for (const std::uint64_t version : {6, 7}) {
    const Findings findings = CompareConfigurations(before, RouteTable(version, {}, {}, {}));
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].severity == FindingSeverity::kError);
    CHECK(findings[0].place == "version");
  }
}

TEST_CASE("added, removed and changed routes are told apart by name, each member is listed") {
  Route changed = MakeRoute("b", "/b2/");
  changed.goal = Duration(250);
  changed.kind = RouteKind::kStream;
  changed.shares = {{"pool", 2}, {"desk", 1}};
  const RouteTable before(1, {MakeRoute("a", "/a/"), MakeRoute("b", "/b/")}, {}, {});
  const RouteTable after(2, {changed, MakeRoute("c", "/c/")}, {}, {});
  const Findings findings = CompareConfigurations(before, after);
  CHECK(findings ==
        Findings{{FindingSeverity::kChange, "route \"a\"", "removed"},
                 {FindingSeverity::kChange, "route \"b\"",
                  "prefix \"/b/\" -> \"/b2/\"; kind once -> stream; goal 1000 ms -> 250 ms; "
                  "services \"pool\" x 1 -> \"pool\" x 2, \"desk\" x 1"},
                 {FindingSeverity::kChange, "route \"c\"", "added"}});
}

TEST_CASE("routes without a name are told apart by host and prefix, not taken for one route") {
  const RouteTable before(1, {MakeRoute("", "/a/"), MakeRoute("", "/b/")}, {}, {});
  const RouteTable after(2, {MakeRoute("", "/a/")}, {}, {});
  const Findings findings = CompareConfigurations(before, after);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].message == "removed");
}

TEST_CASE("changes of an engine and of its models are listed one by one") {
  ServiceSpec service = MakePool({MakeModel("m", 2), MakeModel("o", 1)});
  service.engine->slots = 64;
  const RouteTable before(1, {}, {MakePool({MakeModel("m", 1), MakeModel("n", 1)})}, {});
  const Findings findings = CompareConfigurations(before, RouteTable(2, {}, {service}, {}));
  CHECK(findings ==
        Findings{{FindingSeverity::kChange, "service \"pool\"", "slots 1 -> 64"},
                 {FindingSeverity::kChange, "service \"pool\" model \"m\"", "memory in MB 1 -> 2"},
                 {FindingSeverity::kChange, "service \"pool\" model \"n\"", "removed"},
                 {FindingSeverity::kChange, "service \"pool\" model \"o\"", "added"}});
}

TEST_CASE("an engine that is removed is a change, not a crash") {
  ServiceSpec plain;
  plain.name = "pool";
  const Findings findings =
      CompareConfigurations(RouteTable(1, {}, {MakePool({})}, {}), RouteTable(2, {}, {plain}, {}));
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].message == "engine removed");
}

TEST_CASE("a changed key is stated, but neither it nor its digest is printed") {
  Customer limited = MakeCustomer("a", "new-secret");
  limited.priority = 3;
  limited.quota = {QuotaUnit::kTokens, 10, 20, 30};
  const RouteTable before(1, {}, {}, {}, {true, {MakeCustomer("a", "old-secret")}});
  const RouteTable after(2, {}, {}, {}, {true, {limited, MakeCustomer("b", "b-secret")}});
  const Findings findings = CompareConfigurations(before, after);
  CHECK(findings ==
        Findings{{FindingSeverity::kChange, "customer \"a\"",
                  "keys changed; priority none -> 3; unit requests -> tokens; rate 0 -> 10; "
                  "burst 0 -> 20; default amount 1 -> 30"},
                 {FindingSeverity::kChange, "customer \"b\"", "added"}});
  const std::string text = ToText(findings);
  for (const char* key : {"old-secret", "new-secret", "b-secret"}) {
    CHECK(text.find(key) == std::string::npos);
    CHECK(text.find(ShortName(DigestOf(key))) == std::string::npos);
  }
}

TEST_CASE("changed limits, and callers that no longer need keys, are listed") {
  ClientLimits limits;
  limits.header_bytes = 1'024;
  const RouteTable before(1, {}, {}, {}, {true, {}});
  CHECK(CompareConfigurations(before, RouteTable(2, {}, {}, limits)) ==
        Findings{{FindingSeverity::kChange, "limits", "header bytes 16384 -> 1024"},
                 {FindingSeverity::kChange, "customers", "callers no longer need keys"}});
}

}  // namespace
}  // namespace rudderloom
