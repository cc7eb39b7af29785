#include "rudderloom/dissemination/source_choice.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr Duration kMaxAge{800};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

SourceChoice RestartedNode() {
  return {kMaxAge, StartKind::kRestart, 0.0};
}

// Receives a fresh digest of the holder every 250 ms.
void ReceiveDigests(SourceChoice& source, int from, int until) {
  for (int ms = from; ms < until; ms += 250) {
    source.Heard(Duration(100), At(ms));
  }
}

TEST_CASE("a node relies on the holder once its digests have been fresh for a while") {
  SourceChoice source = RestartedNode();
  CHECK(source.Choose(NodeDuty::kNone, At(0)) == Following::kStoreOnce);
  ReceiveDigests(source, 0, 1'000);
  CHECK(source.Choose(NodeDuty::kNone, At(1'000)) == Following::kStoreOnce);
  ReceiveDigests(source, 1'000, 2'000);
  CHECK(source.Choose(NodeDuty::kNone, At(2'000)) == Following::kHolder);
}

TEST_CASE("a silent holder is relied on until its last list exceeds the maximum age") {
  SourceChoice source = RestartedNode();
  ReceiveDigests(source, 0, 3'000);  // last at 2,750, confirmed at 2,650
  CHECK(source.Choose(NodeDuty::kNone, At(3'400)) == Following::kHolder);
  CHECK(source.Choose(NodeDuty::kNone, At(3'451)) == Following::kStore);
  // A single digest is not enough to rely on it again.
  source.Heard(Duration(0), At(3'500));
  CHECK(source.Choose(NodeDuty::kNone, At(3'500)) == Following::kStore);
  ReceiveDigests(source, 3'750, 5'100);
  CHECK(source.Choose(NodeDuty::kNone, At(5'100)) == Following::kHolder);
}

TEST_CASE("a holder that is cut off from the store is not relied on") {
  SourceChoice source = RestartedNode();
  ReceiveDigests(source, 0, 3'000);
  CHECK(source.Choose(NodeDuty::kNone, At(3'000)) == Following::kHolder);
  source.Heard(Duration(900), At(3'100));
  CHECK(source.Choose(NodeDuty::kNone, At(3'100)) == Following::kStore);
}

TEST_CASE("with a very short maximum age every node calls the store itself") {
  SourceChoice source(Duration(400), StartKind::kRestart, 0.0);
  ReceiveDigests(source, 0, 3'000);
  CHECK(source.Choose(NodeDuty::kNone, At(3'000)) == Following::kStore);
  CHECK(source.Choose(NodeDuty::kHolder, At(3'000)) == Following::kStore);
}

TEST_CASE("the holder follows the store for the others and starts over when it loses the lease") {
  SourceChoice source = RestartedNode();
  ReceiveDigests(source, 0, 3'000);
  CHECK(source.Choose(NodeDuty::kHolder, At(3'000)) == Following::kForOthers);
  CHECK(source.Choose(NodeDuty::kNone, At(3'010)) == Following::kStore);
  // So far, the latest confirmation is that of the last digest.
  CHECK(source.ConfirmedAt() == At(2'650));
  source.Confirmed(At(3'000));
  CHECK(source.ConfirmedAt() == At(3'000));
}

TEST_CASE("a restarted node without digests follows the store after a while") {
  SourceChoice source = RestartedNode();
  CHECK(source.Choose(NodeDuty::kNone, At(0)) == Following::kStoreOnce);
  CHECK(source.Choose(NodeDuty::kNone, At(790)) == Following::kStoreOnce);
  CHECK(source.Choose(NodeDuty::kNone, At(810)) == Following::kStore);
  // A different spread ends the wait at a different time.
  SourceChoice other(kMaxAge, StartKind::kRestart, 0.9);
  other.Choose(NodeDuty::kNone, At(0));
  CHECK(other.Choose(NodeDuty::kNone, At(1'100)) == Following::kStoreOnce);
  CHECK(other.Choose(NodeDuty::kNone, At(1'200)) == Following::kStore);
}

TEST_CASE(
    "at the first start of the whole system a node waits for a digest before it calls the store") {
  SourceChoice source(kMaxAge, StartKind::kFirst, 0.0);
  CHECK(source.Choose(NodeDuty::kNone, At(0)) == Following::kHolder);
  CHECK(source.Choose(NodeDuty::kNone, At(810)) == Following::kStore);
  SourceChoice with_digests(kMaxAge, StartKind::kFirst, 0.0);
  with_digests.Choose(NodeDuty::kNone, At(0));
  ReceiveDigests(with_digests, 500, 3'000);
  CHECK(with_digests.Choose(NodeDuty::kNone, At(1'500)) == Following::kHolder);
  CHECK(with_digests.Choose(NodeDuty::kNone, At(3'000)) == Following::kHolder);
  CHECK(with_digests.Choose(NodeDuty::kNone, At(4'500)) == Following::kStore);
}

TEST_CASE("data that digests omit in a small fleet is read from the store") {
  SourceChoice source(kMaxAge, StartKind::kFirst, 0.0);
  CHECK(source.Choose(NodeDuty::kNone, At(0)) == Following::kHolder);
  source.NotTold();
  CHECK(source.Choose(NodeDuty::kNone, At(100)) == Following::kStore);
}

TEST_CASE("standbys call the store first, then relays, before their members would have to") {
  SourceChoice standby = RestartedNode();
  SourceChoice relay = RestartedNode();
  SourceChoice member = RestartedNode();
  ReceiveDigests(relay, 0, 3'000);  // last at 2,750, confirmed at 2,650
  ReceiveDigests(member, 0, 3'000);
  ReceiveDigests(standby, 0, 3'000);
  CHECK(standby.Choose(NodeDuty::kStandby, At(3'100)) == Following::kHolder);
  CHECK(standby.Choose(NodeDuty::kStandby, At(3'150)) == Following::kForOthers);
  CHECK(relay.Choose(NodeDuty::kRelay, At(3'200)) == Following::kHolder);
  CHECK(relay.Choose(NodeDuty::kRelay, At(3'300)) == Following::kForOthers);
  CHECK(member.Choose(NodeDuty::kNone, At(3'300)) == Following::kHolder);
  // The relay then forwards what it has read from the store.
  relay.Confirmed(At(3'310));
  member.Heard(Duration(50), At(3'360));
  CHECK(member.Choose(NodeDuty::kNone, At(4'000)) == Following::kHolder);
}

}  // namespace
}  // namespace rudderloom
