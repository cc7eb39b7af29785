// What a store that comes back from an older copy does to the lease.
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

// The store as it was when `copy` was made; its revisions are given out again.
void Restore(LeaseObject& store, const LeaseObject& copy) {
  const std::uint64_t era = store.era;
  store = copy;
  store.era = era + 1;
}

TEST_CASE(
    "a holder whose lease is gone takes it anew at once, and keeps off what others may order") {
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
  CHECK(holder.Former().who == FormerHolder::kThisProcess);
  CHECK(holder.Former().inherited_all);
  REQUIRE(store.record);
  CHECK(store.record->inherited_all);
  CHECK(store.record->era == 1);
}

TEST_CASE("a holder whose time is over does not go on for what a copy says") {
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
  // The store forgets the second one, which goes on for what is left of its time.
  Restore(store, copy);
  for (; second.Holds(At(ms)); ms += 50) {
    Step(first, store, At(ms));
    CHECK_FALSE(first.Holds(At(ms)));
  }
}

TEST_CASE("whoever takes a lease that a copy may lack waits a term and keeps off all endpoints") {
  LeaseObject store;
  LeaseKeeper lost("a:1", "x", kBound);
  Step(lost, store, At(0));
  Restore(store, LeaseObject());
  LeaseKeeper next("b:1", "y", kBound);
  int ms = 100;
  for (; ms < 10'000 && !next.Holds(At(ms)); ms += 50) {
    Step(next, store, At(ms));
  }
  CHECK(ms >= 2'500);
  CHECK(ms <= 3'500);
  CHECK(next.Former().inherited_all);
  CHECK(next.Epoch() > lost.Epoch());
  OrderAnnouncements announcements(kBound, Duration(5'000));
  announcements.Reset(next.Former(), At(ms));
  CHECK(announcements.Resting("any", At(ms + 3'000)));
  CHECK(announcements.InheritedAll(At(ms + 3'000)));
  CHECK_FALSE(announcements.Resting("any", At(ms + 4'000)));
}

// The object has the revision that the write asks for, by chance, in another history.
TEST_CASE("a write that takes effect in a later era than it was meant for takes no lease") {
  LeaseObject store;
  LeaseKeeper keeper("a:1", "x", kBound);
  keeper.Seen(store.record, store.Version(), true, At(0));
  const auto write = keeper.NextWrite(At(0));
  REQUIRE(write);
  Restore(store, LeaseObject());
  CHECK(store.Put(*write));
  keeper.Written(store.Version(), At(10));
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

TEST_CASE("a record of a program that knows no eras tells who holds the lease, not what is lost") {
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

}  // namespace
}  // namespace rudderloom
