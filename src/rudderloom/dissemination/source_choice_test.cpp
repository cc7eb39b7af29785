#include "rudderloom/dissemination/source_choice.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr Duration kOldest{800};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

SourceChoice Restarted() {
  return {kOldest, StartKind::kRestart, 0.0};
}

// Hears a fresh holder each 250 ms.
void Hear(SourceChoice& source, int from, int until) {
  for (int ms = from; ms < until; ms += 250) {
    source.Heard(Duration(100), At(ms));
  }
}

TEST_CASE("a node relies on the holder once it has been fresh for a while") {
  SourceChoice source = Restarted();
  CHECK(source.Choose(NodeDuty::kNone, At(0)) == Following::kStoreOnce);
  Hear(source, 0, 1'000);
  CHECK(source.Choose(NodeDuty::kNone, At(1'000)) == Following::kStoreOnce);
  Hear(source, 1'000, 2'000);
  CHECK(source.Choose(NodeDuty::kNone, At(2'000)) == Following::kHolder);
}

TEST_CASE("a holder that falls silent is relied on no longer than its list may be old") {
  SourceChoice source = Restarted();
  Hear(source, 0, 3'000);  // last at 2,750, confirmed at 2,650
  CHECK(source.Choose(NodeDuty::kNone, At(3'400)) == Following::kHolder);
  CHECK(source.Choose(NodeDuty::kNone, At(3'451)) == Following::kStore);
  // One word is not enough to rely on it again.
  source.Heard(Duration(0), At(3'500));
  CHECK(source.Choose(NodeDuty::kNone, At(3'500)) == Following::kStore);
  Hear(source, 3'750, 5'100);
  CHECK(source.Choose(NodeDuty::kNone, At(5'100)) == Following::kHolder);
}

TEST_CASE("a holder that is itself cut off from the store is not relied on") {
  SourceChoice source = Restarted();
  Hear(source, 0, 3'000);
  CHECK(source.Choose(NodeDuty::kNone, At(3'000)) == Following::kHolder);
  source.Heard(Duration(900), At(3'100));
  CHECK(source.Choose(NodeDuty::kNone, At(3'100)) == Following::kStore);
}

TEST_CASE("where leaving endpoints must be known very soon every node asks the store itself") {
  SourceChoice source(Duration(400), StartKind::kRestart, 0.0);
  Hear(source, 0, 3'000);
  CHECK(source.Choose(NodeDuty::kNone, At(3'000)) == Following::kStore);
  CHECK(source.Choose(NodeDuty::kHolder, At(3'000)) == Following::kStore);
}

TEST_CASE("the holder follows the store for the others, and starts anew when it is deposed") {
  SourceChoice source = Restarted();
  Hear(source, 0, 3'000);
  CHECK(source.Choose(NodeDuty::kHolder, At(3'000)) == Following::kForOthers);
  CHECK(source.Choose(NodeDuty::kNone, At(3'010)) == Following::kStore);
  // Until then the store has confirmed what the last word told.
  CHECK(source.ConfirmedAt() == At(2'650));
  source.Confirmed(At(3'000));
  CHECK(source.ConfirmedAt() == At(3'000));
}

TEST_CASE("a restarted node that hears nothing follows the store after a while") {
  SourceChoice source = Restarted();
  CHECK(source.Choose(NodeDuty::kNone, At(0)) == Following::kStoreOnce);
  CHECK(source.Choose(NodeDuty::kNone, At(790)) == Following::kStoreOnce);
  CHECK(source.Choose(NodeDuty::kNone, At(810)) == Following::kStore);
  // Not at the same moment as all others.
  SourceChoice other(kOldest, StartKind::kRestart, 0.9);
  other.Choose(NodeDuty::kNone, At(0));
  CHECK(other.Choose(NodeDuty::kNone, At(1'100)) == Following::kStoreOnce);
  CHECK(other.Choose(NodeDuty::kNone, At(1'200)) == Following::kStore);
}

TEST_CASE(
    "at the first start of the whole system a node waits for a word before it asks the store") {
  SourceChoice source(kOldest, StartKind::kFirst, 0.0);
  CHECK(source.Choose(NodeDuty::kNone, At(0)) == Following::kHolder);
  CHECK(source.Choose(NodeDuty::kNone, At(810)) == Following::kStore);
  SourceChoice hears(kOldest, StartKind::kFirst, 0.0);
  hears.Choose(NodeDuty::kNone, At(0));
  Hear(hears, 500, 3'000);
  CHECK(hears.Choose(NodeDuty::kNone, At(1'500)) == Following::kHolder);
  CHECK(hears.Choose(NodeDuty::kNone, At(3'000)) == Following::kHolder);
  CHECK(hears.Choose(NodeDuty::kNone, At(4'500)) == Following::kStore);
}

TEST_CASE("what words do not tell in a small fleet is asked of the store") {
  SourceChoice source(kOldest, StartKind::kFirst, 0.0);
  CHECK(source.Choose(NodeDuty::kNone, At(0)) == Following::kHolder);
  source.NotTold();
  CHECK(source.Choose(NodeDuty::kNone, At(100)) == Following::kStore);
}

TEST_CASE("standbys ask the store first, then relays, before the nodes that hear them would") {
  SourceChoice standby = Restarted();
  SourceChoice relay = Restarted();
  SourceChoice member = Restarted();
  Hear(relay, 0, 3'000);  // last at 2,750, confirmed at 2,650
  Hear(member, 0, 3'000);
  Hear(standby, 0, 3'000);
  CHECK(standby.Choose(NodeDuty::kStandby, At(3'100)) == Following::kHolder);
  CHECK(standby.Choose(NodeDuty::kStandby, At(3'150)) == Following::kForOthers);
  CHECK(relay.Choose(NodeDuty::kRelay, At(3'200)) == Following::kHolder);
  CHECK(relay.Choose(NodeDuty::kRelay, At(3'300)) == Following::kForOthers);
  CHECK(member.Choose(NodeDuty::kNone, At(3'300)) == Following::kHolder);
  // What the relay then knows from the store is what it hands on.
  relay.Confirmed(At(3'310));
  member.Heard(Duration(50), At(3'360));
  CHECK(member.Choose(NodeDuty::kNone, At(4'000)) == Following::kHolder);
}

}  // namespace
}  // namespace rudderloom
