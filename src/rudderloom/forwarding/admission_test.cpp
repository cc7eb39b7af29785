#include "rudderloom/forwarding/admission.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/forwarding/held_requests.hpp"  // for HeldRequests
#include "rudderloom/forwarding/missing_units.hpp"  // for MissingUnits

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

AdmissionQuery MakeQuery(int if_admitted, int if_deferred, int spent) {
  AdmissionQuery query;
  query.forecast = {Duration(if_admitted), Duration(if_deferred), Duration(if_admitted),
                    Duration(0)};
  query.spent = Duration(spent);
  return query;
}

TEST_CASE("requests that meet their goal are admitted, others are deferred or refused") {
  const Route route = MakeRoute();
  CHECK(DecideAdmission(MakeQuery(390, 5'000, 10), route) == Admission::kAdmitted);
  CHECK(DecideAdmission(MakeQuery(390, 2'300, 100), route) == Admission::kDeferred);
  CHECK(DecideAdmission(MakeQuery(401, 2'401, 0), route) == Admission::kRefused);
}

// Load: prompts keep an endpoint so busy that its running streams pause for too long.
TEST_CASE("a request that would make streams pause for too long is held, then refused") {
  const Route route = MakeRoute();
  AdmissionQuery query = MakeQuery(100, 100, 0);
  query.forecast.longest_pause = route.longest_pause + Duration(1);
  CHECK(DecideAdmission(query, route) == Admission::kRefused);
  query.hold_limit = Duration(50);
  CHECK(DecideAdmission(query, route) == Admission::kHeld);
  query.spent = Duration(50);
  CHECK(DecideAdmission(query, route) == Admission::kRefused);
}

// Guards against long prompts that are never served, as each alone makes streams pause for too
// long.
TEST_CASE("a long prompt is not refused for the pause that it causes at an idle endpoint") {
  const Route route = MakeRoute();
  AdmissionQuery query = MakeQuery(100, 100, 0);
  query.forecast.longest_pause = route.longest_pause + Duration(300);
  query.own_pause = query.forecast.longest_pause;
  query.hold_limit = Duration(50);
  query.headroom = Duration(5'000);
  CHECK(DecideAdmission(query, route) == Admission::kHeld);
  query.headroom = Duration(0);
  CHECK(DecideAdmission(query, route) == Admission::kAdmitted);
  query.hold_limit = Duration(0);
  query.forecast.longest_pause += route.longest_pause;
  CHECK(DecideAdmission(query, route) == Admission::kRefused);
}

// Guards against a patient request that finds endpoints busy whenever it is considered.
TEST_CASE("a request that was held for half of its goal is sent behind the others at last") {
  const Route route = MakeRoute();
  AdmissionQuery query = MakeQuery(500, 600, 300);
  query.forecast.longest_pause = route.longest_pause * 2;
  query.hold_limit = Duration(300);
  CHECK(DecideAdmission(query, route) == Admission::kDeferred);
}

// Load: clients that were refused come back, and find the endpoints busy again.
TEST_CASE("a retried request is not refused for pauses or the end of its hold") {
  const Route route = MakeRoute();
  AdmissionQuery query = MakeQuery(100, 900, 150);
  query.forecast.longest_pause = route.longest_pause + Duration(1);
  REQUIRE(DecideAdmission(query, route) == Admission::kRefused);
  query.retry_time_left = Duration(1'000);
  CHECK(DecideAdmission(query, route) == Admission::kDeferred);
  query.hold_limit = RetriedHoldLimit(route, Duration(100));
  CHECK(query.hold_limit == Duration(300));
  CHECK(DecideAdmission(query, route) == Admission::kHeld);
}

// Guards against requests that are sent although their client leaves before the answer, and against
// a patience that is counted from the client's first connection.
TEST_CASE("a late retried request is deferred while its client can still be answered") {
  const Route route = MakeRoute();
  AdmissionQuery query = MakeQuery(100, 900, 3'000);
  CHECK(DecideAdmission(query, route) == Admission::kRefused);
  query.retry_time_left = Duration(900);
  CHECK(DecideAdmission(query, route) == Admission::kDeferred);
  query.retry_time_left = Duration(899);
  CHECK(DecideAdmission(query, route) == Admission::kRefused);
}

TEST_CASE("a less urgent request does not overtake a more urgent one that is held") {
  const Route route = MakeRoute();
  AdmissionQuery query = MakeQuery(100, 100, 0);
  query.hold_limit = Duration(50);
  CHECK(DecideAdmission(query, route) == Admission::kAdmitted);
  query.is_next = false;
  CHECK(DecideAdmission(query, route) == Admission::kHeld);
  // At the end of the hold it takes its chance, so that it can't starve.
  query.spent = Duration(50);
  CHECK(DecideAdmission(query, route) == Admission::kAdmitted);
}

TEST_CASE("patient requests are held until their goal is near, urgent ones for a part of it") {
  Route route = MakeRoute();
  CHECK(HoldLimit(route, Duration(100)) == Duration(100));
  route.goal = Duration(15'000);
  CHECK(HoldLimit(route, Duration(100)) == Duration(14'700));
  CHECK(HoldLimit(route, Duration(0)) == Duration(14'700));
}

TEST_CASE("held requests of another model or of lower urgency have no precedence") {
  HeldRequests held;
  const HeldRequest urgent{{"pool", "m"}, 0, At(5'000)};
  const HeldRequest patient{{"pool", "m"}, 2, At(20'000)};
  const HeldRequest other{{"pool", "other"}, 2, At(20'000)};
  const ScopedHold patient_hold(held, patient);
  CHECK_FALSE(held.AnyBefore(urgent));
  {
    const ScopedHold urgent_hold(held, urgent);
    CHECK(held.AnyBefore(patient));
    CHECK_FALSE(held.AnyBefore(other));
    CHECK(held.Size() == 2);
  }
  CHECK_FALSE(held.AnyBefore(patient));
}

// Guards against a client that is refused twice because new requests keep the endpoints busy.
TEST_CASE("a held request that was retried goes before new ones of its priority only") {
  HeldRequests held;
  const HeldRequest fresh{{"pool", "m"}, 1, At(5'000)};
  const HeldRequest retried{{"pool", "m"}, 1, At(5'000), true};
  const HeldRequest urgent{{"pool", "m"}, 0, At(5'000)};
  const ScopedHold fresh_hold(held, fresh);
  CHECK_FALSE(held.AnyBefore(retried));
  CHECK_FALSE(held.AnyBefore(fresh));
  {
    const ScopedHold retried_hold(held, retried);
    CHECK(held.AnyBefore(fresh));
    CHECK_FALSE(held.AnyBefore(retried));
    CHECK_FALSE(held.AnyBefore(urgent));
  }
  CHECK_FALSE(held.AnyBefore(fresh));
}

TEST_CASE("urgency depends on priority, then on slack; deferred requests are last") {
  Route route = MakeRoute();
  const StartForecast soon{Duration(100), Duration(100), Duration(100), Duration(0)};
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

// Load: patient requests for a model whose engines urgent ones keep busy. The failure: all of them
// were held until shortly before their goal, and then refused.
TEST_CASE("only as many requests are held as are expected to get a turn in time") {
  constexpr Duration kInterval{1'400};
  constexpr Duration kLeft{2'400};
  CHECK(GetsTurnBehind(0, kInterval, kLeft));
  CHECK_FALSE(GetsTurnBehind(1, kInterval, kLeft));
  CHECK(GetsTurnBehind(1, Duration(1'000), kLeft));
  CHECK_FALSE(GetsTurnBehind(2, Duration(1'000), kLeft));
  CHECK(GetsTurnBehind(0, Duration(10'000), kLeft));
}

TEST_CASE("held requests that are less urgent are not ahead") {
  HeldRequests held;
  const HeldRequest urgent{{"pool", "m"}, 0, TimePoint()};
  const HeldRequest patient{{"pool", "m"}, 2, TimePoint()};
  held.Add(patient);
  CHECK(held.CountUpTo(urgent) == 0);
  CHECK(held.CountUpTo(patient) == 1);
  held.Add(urgent);
  CHECK(held.CountUpTo(patient) == 2);
  CHECK(held.CountUpTo({{"pool", "other"}, 2, TimePoint()}) == 0);
}

}  // namespace
}  // namespace rudderloom
