#include "rudderloom/placement/lease_keeper.hpp"

#include <doctest/doctest.h>  // for TEST_CASE
#include <random>             // for mt19937_64

#include "fakes/lease_object.hpp"                        // for LeaseObject
#include "rudderloom/placement/order_announcements.hpp"  // for OrderAnnouncements

namespace rudderloom {
namespace {

using fakes::LeaseObject;
using fakes::Step;

constexpr Duration kBound{3'000};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

TEST_CASE("the first node acquires and keeps the lease, and a second node does not get it") {
  LeaseObject store;
  LeaseKeeper first("a:1", "x", kBound);
  LeaseKeeper second("b:1", "y", kBound);
  for (int ms = 0; ms < 30'000; ms += 100) {
    Step(first, store, At(ms));
    Step(second, store, At(ms));
    CHECK(first.Holds(At(ms)));
    CHECK_FALSE(second.Holds(At(ms)));
  }
  CHECK(first.Epoch() == 1);
  CHECK(second.HolderAddress() == "a:1");
}

TEST_CASE(
    "a node with little processor time yields the lease to others, but acquires it when alone") {
  const Duration weak_yield = YieldTime(0.12);
  const Duration strong_yield = YieldTime(0.5);
  CHECK(weak_yield > 3 * strong_yield);
  CHECK(weak_yield <= Duration(400));
  LeaseObject store;
  LeaseKeeper small("a:1", "x", kBound, weak_yield);
  LeaseKeeper large("b:1", "y", kBound, strong_yield);
  LeaseKeeper other_large("c:1", "z", kBound, strong_yield);
  int ms = 0;
  for (; ms < 1'000; ms += 50) {
    Step(small, store, At(ms));
    Step(large, store, At(ms));
    Step(other_large, store, At(ms));
  }
  REQUIRE(large.Holds(At(ms)));
  // The holder stops responding here.
  for (; ms < 6'000; ms += 50) {
    Step(small, store, At(ms));
    Step(other_large, store, At(ms));
  }
  CHECK(other_large.Holds(At(ms)));
  LeaseObject own_store;
  LeaseKeeper alone("e:1", "v", kBound, weak_yield);
  for (ms = 0; ms <= 600; ms += 50) {
    Step(alone, own_store, At(ms));
  }
  CHECK(alone.Holds(At(ms)));
}

TEST_CASE("a node that knows of standbys yields to them, and takes over when none does") {
  LeaseObject store;
  LeaseKeeper holder("a:1", "x", kBound);
  LeaseKeeper standby("b:1", "y", kBound);
  LeaseKeeper other("c:1", "z", kBound);
  other.SetExtraYield(Duration(1'000));
  Step(holder, store, At(0));
  int ms = 0;
  for (; ms < 1'000; ms += 50) {
    Step(other, store, At(ms));
  }
  // The standby reads the renewal 400 ms later than the other node and still takes the lease first.
  LeaseKeeper late_standby("d:1", "w", kBound);
  for (ms = 0; ms < 4'000 && !late_standby.Holds(At(ms)); ms += 50) {
    Step(other, store, At(ms));
    if (ms >= 400) {
      Step(late_standby, store, At(ms));
    }
  }
  CHECK(late_standby.Holds(At(ms)));
  LeaseObject lone_store;
  Step(holder, lone_store, At(0));
  LeaseKeeper lone_node("e:1", "v", kBound);
  lone_node.SetExtraYield(Duration(1'000));
  lone_store.record = LeaseRecord{"a:1", "x", 1, 1, false, {}, {}, {}};
  for (ms = 0; ms < 4'000 && !lone_node.Holds(At(ms)); ms += 50) {
    Step(lone_node, lone_store, At(ms));
  }
  CHECK(lone_node.Holds(At(ms)));
  CHECK(ms > 2'400);
}

TEST_CASE("a holder reports failing renewals before its lease expires") {
  LeaseObject store;
  LeaseKeeper holder("a:1", "x", kBound);
  Step(holder, store, At(0));
  CHECK_FALSE(holder.IsRenewalOverdue(At(1'100)));
  int failing = 0;
  for (int ms = 1'000; ms < 2'500 && failing == 0; ms += 50) {
    if (holder.NextWrite(At(ms))) {
      holder.WriteFailed();
    }
    holder.OnReadFailed(At(ms));
    failing = holder.IsRenewalOverdue(At(ms)) ? ms : 0;
  }
  CHECK(failing > 0);
  CHECK(failing <= 1'500);
  CHECK(holder.Holds(At(failing)));
}

TEST_CASE(
    "a dead holder's lease is taken over soon, and its announced endpoints are blocked for the "
    "bound") {
  LeaseObject store;
  LeaseKeeper first("a:1", "x", kBound);
  LeaseKeeper second("b:1", "y", kBound);
  Step(first, store, At(0));
  first.Announce({{"e1", OrderScope::kWeightStore}}, {});
  Step(first, store, At(40));
  CHECK(Covers(first.Announced(), "e1", OrderScope::kWeightStore));
  CHECK_FALSE(Covers(first.Announced(), "e2", OrderScope::kLocal));
  const TimePoint last_order = first.ValidUntil();
  int taken = 0;
  for (int ms = 50; ms < 20'000 && taken == 0; ms += 50) {
    Step(second, store, At(ms));
    taken = second.Holds(At(ms)) ? ms : 0;
  }
  REQUIRE(taken > 0);
  CHECK(taken <= 2'500);
  CHECK(second.Epoch() == 2);
  CHECK(second.Former().former_holder == FormerHolder::kOtherNode);
  CHECK(second.Former().inherited == OrderScopes{{"e1", OrderScope::kWeightStore}});
  CHECK(At(taken) + second.Former().blocked_for - last_order >= kBound);
  // The former holder returns: its renewal fails, and it learns of the new holder.
  Step(first, store, At(taken));
  CHECK_FALSE(first.Holds(At(taken)));
}

TEST_CASE("a holder that renews in time keeps the lease, however stale other nodes' reads are") {
  LeaseObject store;
  LeaseKeeper holder("a:1", "x", kBound);
  LeaseKeeper other("b:1", "y", kBound);
  std::vector<std::pair<std::optional<LeaseRecord>, StoreRevision>> history;
  for (int ms = 0; ms < 30'000; ms += 50) {
    Step(holder, store, At(ms));
    history.emplace_back(store.record, store.Version());
    const auto& stale = history[history.size() > 60 ? history.size() - 60 : 0];
    const bool fresh = other.NeedsRead();
    other.ApplyRead(fresh ? store.record : stale.first, fresh ? store.Version() : stale.second,
                    fresh, At(ms));
    CHECK_FALSE(other.NextWrite(At(ms)));
  }
  CHECK(holder.Epoch() == 1);
}

TEST_CASE("during a write, orders are allowed only to endpoints in both the record and the write") {
  LeaseObject store;
  LeaseKeeper keeper("a:1", "x", kBound);
  Step(keeper, store, At(0));
  keeper.Announce({{"e1", OrderScope::kWeightStore}}, {});
  Step(keeper, store, At(100));
  keeper.Announce({{"e2", OrderScope::kWeightStore}}, {});
  const auto write = keeper.NextWrite(At(200));
  REQUIRE(write);
  CHECK(keeper.Announced().empty());
  CHECK(store.Put(*write));
  keeper.OnWriteSucceeded(store.Version(), At(210));
  CHECK(keeper.Announced() == OrderScopes{{"e2", OrderScope::kWeightStore}});
}

TEST_CASE("a holder that was frozen sends no orders after it resumes") {
  LeaseObject store;
  LeaseKeeper holder("a:1", "x", kBound);
  Step(holder, store, At(0));
  CHECK(holder.Holds(At(100)));
  CHECK_FALSE(holder.Holds(At(6'000)));
}

TEST_CASE(
    "a restarted process on the holder's machine acquires the lease at once under a higher epoch") {
  LeaseObject store;
  LeaseKeeper first("a:1", "x", kBound);
  Step(first, store, At(0));
  LeaseKeeper restarted("a:1", "z", kBound);
  Step(restarted, store, At(500));
  CHECK(restarted.Holds(At(500)));
  CHECK(restarted.Epoch() == 2);
}

TEST_CASE(
    "a released lease is acquired at once, and recently announced endpoints are blocked for the "
    "bound") {
  LeaseObject store;
  LeaseKeeper first("a:1", "x", kBound);
  LeaseKeeper second("b:1", "y", kBound);
  Step(first, store, At(0));
  first.Announce({{"e1", OrderScope::kLocal}}, {});
  Step(first, store, At(40));
  first.Stop();
  CHECK_FALSE(first.Holds(At(50)));
  Step(first, store, At(50));
  CHECK(first.Released());
  Step(second, store, At(100));
  CHECK(second.Holds(At(100)));
  CHECK(second.Former().inherited == OrderScopes{{"e1", OrderScope::kLocal}});
  CHECK(second.Former().blocked_for >= kBound);
}

TEST_CASE("the process that handed over a lease may acquire it again, under a new epoch") {
  LeaseObject store;
  LeaseKeeper keeper("a:1", "x", kBound);
  Step(keeper, store, At(0));
  keeper.HandOver();
  CHECK_FALSE(keeper.Holds(At(10)));
  keeper.SetExtraYield(Duration(2'000));
  Step(keeper, store, At(50));
  CHECK(keeper.Released());
  int ms = 100;
  for (; ms < 6'000 && !keeper.Holds(At(ms)); ms += 50) {
    Step(keeper, store, At(ms));
  }
  CHECK(keeper.Holds(At(ms)));
  CHECK(ms >= 2'000);
  CHECK(keeper.Epoch() == 2);
}

TEST_CASE("a lease write whose answer was lost counts from the start of the write") {
  LeaseObject store;
  LeaseKeeper keeper("a:1", "x", kBound);
  keeper.ApplyRead(store.record, store.Version(), true, At(0));
  const auto write = keeper.NextWrite(At(0));
  REQUIRE(write);
  CHECK(store.Put(*write));
  keeper.WriteFailed();
  CHECK(keeper.NeedsRead());
  CHECK_FALSE(keeper.NextWrite(At(400)));
  keeper.ApplyRead(store.record, store.Version(), true, At(400));
  CHECK(keeper.Holds(At(400)));
  CHECK(keeper.ValidUntil() == At(0) + kBound * 5 / 6);
}

// A node with its lease and announcements, which sends every order it may.
struct OrderingNode {
  OrderingNode(const std::string& address, Duration bound)
      : lease(address, "x", bound), announcements(bound, kLoadWindow) {}

  static constexpr Duration kLoadWindow{5'000};
  LeaseKeeper lease;
  OrderAnnouncements announcements;
  std::uint64_t held_epoch = 0;
  int frozen_until = 0;
};

TEST_CASE(
    "two nodes never send orders to one endpoint within the bound, despite lost answers, late "
    "writes, freezes and handovers") {
  constexpr int kNodes = 5;
  constexpr int kEndpoints = 6;
  int orders = 0;
  std::uint64_t holders = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    LeaseObject store;
    std::vector<OrderingNode> nodes;
    nodes.reserve(kNodes);
    std::vector<std::pair<int, LeaseWrite>> late_writes;
    for (int i = 0; i < kNodes; ++i) {
      nodes.emplace_back(std::to_string(i) + ":1", kBound);
    }
    struct LastOrder {
      int node = -1;
      TimePoint at;
      std::uint64_t epoch = 0;
    };
    std::vector<LastOrder> last(kEndpoints);
    for (int ms = 0; ms < 60'000; ms += 50) {
      const TimePoint now = At(ms);
      std::erase_if(late_writes, [&](const auto& write) {
        return write.first <= ms ? (store.Put(write.second), true) : false;
      });
      for (int i = 0; i < kNodes; ++i) {
        OrderingNode& node = nodes[i];
        if (ms < node.frozen_until) {
          continue;
        }
        if (random() % 400 == 0) {
          node.frozen_until = ms + static_cast<int>(random() % 8'000);
          continue;
        }
        LeaseKeeper& keeper = node.lease;
        if (keeper.Holds(now)) {
          if (node.held_epoch != keeper.Epoch()) {
            node.announcements.Reset(keeper.Former(), now);
            node.held_epoch = keeper.Epoch();
          }
          const std::size_t at = random() % kEndpoints;
          const std::string instance = "e" + std::to_string(at);
          if (node.announcements.MayOrder(instance, OrderScope::kWeightStore, keeper.Announced(),
                                          now)) {
            node.announcements.Ordered(instance, OrderScope::kWeightStore, now);
            if (last[at].node >= 0 && last[at].node != i) {
              CHECK(now - last[at].at >= kBound);
              CHECK(keeper.Epoch() > last[at].epoch);
            }
            last[at] = {i, now, keeper.Epoch()};
            ++orders;
          }
          keeper.Announce(node.announcements.Own(now), node.announcements.Inherited(now));
          if (random() % 100 == 0) {
            keeper.HandOver();
          }
        }
        if (keeper.NeedsRead() || random() % 8 != 0) {
          keeper.ApplyRead(store.record, store.Version(), true, now);
        }
        auto write = keeper.NextWrite(now);
        if (!write) {
          continue;
        }
        switch (random() % 10) {
          case 0:  // lost before taking effect
            keeper.WriteFailed();
            break;
          case 1:  // took effect, but the answer was lost
            store.Put(*write);
            keeper.WriteFailed();
            break;
          case 2:  // takes effect seconds later if its condition still holds
            late_writes.emplace_back(ms + static_cast<int>(random() % 6'000), *write);
            keeper.WriteFailed();
            break;
          default:
            if (store.Put(*write)) {
              keeper.OnWriteSucceeded(store.Version(), now);
            } else {
              keeper.WriteFailed();
            }
        }
      }
    }
    holders += store.record->epoch;
  }
  CHECK(holders > 40 * 2);
  CHECK(orders > 40 * 100);
}

TEST_CASE("a new holder reads the low balances that the previous holder recorded") {
  LeaseObject object;
  LeaseKeeper first("a:1", "x", kBound);
  int ms = 0;
  for (; ms < 2'500; ms += 50) {
    first.SetLowBalances({{7, -300}, {9, 40}});
    Step(first, object, At(ms));
  }
  REQUIRE(first.Holds(At(ms)));
  REQUIRE(object.record);
  const LeaseRecord read = LeaseRecordFromJson(ToJson(*object.record));
  CHECK(read == *object.record);
  LeaseKeeper second("b:1", "y", kBound);
  for (; ms < 8'000 && !second.Holds(At(ms)); ms += 50) {
    Step(second, object, At(ms));
  }
  REQUIRE(second.Holds(At(ms)));
  CHECK(second.Former().low_balances == LowBalances{{7, -300}, {9, 40}});
  CHECK(object.record->low_balances == second.Former().low_balances);
}

// Guards against a record of an earlier build, whose nodes have no starts confirmed, taken for one
// without unrecorded versions.
TEST_CASE("a lease record keeps unrecorded versions, and that it tells none") {
  LeaseRecord record;
  record.software_versions = VersionsByService{{"pool", {"v1", "v2"}}};
  for (const auto& versions : {std::optional<VersionOfService>(), std::optional(VersionOfService()),
                               std::optional(VersionOfService{{"pool", "v1"}})}) {
    record.unrecorded_versions = versions;
    CHECK(LeaseRecordFromJson(ToJson(record)) == record);
  }
  CHECK_FALSE(LeaseRecordFromJson({}).unrecorded_versions);
}

}  // namespace
}  // namespace rudderloom
