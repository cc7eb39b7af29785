#include "rudderloom/forwarding/admission.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/forwarding/missing_units.hpp"  // for MissingUnits
#include "rudderloom/forwarding/service_times.hpp"  // for ServiceTimes

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

Route MakeRoute() {
  Route route;
  route.goal = Duration(400);
  route.patience = Duration(2'400);
  route.priority = 1;
  return route;
}

TEST_CASE("the slot wait grows with the requests ahead") {
  CHECK(EstimateSlotWait(15, 16, Duration(1'600)) == Duration(0));
  CHECK(EstimateSlotWait(16, 16, Duration(1'600)) == Duration(100));
  CHECK(EstimateSlotWait(31, 16, Duration(1'600)) == Duration(1'600));
}

TEST_CASE("requests that meet their goal are admitted, others are deferred or refused") {
  const Route route = MakeRoute();
  CHECK(DecideAdmission({Duration(390), Duration(5'000)}, route, Duration(10)) ==
        Admission::kAdmitted);
  CHECK(DecideAdmission({Duration(390), Duration(2'300)}, route, Duration(100)) ==
        Admission::kDeferred);
  CHECK(DecideAdmission({Duration(401), Duration(2'401)}, route, Duration(0)) ==
        Admission::kRefused);
}

TEST_CASE("urgency depends on priority, then on slack; deferred requests are last") {
  Route route = MakeRoute();
  const StartForecast soon{Duration(100), Duration(100)};
  const Duration hold_time(1'500);
  const std::uint32_t usual =
      UrgencyOf(Admission::kAdmitted, route, route.priority, soon, hold_time, Duration(0));
  route.goal = Duration(5'000);
  const std::uint32_t patient =
      UrgencyOf(Admission::kAdmitted, route, route.priority, soon, hold_time, Duration(0));
  route.priority = 0;
  const std::uint32_t first =
      UrgencyOf(Admission::kAdmitted, route, route.priority, soon, hold_time, Duration(0));
  const std::uint32_t last =
      UrgencyOf(Admission::kDeferred, route, route.priority, soon, hold_time, Duration(0));
  CHECK(first < usual);
  CHECK(usual < patient);
  CHECK(patient < last);
}

TEST_CASE("times are estimated by model, and by service until the model has enough samples") {
  ServiceTimes times;
  CHECK(times.HoldTime("pool", "m", 100) == Duration(0));
  CHECK(times.FirstEventTime("pool", "m", 5'000) == Duration(0));
  for (int i = 0; i < 50; ++i) {
    const std::uint64_t tokens = 100 + static_cast<std::uint64_t>(i) * 100;
    times.RecordAnswer("pool", "slow", tokens, Duration(tokens * 5));
    times.RecordFirstEvent("pool", "slow", tokens, Duration(40 + tokens / 40));
  }
  CHECK(times.HoldTime("pool", "slow", 200) == Duration(1'000));
  CHECK(times.HoldTime("pool", "other", 200) == Duration(1'000));
  const Duration first = times.FirstEventTime("pool", "slow", 4'000);
  CHECK(first >= Duration(130));
  CHECK(first <= Duration(150));
  CHECK(times.TokensPerMillisecond("pool", "slow") > 35.0);
  CHECK(times.TokensPerMillisecond("pool", "slow") < 45.0);
  for (int i = 0; i < 10; ++i) {
    times.RecordAnswer("pool", "fast", 200, Duration(150));
  }
  CHECK(times.HoldTime("pool", "fast", 400) == Duration(300));
  CHECK(times.HoldTime("elsewhere", "fast", 400) == Duration(0));
}

TEST_CASE("a missing model is expected at the end of its load, and later when overdue") {
  ServiceSpec service;
  service.engine.emplace();
  service.engine->models.push_back({"m", 1, Duration(6'000), Duration(1'000), 1});
  MissingUnits missing;
  const UnitName model{"pool", "m", ""};
  const TimePoint expected = missing.RecordMissing(model, &service, At(0));
  CHECK(expected > At(6'000));
  CHECK(expected < At(8'000));
  CHECK(missing.RecordMissing(model, &service, At(3'000)) == expected);
  // Overdue by 6 s: another quarter of the time missing is expected.
  CHECK(missing.RecordMissing(model, &service, At(12'000)) == At(15'000));
  missing.MarkResident(model);
  CHECK(missing.RecordMissing(model, &service, At(13'000)) > At(19'000));
  CHECK(missing.RecordMissing({"pool", "m", "a1"}, &service, At(0)) < At(1'000));
  CHECK(missing.RecordMissing({"pool", "unknown", ""}, &service, At(0)) > At(20'000));
}

}  // namespace
}  // namespace rudderloom
