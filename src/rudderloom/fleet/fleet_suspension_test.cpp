// Machines that are suspended for seconds, and what their nodes do right after they wake.
//
// A clock that stands still meanwhile leaves a holder of the lease its lease of 2.5 s: as it wakes
// it is the holder for so long again, beside the next one. The same check fails with such a clock,
// which is played here beside the one that goes on.
#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/fleet_world.hpp"  // for FleetWorld

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;

constexpr int kFirstTick = 60;

// At one moment, in the seconds after the holder's machine wakes.
int MostHoldersAfterWaking(int suspended_for, int clock_lags) {
  FleetWorldOptions options;
  options.nodes = 6;
  FleetWorld world(options);
  world.Play(6'000);
  const int holder = world.Holder().value_or(0);
  world.Suspend(holder, suspended_for, clock_lags);
  world.Play(suspended_for);
  // It looks at its lease before it decides anything, also in the first message that it handles.
  world.Play(kFirstTick);
  int most = 0;
  for (int played = 0; played < 4'000; played += 5) {
    world.Play(5);
    most = std::max(most, world.Holders());
  }
  return most;
}

TEST_CASE("a holder that was suspended is none when it wakes, by a clock that went on") {
  for (const int suspended_for : {2'700, 4'000, 8'000, 20'000}) {
    CAPTURE(suspended_for);
    CHECK(MostHoldersAfterWaking(suspended_for, 0) == 1);
    // What the check finds where time stood still.
    CHECK(MostHoldersAfterWaking(suspended_for, suspended_for) == 2);
  }
}

TEST_CASE("a holder that was suspended tells nobody its old word as a new one") {
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
  CHECK(world.WentBack() == 0);
}

}  // namespace
}  // namespace rudderloom
