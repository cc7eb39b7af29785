#include "rudderloom/dissemination/source_choice.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr Duration kMaxAge{800};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

SourceSelector RestartedNode() {
  return {kMaxAge, StartKind::kRestart, 0.0};
}

// Receives a fresh digest of the holder every 250 ms.
void ReceiveDigests(SourceSelector& source, int from, int until) {
  for (int ms = from; ms < until; ms += 250) {
    source.RecordDigest(Duration(100), At(ms));
  }
}

TEST_CASE("a node relies on the holder once its digests have been fresh for a while") {
  SourceSelector source = RestartedNode();
  CHECK(source.Choose(NodeRole::kNone, At(0)) == FollowMode::kStoreOnce);
  ReceiveDigests(source, 0, 1'000);
  CHECK(source.Choose(NodeRole::kNone, At(1'000)) == FollowMode::kStoreOnce);
  ReceiveDigests(source, 1'000, 2'000);
  CHECK(source.Choose(NodeRole::kNone, At(2'000)) == FollowMode::kHolder);
}

TEST_CASE("a silent holder is relied on until its last list exceeds the maximum age") {
  SourceSelector source = RestartedNode();
  ReceiveDigests(source, 0, 3'000);  // last at 2,750, confirmed at 2,650
  CHECK(source.Choose(NodeRole::kNone, At(3'400)) == FollowMode::kHolder);
  CHECK(source.Choose(NodeRole::kNone, At(3'451)) == FollowMode::kStore);
  // A single digest is not enough to rely on it again.
  source.RecordDigest(Duration(0), At(3'500));
  CHECK(source.Choose(NodeRole::kNone, At(3'500)) == FollowMode::kStore);
  ReceiveDigests(source, 3'750, 5'100);
  CHECK(source.Choose(NodeRole::kNone, At(5'100)) == FollowMode::kHolder);
}

TEST_CASE("a holder that is cut off from the store is not relied on") {
  SourceSelector source = RestartedNode();
  ReceiveDigests(source, 0, 3'000);
  CHECK(source.Choose(NodeRole::kNone, At(3'000)) == FollowMode::kHolder);
  source.RecordDigest(Duration(900), At(3'100));
  CHECK(source.Choose(NodeRole::kNone, At(3'100)) == FollowMode::kStore);
}

TEST_CASE("with a very short maximum age every node calls the store itself") {
  SourceSelector source(Duration(400), StartKind::kRestart, 0.0);
  ReceiveDigests(source, 0, 3'000);
  CHECK(source.Choose(NodeRole::kNone, At(3'000)) == FollowMode::kStore);
  CHECK(source.Choose(NodeRole::kHolder, At(3'000)) == FollowMode::kStore);
}

TEST_CASE("the holder follows the store for the others and starts over when it loses the lease") {
  SourceSelector source = RestartedNode();
  ReceiveDigests(source, 0, 3'000);
  CHECK(source.Choose(NodeRole::kHolder, At(3'000)) == FollowMode::kStoreForOthers);
  CHECK(source.Choose(NodeRole::kNone, At(3'010)) == FollowMode::kStore);
  // So far, the latest confirmation is that of the last digest.
  CHECK(source.ConfirmedAt() == At(2'650));
  source.Confirmed(At(3'000));
  CHECK(source.ConfirmedAt() == At(3'000));
}

TEST_CASE("a restarted node without digests follows the store after a while") {
  SourceSelector source = RestartedNode();
  CHECK(source.Choose(NodeRole::kNone, At(0)) == FollowMode::kStoreOnce);
  CHECK(source.Choose(NodeRole::kNone, At(790)) == FollowMode::kStoreOnce);
  CHECK(source.Choose(NodeRole::kNone, At(810)) == FollowMode::kStore);
  // A different spread ends the wait at a different time.
  SourceSelector other(kMaxAge, StartKind::kRestart, 0.9);
  other.Choose(NodeRole::kNone, At(0));
  CHECK(other.Choose(NodeRole::kNone, At(1'100)) == FollowMode::kStoreOnce);
  CHECK(other.Choose(NodeRole::kNone, At(1'200)) == FollowMode::kStore);
}

TEST_CASE(
    "at the first start of the whole system a node waits for a digest before it calls the store") {
  SourceSelector source(kMaxAge, StartKind::kFirst, 0.0);
  CHECK(source.Choose(NodeRole::kNone, At(0)) == FollowMode::kHolder);
  CHECK(source.Choose(NodeRole::kNone, At(810)) == FollowMode::kStore);
  SourceSelector with_digests(kMaxAge, StartKind::kFirst, 0.0);
  with_digests.Choose(NodeRole::kNone, At(0));
  ReceiveDigests(with_digests, 500, 3'000);
  CHECK(with_digests.Choose(NodeRole::kNone, At(1'500)) == FollowMode::kHolder);
  CHECK(with_digests.Choose(NodeRole::kNone, At(3'000)) == FollowMode::kHolder);
  CHECK(with_digests.Choose(NodeRole::kNone, At(4'500)) == FollowMode::kStore);
}

TEST_CASE("data that digests omit in a small fleet is read from the store") {
  SourceSelector source(kMaxAge, StartKind::kFirst, 0.0);
  CHECK(source.Choose(NodeRole::kNone, At(0)) == FollowMode::kHolder);
  source.NotInDigest();
  CHECK(source.Choose(NodeRole::kNone, At(100)) == FollowMode::kStore);
}

TEST_CASE("standbys call the store first, then relays, before their members would have to") {
  SourceSelector standby = RestartedNode();
  SourceSelector relay = RestartedNode();
  SourceSelector member = RestartedNode();
  ReceiveDigests(relay, 0, 3'000);  // last at 2,750, confirmed at 2,650
  ReceiveDigests(member, 0, 3'000);
  ReceiveDigests(standby, 0, 3'000);
  CHECK(standby.Choose(NodeRole::kStandby, At(3'100)) == FollowMode::kHolder);
  CHECK(standby.Choose(NodeRole::kStandby, At(3'150)) == FollowMode::kStoreForOthers);
  CHECK(relay.Choose(NodeRole::kRelay, At(3'200)) == FollowMode::kHolder);
  CHECK(relay.Choose(NodeRole::kRelay, At(3'300)) == FollowMode::kStoreForOthers);
  CHECK(member.Choose(NodeRole::kNone, At(3'300)) == FollowMode::kHolder);
  // The relay then forwards what it has read from the store.
  relay.Confirmed(At(3'310));
  member.RecordDigest(Duration(50), At(3'360));
  CHECK(member.Choose(NodeRole::kNone, At(4'000)) == FollowMode::kHolder);
}

}  // namespace
}  // namespace rudderloom
