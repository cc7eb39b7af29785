// Tests the lease against a store that is restored from an older copy.
#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/lease_object.hpp"                        // for LeaseObject
#include "rudderloom/placement/lease_keeper.hpp"         // for LeaseKeeper
#include "rudderloom/placement/order_announcements.hpp"  // for OrderAnnouncements

namespace rudderloom {
namespace {

using fakes::LeaseObject;
using fakes::Step;

constexpr Duration kBound{3'000};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

// Restores the store from `copy`; its revisions are reissued.
void Restore(LeaseObject& store, const LeaseObject& copy) {
  const std::uint64_t era = store.era;
  store = copy;
  store.era = era + 1;
}

TEST_CASE(
    "a holder whose lease record is lost reacquires it at once and avoids others' endpoints") {
  LeaseObject store;
  LeaseKeeper holder("a:1", "x", kBound);
  Step(holder, store, At(0));
  const LeaseObject copy = store;
  const std::uint64_t token = holder.Epoch();
  Step(holder, store, At(1'000));
  Restore(store, copy);
  Step(holder, store, At(2'000));
  Step(holder, store, At(2'200));
  CHECK(holder.Holds(At(2'300)));
  CHECK(holder.Epoch() > token);
  CHECK(holder.Former().former_holder == FormerHolder::kThisProcess);
  CHECK(holder.Former().inherited_all);
  REQUIRE(store.record);
  CHECK(store.record->inherited_all);
  CHECK(store.record->era == 1);
}

TEST_CASE("an expired holder does not resume because of a restored copy") {
  LeaseObject store;
  LeaseKeeper first("a:1", "x", kBound);
  LeaseKeeper second("b:1", "y", kBound);
  Step(first, store, At(0));
  const LeaseObject copy = store;
  int ms = 0;
  for (; ms < 3'000; ms += 50) {
    Step(second, store, At(ms));
  }
  REQUIRE(second.Holds(At(ms)));
  // The store loses the second holder, whose lease remains valid until it expires.
  Restore(store, copy);
  for (; second.Holds(At(ms)); ms += 50) {
    Step(first, store, At(ms));
    CHECK_FALSE(first.Holds(At(ms)));
  }
}

TEST_CASE(
    "a node that takes a lease that may be missing from a copy waits and blocks all endpoints") {
  LeaseObject store;
  LeaseKeeper lost_holder("a:1", "x", kBound);
  Step(lost_holder, store, At(0));
  Restore(store, LeaseObject());
  LeaseKeeper next("b:1", "y", kBound);
  int ms = 100;
  for (; ms < 10'000 && !next.Holds(At(ms)); ms += 50) {
    Step(next, store, At(ms));
  }
  CHECK(ms >= 2'500);
  CHECK(ms <= 3'500);
  CHECK(next.Former().inherited_all);
  CHECK(next.Epoch() > lost_holder.Epoch());
  OrderAnnouncements announcements(kBound, Duration(5'000));
  announcements.Reset(next.Former(), At(ms));
  CHECK(announcements.IsBlocked("any", At(ms + 3'000)));
  CHECK(announcements.InheritedAll(At(ms + 3'000)));
  CHECK_FALSE(announcements.IsBlocked("any", At(ms + 4'000)));
}

// The restored object happens to have the revision that the write expects, in a different history.
TEST_CASE("a write that takes effect in a later era than intended does not acquire the lease") {
  LeaseObject store;
  LeaseKeeper keeper("a:1", "x", kBound);
  keeper.ApplyRead(store.record, store.Version(), true, At(0));
  const auto write = keeper.NextWrite(At(0));
  REQUIRE(write);
  Restore(store, LeaseObject());
  CHECK(store.Put(*write));
  keeper.OnWriteSucceeded(store.Version(), At(10));
  CHECK_FALSE(keeper.Holds(At(20)));
  CHECK(keeper.NeedsRead());
  for (int ms = 50; ms < 2'500; ms += 50) {
    Step(keeper, store, At(ms));
    CHECK_FALSE(keeper.Holds(At(ms)));
  }
  for (int ms = 2'500; ms < 4'000; ms += 50) {
    Step(keeper, store, At(ms));
  }
  CHECK(keeper.Holds(At(4'000)));
  CHECK(keeper.Epoch() > write->record.epoch);
}

TEST_CASE("a record without an era identifies the holder, but not what was lost") {
  LeaseObject store;
  store.era = 3;
  store.revision = 7;
  store.record = LeaseRecord{"a:1", "x", 5, 1, false, {}, {}, {}};
  LeaseKeeper other("b:1", "y", kBound);
  for (int ms = 0; ms < 20'000; ms += 100) {
    Step(other, store, At(ms));
    if (ms % 1'000 == 0) {
      ++store.record->renewals;
      ++store.revision;
    }
    CHECK_FALSE(other.Holds(At(ms)));
  }
  CHECK(other.HolderAddress() == "a:1");
  int ms = 20'000;
  for (; ms < 30'000 && !other.Holds(At(ms)); ms += 100) {
    Step(other, store, At(ms));
  }
  CHECK(other.Holds(At(ms)));
  CHECK(other.Former().inherited_all);
}

// Guards against two holders: a node that restarts with settings left over from the first start
// took a record that the store had lost for one that was never written.
TEST_CASE("a node that starts as the first waits for a holder whose record the store has lost") {
  LeaseObject store;
  LeaseKeeper holder("a:1", "x", kBound);
  Step(holder, store, At(0));
  REQUIRE(holder.Holds(At(0)));
  Restore(store, LeaseObject());
  LeaseKeeper restarted("b:1", "y", kBound, Duration(0), LeaseStart::kFirst);
  int ms = 0;
  for (; holder.Holds(At(ms)); ms += 50) {
    Step(restarted, store, At(ms));
    CHECK_FALSE(restarted.Holds(At(ms)));
  }
  for (; ms < 10'000 && !restarted.Holds(At(ms)); ms += 50) {
    Step(restarted, store, At(ms));
  }
  CHECK(restarted.Holds(At(ms)));
  CHECK(restarted.Former().inherited_all);
}

// Guards against a store that has lost everything taken for one that nothing was ever written to.
TEST_CASE("no version has served if the store lost nothing and the whole system starts first") {
  const auto knows_versions = [](LeaseStart start, std::uint64_t era) {
    LeaseObject store;
    store.era = era;
    LeaseKeeper keeper("a:1", "x", kBound, Duration(0), start);
    for (int ms = 0; ms < 10'000 && !keeper.Holds(At(ms)); ms += 50) {
      Step(keeper, store, At(ms));
    }
    CHECK(keeper.Former().software_versions.value_or(VersionsByService()).empty());
    return keeper.Former().software_versions.has_value();
  };
  CHECK(knows_versions(LeaseStart::kFirst, 0));
  CHECK_FALSE(knows_versions(LeaseStart::kFirst, 1));
  CHECK_FALSE(knows_versions(LeaseStart::kUnknown, 0));
}

// Guards against streams that begin before a lease record exists, which a later holder takes for
// ones that never were.
TEST_CASE("a lease counts as held once a record exists or may have been lost") {
  LeaseKeeper keeper("a:1", "x", kBound);
  CHECK_FALSE(keeper.EverHeld());
  LeaseObject store;
  keeper.ApplyRead(store.record, store.Version(), true, At(0));
  CHECK_FALSE(keeper.EverHeld());
  REQUIRE(keeper.NextWrite(At(0)));
  CHECK_FALSE(keeper.EverHeld());
  keeper.OnWriteSucceeded(StoreRevision(0, 1), At(10));
  CHECK(keeper.EverHeld());

  LeaseKeeper other("b:1", "y", kBound);
  other.ApplyRead(std::nullopt, StoreRevision(1, 0), true, At(0));
  CHECK(other.EverHeld());
}

}  // namespace
}  // namespace rudderloom
