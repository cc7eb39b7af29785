// Machines that are suspended for seconds, and the behavior of their nodes right after waking up.
//
// With a clock that stops during the suspension, a holder still has up to 2.5 s of its lease left
// when it wakes up, and so acts as the holder at the same time as the next one. The test runs with
// such a clock as well, for which the check has to find two holders.
#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/fleet_world.hpp"  // for FleetWorld

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;

constexpr int kFirstTick = 60;

// Maximum number of holders at one moment, in the seconds after the holder's machine wakes up.
int MaxHoldersAfterWaking(int suspended_for, int clock_stopped_for) {
  FleetWorldOptions options;
  options.nodes = 6;
  FleetWorld world(options);
  world.Play(6'000);
  const int holder = world.Holder().value_or(0);
  world.Suspend(holder, suspended_for, clock_stopped_for);
  world.Play(suspended_for);
  // It checks its lease before it decides anything, even in the first message that it handles.
  world.Play(kFirstTick);
  int most = 0;
  for (int played = 0; played < 4'000; played += 5) {
    world.Play(5);
    most = std::max(most, world.Holders());
  }
  return most;
}

TEST_CASE("a suspended holder is not the holder when it wakes up, with a clock that kept running") {
  for (const int suspended_for : {2'700, 4'000, 8'000, 20'000}) {
    CAPTURE(suspended_for);
    CHECK(MaxHoldersAfterWaking(suspended_for, 0) == 1);
    // With a clock that stopped, the check finds two holders.
    CHECK(MaxHoldersAfterWaking(suspended_for, suspended_for) == 2);
  }
}

TEST_CASE("a suspended holder does not send its old state as new") {
  FleetWorldOptions options;
  options.nodes = 6;
  FleetWorld world(options);
  world.Play(6'000);
  const int holder = world.Holder().value_or(0);
  world.Suspend(holder, 8'000);
  world.Play(4'000);
  world.PutEndpoint("e1", true);
  world.Configure(7);
  world.Play(4'000);
  for (int played = 0; played < 3'000; played += 50) {
    world.Play(50);
    for (int i = 0; i < world.Nodes(); ++i) {
      if (i != holder) {
        CHECK(world.RoutesVersionOf(i) == 7);
        CHECK_FALSE(world.Sends(i, "e1"));
      }
    }
  }
  CHECK(world.RoutesVersionOf(holder) == 7);
  CHECK(world.ConfigurationRegressions() == 0);
}

}  // namespace
}  // namespace rudderloom
