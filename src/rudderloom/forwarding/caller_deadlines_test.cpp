// How long a retried request has waited before, as its remaining time shows.
#include "rudderloom/forwarding/caller_deadlines.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr Duration kDeadline{5'000};
constexpr Duration kNotWaited{0};
const std::string kRoute = "chat";

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

// One request each 100 ms from `from` until `to`.
void Observe(CallerDeadlines& deadlines, Duration remaining, int from, int to) {
  constexpr int kInterval = 100;
  for (int ms = from; ms < to; ms += kInterval) {
    deadlines.WaitedBefore(kRoute, remaining, At(ms));
  }
}

CallerDeadlines Learned(Duration remaining) {
  CallerDeadlines deadlines;
  Observe(deadlines, remaining, 0, 10'000);
  return deadlines;
}

// Load: refused clients come back with what is left of their time.
TEST_CASE("a request with less remaining time than usual has waited for the difference") {
  CallerDeadlines deadlines = Learned(kDeadline);
  CHECK(deadlines.WaitedBefore(kRoute, Duration(3'300), At(10'000)) == Duration(1'700));
  CHECK(deadlines.WaitedBefore(kRoute, kDeadline, At(10'000)) == kNotWaited);
  CHECK(deadlines.WaitedBefore("other", Duration(3'300), At(10'000)) == kNotWaited);
}

// Guards against first attempts that are taken for retried ones, since clients measure differently.
TEST_CASE("a difference of less than a tenth of the usual time is no wait") {
  const auto waited = [](Duration remaining) {
    return Learned(kDeadline).WaitedBefore(kRoute, remaining, At(10'000));
  };
  CHECK(waited(Duration(4'501)) == kNotWaited);
  CHECK(waited(Duration(4'500)) == Duration(500));
  CHECK(waited(Duration(5'400)) == kNotWaited);
}

TEST_CASE("a node without recent requests takes none for retried") {
  CallerDeadlines deadlines;
  deadlines.WaitedBefore(kRoute, kDeadline, At(0));
  deadlines.WaitedBefore(kRoute, kDeadline, At(0));
  CHECK(deadlines.WaitedBefore(kRoute, Duration(1'000), At(0)) == kNotWaited);
  deadlines = Learned(kDeadline);
  CHECK(deadlines.WaitedBefore(kRoute, Duration(1'000), At(60'000)) == kNotWaited);
}

// Load: every client is refused once and retries after a third of its time.
TEST_CASE("retried requests do not change the usual time, as many as they are") {
  CallerDeadlines deadlines = Learned(kDeadline);
  for (int ms = 10'000; ms < 60'000; ms += 100) {
    CHECK(deadlines.WaitedBefore(kRoute, kDeadline, At(ms)) == kNotWaited);
    CHECK(deadlines.WaitedBefore(kRoute, Duration(3'333), At(ms)) == Duration(1'667));
  }
}

// Guards against a change of the configuration after which all requests look retried.
TEST_CASE("a shorter deadline of all clients is learned within some seconds") {
  CallerDeadlines deadlines = Learned(kDeadline);
  CHECK(deadlines.WaitedBefore(kRoute, Duration(2'000), At(10'000)) == Duration(3'000));
  Observe(deadlines, Duration(2'000), 10'000, 20'000);
  CHECK(deadlines.WaitedBefore(kRoute, Duration(2'000), At(20'000)) == kNotWaited);
}

TEST_CASE("a longer deadline of all clients is learned within some seconds") {
  CallerDeadlines deadlines = Learned(kDeadline);
  Observe(deadlines, Duration(8'000), 10'000, 15'000);
  CHECK(deadlines.WaitedBefore(kRoute, kDeadline, At(15'000)) == Duration(3'000));
}

// Guards against clients that state huge deadlines so that the requests of others look late.
TEST_CASE("a few huge deadlines change nothing, and many are bounded") {
  constexpr Duration kHuge = Duration::max();
  CallerDeadlines deadlines = Learned(kDeadline);
  for (int ms = 10'000; ms < 20'000; ms += 100) {
    CHECK(deadlines.WaitedBefore(kRoute, kDeadline, At(ms)) == kNotWaited);
    if (ms % 500 == 0) {
      CHECK(deadlines.WaitedBefore(kRoute, kHuge, At(ms)) == kNotWaited);
    }
  }
  Observe(deadlines, kHuge, 20'000, 40'000);
  CHECK(deadlines.WaitedBefore(kRoute, kDeadline, At(40'000)) <= Duration(600'000));
}

TEST_CASE("absent, negative and shrinking deadlines are no error and bounded in number") {
  CallerDeadlines deadlines = Learned(kDeadline);
  CHECK(deadlines.WaitedBefore(kRoute, std::nullopt, At(10'000)) == kNotWaited);
  CHECK(deadlines.WaitedBefore(kRoute, Duration::min(), At(10'000)) <= kDeadline);
  CHECK(deadlines.WaitedBefore(kRoute, Duration(0), At(10'000)) <= kDeadline);
  for (int ms = 0; ms < 50'000; ms += 10) {
    const Duration shrinking(60'000 - ms);
    CHECK(deadlines.WaitedBefore(kRoute, shrinking, At(10'000 + ms)) <= Duration(60'000));
  }
  CHECK(deadlines.WaitedBefore(kRoute, Duration(1'000), At(0)) <= Duration(60'000));
}

// Guards against routes without a deadline of their own, where each client has another one.
TEST_CASE("where deadlines differ widely between clients, none is usual") {
  CallerDeadlines deadlines;
  for (int ms = 0; ms < 20'000; ms += 100) {
    const Duration remaining(1'000 + ms * 7 % 9'000);
    deadlines.WaitedBefore(kRoute, remaining, At(ms));
  }
  CHECK(deadlines.UsualTime(kRoute, At(20'000)) == std::nullopt);
}

TEST_CASE("routes that the configuration no longer has are dropped") {
  CallerDeadlines deadlines = Learned(kDeadline);
  deadlines.WaitedBefore("gone", kDeadline, At(0));
  Route route;
  route.name = kRoute;
  deadlines.Trim(RouteTable(1, {route}, {}, {}));
  CHECK(deadlines.Size() == 1);
  CHECK(deadlines.UsualTime(kRoute, At(10'000)) == kDeadline);
}

}  // namespace
}  // namespace rudderloom
