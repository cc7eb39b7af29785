#include "rudderloom/fleet/fleet_settings.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr const char* kSettings = R"({
  "interface": "fleet",
  "overload_control": "auto",
  "node": {"name": "n", "availability_zone": "z", "memory_mb": 160},
  "listen": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "peers": "10.0.0.1:82"},
  "store": {"address": "10.0.0.2:90"},
  "bounds": {"lease": "4s", "drain": "1500ms", "retry_extra": 12.5, "checks_fences": true}
})";

TEST_CASE("settings are parsed, and missing ones have their defaults") {
  CHECK(IsFleetSettings(kSettings));
  const auto read = ParseFleetSettings(kSettings);
  REQUIRE(std::holds_alternative<FleetSettings>(read));
  const auto& settings = std::get<FleetSettings>(read);
  CHECK(settings.name == "n");
  CHECK(settings.memory_mb == 160);
  CHECK(settings.overload_control == OverloadControl::kAuto);
  CHECK(settings.listen.metrics.empty());
  CHECK(settings.bounds.lease == Duration(4'000));
  CHECK(settings.bounds.drain == Duration(1'500));
  CHECK(settings.bounds.retry_extra == 12.5);
  CHECK(settings.bounds.checks_fences);
  CHECK(settings.bounds.grace == Duration(8'000));
}

// Guards against a changed service of customers on deployments that state no window.
TEST_CASE("the bound on customers' windows is enforced only where the settings state a window") {
  const auto without = ParseFleetSettings(kSettings);
  REQUIRE(std::holds_alternative<FleetSettings>(without));
  const QuotaBounds& unset = std::get<FleetSettings>(without).bounds.quota;
  CHECK_FALSE(unset.enforced);
  CHECK(unset.window == Duration(8'000));
  std::string text = kSettings;
  text.replace(text.find("\"lease\""), 7, R"("quota_window": "6s", "quota_slack": 100, "lease")");
  const auto with = ParseFleetSettings(text);
  REQUIRE(std::holds_alternative<FleetSettings>(with));
  const QuotaBounds& set = std::get<FleetSettings>(with).bounds.quota;
  CHECK(set.enforced);
  CHECK(set.window == Duration(6'000));
  CHECK(set.slack == 100.0);
}

TEST_CASE("every error is reported with its JSON path") {
  const auto read = ParseFleetSettings(R"({
    "interface": "fleet",
    "node": {"name": "n", "availability_zone": "z"},
    "listen": {"callers": "here", "readiness": "10.0.0.1:81", "peers": "10.0.0.1:99999"},
    "store": {"address": "10.0.0.2:90"},
    "overload_control": "sometimes",
    "bounds": {"lease": "4 hours", "unknown": 1}
  })");
  REQUIRE(std::holds_alternative<JsonErrors>(read));
  std::set<std::string> paths;
  for (const JsonError& error : std::get<JsonErrors>(read)) {
    paths.insert(error.path);
  }
  CHECK(paths == std::set<std::string>{"/listen/callers", "/listen/peers", "/bounds/lease",
                                       "/bounds/unknown", "/overload_control"});
}

TEST_CASE("settings of the other interface are rejected") {
  CHECK_FALSE(IsFleetSettings(R"({"node": {"name": "n"}})"));
  CHECK_FALSE(IsFleetSettings("not JSON"));
  CHECK(std::holds_alternative<JsonErrors>(ParseFleetSettings("{}")));
}

}  // namespace
}  // namespace rudderloom
