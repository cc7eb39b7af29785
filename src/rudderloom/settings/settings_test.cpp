#include "rudderloom/settings/settings.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {

TEST_CASE("absent keys take their default values") {
  const auto parsed = ParseSettings(
      R"({"node": {"name": "entry-1", "availability_zone": "kochi-hall"},
          "platform": {"address": "127.0.0.1:8070"}})");
  REQUIRE(std::holds_alternative<Settings>(parsed));
  const auto& settings = std::get<Settings>(parsed);
  CHECK(settings.name == "entry-1");
  CHECK(settings.callers.port == 0);
  CHECK(settings.limits.body == 4 * 1024 * 1024);
}

TEST_CASE("each invalid value is reported with its JSON path") {
  const auto parsed = ParseSettings(
      R"({"node": {"name": "entry-1", "availability_zone": "kochi-hall"},
          "listeners": {"callers": {"port": 70000}},
          "platform": {"address": "platform.example:80"},
          "limits": {"idle_time": "5 minutes"}})");
  REQUIRE(std::holds_alternative<JsonErrors>(parsed));
  const auto& errors = std::get<JsonErrors>(parsed);
  REQUIRE(errors.size() == 3);
  CHECK(errors[0].Text() == "/listeners/callers/port: 70000 is not in 1..65535");
  CHECK(errors[1].path == "/platform/address");
  CHECK(errors[2].path == "/limits/idle_time");
}

TEST_CASE("contradictory settings are rejected") {
  const auto parsed = ParseSettings(
      R"({"node": {"name": "entry-1", "availability_zone": "kochi-hall"},
          "platform": {"address": "127.0.0.1:8070"},
          "residency": {"lease": "3s", "renew": "2s"},
          "membership": {"heartbeat": "2s", "silent_after": "3s"}})");
  REQUIRE(std::holds_alternative<JsonErrors>(parsed));
  CHECK(std::get<JsonErrors>(parsed).size() == 2);
}

}  // namespace rudderloom
