#include "rudderloom/fleet/control_lag.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr int kTickInterval = 50;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

TEST_CASE("sustained lag is an overload, and a pause of the process is not") {
  ControlLag lag;
  for (int ms = 0; ms < 5'000; ms += kTickInterval) {
    lag.RecordTick(At(ms), At(ms + 20));
  }
  CHECK_FALSE(lag.Overloaded());
  // The process pauses for six seconds: one tick is that late, the next one is due afterwards.
  lag.RecordTick(At(5'000), At(11'000));
  for (int ms = 11'050; ms < 12'000; ms += kTickInterval) {
    lag.RecordTick(At(ms), At(ms + 20));
    CHECK_FALSE(lag.Overloaded());
  }
  for (int ms = 12'000; ms < 17'000; ms += kTickInterval) {
    lag.RecordTick(At(ms), At(ms + 700));
  }
  CHECK(lag.Overloaded());
  CHECK(lag.Mean() > Duration(600));
  for (int ms = 17'000; ms < 22'000; ms += kTickInterval) {
    lag.RecordTick(At(ms), At(ms + 20));
  }
  CHECK_FALSE(lag.Overloaded());
}

TEST_CASE("all ticks queued behind one long task count") {
  ControlLag lag;
  // Each plan takes a second, in which twenty ticks come due; all are handled right after it.
  for (int plan = 0; plan < 6; ++plan) {
    const int ends = (plan + 1) * 1'000;
    for (int ms = plan * 1'000; ms < ends; ms += kTickInterval) {
      lag.RecordTick(At(ms), At(ends));
    }
  }
  CHECK(lag.Overloaded());
  CHECK(lag.Mean() > Duration(300));
  CHECK(lag.Mean() < Duration(700));
}

}  // namespace
}  // namespace rudderloom
