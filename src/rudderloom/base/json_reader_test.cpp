#include "rudderloom/base/json_reader.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/base/backoff.hpp"   // for Backoff
#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

TEST_CASE("ParseDuration and ParseSize accept only valid numbers with a known unit") {
  CHECK(ParseDuration("250ms") == Duration(250));
  CHECK(ParseDuration("2h") == Duration(7'200'000));
  CHECK(ParseDuration("2.5s") == Duration(2'500));
  CHECK(ParseDuration("8.0s") == Duration(8'000));
  CHECK(ParseDuration("1500.0ms") == Duration(1'500));
  CHECK_FALSE(ParseDuration("2.5"));
  CHECK_FALSE(ParseDuration(".5s"));
  CHECK_FALSE(ParseDuration("1.2.3s"));
  CHECK_FALSE(ParseDuration("-1.5s"));
  CHECK_FALSE(ParseDuration("1e3.0s"));
  CHECK_FALSE(ParseDuration("5"));
  CHECK_FALSE(ParseDuration("5 s"));
  CHECK_FALSE(ParseDuration("-5s"));
  CHECK_FALSE(ParseDuration("99999999999999999999h"));
  CHECK_FALSE(ParseDuration("99999999999999999999.0h"));
  CHECK(ParseSize("64KiB") == 65536);
  CHECK_FALSE(ParseSize("64KB"));
  CHECK_FALSE(ParseSize("99999999999999999999GiB"));
}

// Guards against times that overflow when they are added to the current time.
TEST_CASE("a time beyond the range of time points is an error with its path") {
  for (const char* time : {"100001h", "100000.5h", "999999999.0h", "99999999999999999999.0h"}) {
    CAPTURE(time);
    const boost::json::object object{{"stop_time", time}};
    JsonErrors errors;
    ObjectReader reader(object, "", errors);
    reader.Time("stop_time");
    REQUIRE(errors.size() == 1);
    CHECK(errors[0].path == "/stop_time");
  }
  const boost::json::object object{{"stop_time", "100000h"}};
  JsonErrors errors;
  CHECK(ObjectReader(object, "", errors).Time("stop_time") == kMaxSettingTime);
  CHECK(errors.empty());
}

TEST_CASE("every error is reported with its JSON path") {
  const auto parsed = ParseJsonObject(R"({"port": 70000, "nam": 1, "list": [{"time": "5"}]})", "/");
  JsonErrors errors;
  ObjectReader reader(std::get<boost::json::object>(parsed), "", errors);
  reader.Integer("port", 1, 65535);
  reader.String("name");
  reader.Objects("list", [](ObjectReader& item) { item.Time("time"); });
  reader.Finish();
  REQUIRE(errors.size() == 4);
  CHECK(errors[0].Text() == "/port: 70000 is not in 1..65535");
  CHECK(errors[1].Text() == "/name: is missing");
  CHECK(errors[2].path == "/list/0/time");
  CHECK(errors[3].Text() == "/nam: is not a known key");
}

TEST_CASE("a JSON syntax error is reported as one error") {
  const auto parsed = ParseJsonObject("{", "file.json");
  REQUIRE(std::holds_alternative<JsonErrors>(parsed));
  CHECK(std::get<JsonErrors>(parsed).front().path == "file.json");
}

TEST_CASE("LogLine quotes and escapes values where needed") {
  LogLine line("refused");
  line.With("reason", "queue_full").With("detail", "say \"when\"\nto = come").With("ms", 12);
  CHECK(line.Text() == R"(event=refused reason=queue_full detail="say \"when\" to = come" ms=12)");
}

TEST_CASE("Backoff grows, stays within its bounds and depends on the seed") {
  Backoff backoff(Duration(100), Duration(1'000), 1);
  Duration longest{0};
  for (int i = 0; i < 20; ++i) {
    const Duration pause = backoff.Next();
    CHECK(pause >= Duration(50));
    CHECK(pause <= Duration(1'000));
    longest = std::max(longest, pause);
  }
  CHECK(longest > Duration(400));
  Backoff one(Duration(10'000), Duration(10'000), 1);
  Backoff other(Duration(10'000), Duration(10'000), 2);
  CHECK(one.Next() != other.Next());
}

}  // namespace rudderloom
