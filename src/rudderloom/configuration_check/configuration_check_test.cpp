// Tests the checks for entries that cannot match and limits that contradict each other.
#include "rudderloom/configuration_check/configuration_check.hpp"

#include <doctest/doctest.h>  // for TEST_CASE
#include <limits>             // for numeric_limits

namespace rudderloom {
namespace {

constexpr std::uint64_t kHuge = std::numeric_limits<std::uint64_t>::max();

Route MakeRoute(std::string name, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = "h.example";
  route.prefix = std::move(prefix);
  route.shares = {{"desk", 1}};
  return route;
}

ServiceSpec MakeService(std::string name) {
  ServiceSpec service;
  service.name = std::move(name);
  return service;
}

RouteTable MakeTable(std::vector<Route> routes, Callers callers = {}) {
  return {1, std::move(routes), {MakeService("desk")}, {}, std::move(callers)};
}

Customer MakeCustomer(std::string name, const std::string& key, QuotaLimit quota) {
  Customer customer;
  customer.name = std::move(name);
  customer.keys = {DigestOf(key)};
  customer.quota = quota;
  return customer;
}

Findings CheckQuota(QuotaLimit quota) {
  return CheckCustomers(MakeTable({}, {true, {MakeCustomer("a", "k", quota)}}));
}

// True if exactly one finding was made, with this severity and text in it.
bool IsOnly(const Findings& findings, FindingSeverity severity, const std::string& text) {
  const bool is_only = findings.size() == 1 && findings[0].severity == severity &&
                       findings[0].message.find(text) != std::string::npos;
  if (!is_only) {
    MESSAGE(ToText(findings));
  }
  return is_only;
}

TEST_CASE("a sound configuration has no findings, so that exit status 0 is reachable") {
  Route stream = MakeRoute("s", "/s/");
  stream.kind = RouteKind::kStream;
  const RouteTable table =
      MakeTable({MakeRoute("r", "/r/"), stream},
                {true, {MakeCustomer("a", "k", {QuotaUnit::kTokens, 10, 100, 100})}});
  CHECK(CheckConfiguration(table).empty());
}

TEST_CASE("an empty table is checked without a crash") {
  CHECK(CheckConfiguration(RouteTable(1, {}, {}, {})).empty());
}

TEST_CASE("a second route of one host and prefix, which is never used, is found in any case") {
  Route second = MakeRoute("second", "/r/");
  second.host = "H.Example:80";
  const Findings findings = CheckRoutes(MakeTable({MakeRoute("first", "/r/"), second}));
  CHECK(IsOnly(findings, FindingSeverity::kError, "shadowed by route \"first\""));
  CHECK(findings[0].place == "route \"second\" (H.Example:80/r/)");
}

TEST_CASE("a longer prefix below another one is not taken for a shadowed route") {
  CHECK(CheckRoutes(MakeTable({MakeRoute("a", "/r/"), MakeRoute("b", "/r/x/")})).empty());
}

TEST_CASE("prefixes that the lookup never produces are found") {
  for (const char* prefix : {"/r", "r/", "/r?/", "/r#/", ""}) {
    CAPTURE(prefix);
    CHECK(IsOnly(CheckRoutes(MakeTable({MakeRoute("r", prefix)})), FindingSeverity::kError,
                 "never matches"));
  }
}

TEST_CASE("a route without a host, which no usual request matches, is found") {
  Route route = MakeRoute("r", "/r/");
  route.host = "";
  CHECK(IsOnly(CheckRoutes(MakeTable({route})), FindingSeverity::kWarning, "without a host"));
}

TEST_CASE("weights that are all 0 are found: the first service would get every request") {
  Route route = MakeRoute("r", "/r/");
  route.shares = {{"desk", 0}, {"desk", 0}};
  CHECK(IsOnly(CheckRoutes(MakeTable({route})), FindingSeverity::kError, "all weights are 0"));
}

TEST_CASE("a single weight of 0 and a missing service are found") {
  Route route = MakeRoute("r", "/r/");
  route.shares = {{"desk", 0}, {"gone", 1}};
  const Findings findings = CheckRoutes(MakeTable({route}));
  REQUIRE(findings.size() == 2);
  CHECK(findings[0].message == "weight 0: service \"desk\" gets no requests");
  CHECK(findings[1].message == "service \"gone\" does not exist");
}

TEST_CASE("a goal above the timeout is found, at the limit it is not") {
  Route route = MakeRoute("r", "/r/");
  route.timeout = Duration(500);
  route.goal = Duration(500);
  CHECK(CheckRoutes(MakeTable({route})).empty());
  route.goal = Duration(501);
  CHECK(IsOnly(CheckRoutes(MakeTable({route})), FindingSeverity::kError, "the goal of 501 ms"));
}

TEST_CASE("a longest pause above the timeout is found for streams only, which alone have pauses") {
  Route route = MakeRoute("r", "/r/");
  route.goal = Duration(100);
  route.timeout = Duration(500);
  CHECK(CheckRoutes(MakeTable({route})).empty());
  route.kind = RouteKind::kStream;
  CHECK(IsOnly(CheckRoutes(MakeTable({route})), FindingSeverity::kError, "the longest pause"));
}

TEST_CASE("many attempts are found where requests run once, but not where they may repeat") {
  Route route = MakeRoute("r", "/r/");
  route.max_attempts = 4;
  CHECK(CheckRoutes(MakeTable({route})).empty());
  route.max_attempts = 5;
  CHECK(IsOnly(CheckRoutes(MakeTable({route})), FindingSeverity::kWarning, "5 attempts"));
  route.kind = RouteKind::kRepeatable;
  CHECK(CheckRoutes(MakeTable({route})).empty());
}

TEST_CASE("a shorter goal of a less urgent route is a warning, at the same service only") {
  Route urgent = MakeRoute("urgent", "/u/");
  Route peer = MakeRoute("peer", "/p/");
  peer.goal = Duration(10);
  Route other = MakeRoute("other", "/o/");
  other.priority = 5;
  other.goal = Duration(500);
  CHECK(IsOnly(CheckRoutes(MakeTable({other, peer, urgent})), FindingSeverity::kWarning,
               "more urgent route \"urgent\""));
  other.shares = {{"desk-2", 1}};
  const RouteTable apart(1, {other, urgent}, {MakeService("desk"), MakeService("desk-2")}, {});
  CHECK(CheckRoutes(apart).empty());
}

TEST_CASE("priorities above 9, which endpoints do not know, are found") {
  Route route = MakeRoute("r", "/r/");
  route.priority = 10;
  CHECK(IsOnly(CheckRoutes(MakeTable({route})), FindingSeverity::kWarning, "not in 0..9"));
}

TEST_CASE("services reached by no route, or by a shadowed or weightless one only, are found") {
  Route first = MakeRoute("first", "/r/");
  Route shadowed = MakeRoute("second", "/r/");
  shadowed.shares = {{"b", 1}};
  first.shares = {{"a", 1}, {"c", 0}};
  const Findings findings = CheckServices(
      RouteTable(1, {first, shadowed}, {MakeService("a"), MakeService("b"), MakeService("c")}, {}));
  REQUIRE(findings.size() == 2);
  CHECK(findings[0].place == "service \"b\"");
  CHECK(findings[1].place == "service \"c\"");
}

Findings CheckModels(std::uint64_t memory_mb, std::vector<ModelSpec> models) {
  ServiceSpec service = MakeService("desk");
  service.engine = EngineSpec();
  service.engine->memory_mb = memory_mb;
  service.engine->models = std::move(models);
  return CheckServices(RouteTable(1, {MakeRoute("r", "/r/")}, {service}, {}));
}

ModelSpec MakeModel(std::string name, std::uint64_t memory_mb, std::uint64_t adapter_memory_mb) {
  ModelSpec model;
  model.name = std::move(name);
  model.memory_mb = memory_mb;
  model.adapter_memory_mb = adapter_memory_mb;
  return model;
}

TEST_CASE("models and adapters that no engine can load are found, also with huge sizes") {
  CHECK(CheckModels(100, {MakeModel("m", 90, 10)}).empty());
  CHECK(IsOnly(CheckModels(100, {MakeModel("m", 101, 0)}), FindingSeverity::kError,
               "needs 101 MB, but an engine has 100 MB"));
  CHECK(IsOnly(CheckModels(100, {MakeModel("m", 90, 11)}), FindingSeverity::kError, "adapter"));
  CHECK(IsOnly(CheckModels(100, {MakeModel("m", 90, kHuge)}), FindingSeverity::kError, "adapter"));
  CHECK(IsOnly(CheckModels(100, {MakeModel("m", kHuge, kHuge)}), FindingSeverity::kError, "needs"));
}

TEST_CASE("models that no request can ask for are found, and an engine without any") {
  CHECK(IsOnly(CheckModels(100, {MakeModel("m", 1, 0), MakeModel("m", 2, 0)}),
               FindingSeverity::kError, "listed twice"));
  CHECK(IsOnly(CheckModels(100, {MakeModel("", 1, 0)}), FindingSeverity::kError, "no name"));
  CHECK(IsOnly(CheckModels(100, {}), FindingSeverity::kWarning, "without models"));
}

TEST_CASE("a burst below one request is found in the limit's own unit") {
  CHECK(CheckQuota({QuotaUnit::kTokens, 50, 200, 200}).empty());
  CHECK(CheckQuota({QuotaUnit::kRequests, 50, 1, 200}).empty());
  CHECK(IsOnly(CheckQuota({QuotaUnit::kTokens, 50, 199, 200}), FindingSeverity::kWarning,
               "the burst of 199"));
  CHECK(IsOnly(CheckQuota({QuotaUnit::kRequests, 50, 0, 200}), FindingSeverity::kWarning,
               "the burst of 0"));
}

TEST_CASE("a limit below one request a second is found; huge amounts do not overflow the sum") {
  const Findings findings = CheckQuota({QuotaUnit::kTokens, 50, 100, 200});
  REQUIRE(findings.size() == 2);
  CHECK(findings[1].message.find("do not admit one request") != std::string::npos);
  CHECK(CheckQuota({QuotaUnit::kTokens, kHuge, kHuge - 1, kHuge}).size() == 1);
  CHECK(CheckQuota({QuotaUnit::kTokens, kHuge, kHuge, kHuge}).empty());
}

TEST_CASE("a burst without a rate, which limits nothing, is found") {
  CHECK(IsOnly(CheckQuota({QuotaUnit::kTokens, 0, 100, 1}), FindingSeverity::kWarning,
               "without a rate"));
}

TEST_CASE("customers without keys are found, and routes that nobody may use then") {
  Customer customer = MakeCustomer("a", "k", {});
  customer.keys.clear();
  Route open = MakeRoute("open", "/o/");
  open.is_public = true;
  const Findings findings =
      CheckCustomers(MakeTable({MakeRoute("r", "/r/"), open}, {true, {customer}}));
  REQUIRE(findings.size() == 2);
  CHECK(findings[0].message == "has no keys: no caller is this customer");
  CHECK(findings[1].place == "route \"r\" (h.example/r/)");
}

TEST_CASE("a key of two customers is found without its text or digest in the message") {
  const Findings findings = CheckCustomers(
      MakeTable({}, {true, {MakeCustomer("a", "secret", {}), MakeCustomer("b", "secret", {})}}));
  CHECK(IsOnly(findings, FindingSeverity::kError, "shares a key with customer \"a\""));
  CHECK(ToText(findings).find("secret") == std::string::npos);
  CHECK(ToText(findings).find(ShortName(DigestOf("secret"))) == std::string::npos);
}

TEST_CASE("two customers of one name, which share one limit, are found") {
  CHECK(IsOnly(CheckCustomers(MakeTable(
                   {}, {true, {MakeCustomer("a", "k1", {}), MakeCustomer("a", "k2", {})}})),
               FindingSeverity::kError, "listed twice"));
}

TEST_CASE("a name with a line break cannot forge a line of output") {
  const Findings findings{{FindingSeverity::kWarning, "route \"a\nerror\"", "m\x1b[2J"}};
  CHECK(ToText(findings) == "warning route \"a?error\": m?[2J\n");
}

TEST_CASE("JSON output counts findings by severity, so that scripts can tell them apart") {
  const Findings findings{{FindingSeverity::kWarning, "p", "m"},
                          {FindingSeverity::kChange, "p", "m"},
                          {FindingSeverity::kChange, "q", "m"}};
  const boost::json::object object = ToJson(findings);
  CHECK(object.at("errors") == 0);
  CHECK(object.at("warnings") == 1);
  CHECK(object.at("changes") == 2);
  CHECK(object.at("findings").as_array()[2].as_object().at("severity") == "change");
}

}  // namespace
}  // namespace rudderloom
