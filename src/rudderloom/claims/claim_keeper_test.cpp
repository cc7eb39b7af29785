#include "rudderloom/claims/claim_keeper.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/cells.hpp"       // for ProvedCell
#include "fakes/fake_store.hpp"  // for FakeStore

namespace rudderloom {

namespace {

using fakes::FakePlatform;
using fakes::FakeStore;
using fakes::RunCoroutine;
using fakes::WriteFault;

constexpr Duration kLimit{500};

ClaimSettings FastSettings() {
  ClaimSettings settings;
  settings.batch = Duration(1);
  settings.shards = 1;
  return settings;
}

// One entry node with its claims, on a platform shared with other nodes.
struct Node {
  Node(FakePlatform& platform, asio::io_context& context, std::string name)
      : store(platform), keeper(context, store, std::move(name), FastSettings(), metrics) {}

  FakeStore store;
  Metrics metrics;
  ClaimKeeper keeper;
};

std::string Key(const std::string& key) {
  return ClaimKey("service", "caller", key);
}

bool Granted(const ClaimResult& result) {
  return std::holds_alternative<ClaimGranted>(result);
}

// Runs background work until a condition holds.
template <class Condition>
void RunUntil(asio::io_context& context, Condition condition) {
  context.restart();
  while (!condition() && context.run_one() > 0) {
  }
}

}  // namespace

TEST_CASE("two nodes that claim one key concurrently: only one runs it") {
  for (int order = 0; order < 2; ++order) {
    asio::io_context context;
    FakePlatform platform;
    Node one(platform, context, "one");
    Node other(platform, context, "other");
    std::vector<ClaimResult> results;
    for (Node* node : {order == 0 ? &one : &other, order == 0 ? &other : &one}) {
      asio::co_spawn(
          context,
          [&results, node]() -> Awaitable<void> {
            results.push_back(co_await node->keeper.Take(Key("k"), "print", kLimit));
          },
          asio::detached);
    }
    RunUntil(context, [&] { return results.size() == 2; });
    CHECK(Granted(results[0]) != Granted(results[1]));
  }
  fakes::ProvedCell("claimed", "two entry nodes claiming at once", "two nodes that claim one key");
}

TEST_CASE(
    "a node frozen between its read and its write can't claim a key that another node has "
    "claimed") {
  asio::io_context context;
  FakePlatform platform;
  Node frozen(platform, context, "frozen");
  Node quick(platform, context, "quick");
  bool claimed_by_rival = false;
  // Another node claims the key while the write of the frozen node is in flight.
  platform.before_write = [&](const std::string&, const StoredObject& object) {
    if (!claimed_by_rival && object.writers.front().starts_with("frozen")) {
      claimed_by_rival = true;
      asio::io_context inner;
      Node rival(platform, inner, "rival");
      CHECK(Granted(RunCoroutine(inner, rival.keeper.Take(Key("k"), "print", kLimit))));
    }
  };
  const auto result = RunCoroutine(context, frozen.keeper.Take(Key("k"), "print", kLimit));
  CHECK(claimed_by_rival);
  REQUIRE(std::holds_alternative<ClaimTaken>(result));
  CHECK(std::get<ClaimTaken>(result).claim.owner.starts_with("rival"));
  fakes::ProvedCell("claimed", "frozen past its lease and thawed", "a node frozen between");
}

TEST_CASE("a claim whose answer was lost still belongs to its node only") {
  asio::io_context context;
  FakePlatform platform;
  platform.write_fault = [](std::uint64_t number) {
    return number == 1 ? WriteFault::kLostAfter : WriteFault::kNone;
  };
  Node one(platform, context, "one");
  Node other(platform, context, "other");
  CHECK(Granted(RunCoroutine(context, one.keeper.Take(Key("k"), "print", kLimit))));
  CHECK_FALSE(Granted(RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit))));
  fakes::ProvedCell("claimed", "platform losing its answer", "a claim whose answer was lost");
}

TEST_CASE("claims survive errors that leave the effect of a write unknown") {
  for (const auto fault : {WriteFault::kLostBefore, WriteFault::kServerError,
                           WriteFault::kThrottled, WriteFault::kUnreachable}) {
    asio::io_context context;
    FakePlatform platform;
    platform.write_fault = [fault](std::uint64_t number) {
      return number <= 2 ? fault : WriteFault::kNone;
    };
    Node one(platform, context, "one");
    CHECK(Granted(RunCoroutine(context, one.keeper.Take(Key("k"), "print", Duration(2'000)))));
  }
  fakes::ProvedCell("claimed", "platform answering 5xx", "claims survive errors");
}

TEST_CASE("while the platform is down claims are refused immediately and have no effect") {
  asio::io_context context;
  FakePlatform platform;
  Node one(platform, context, "one");
  platform.down = true;
  // The first claim detects the outage; further claims are refused without waiting.
  const auto first = RunCoroutine(context, one.keeper.Take(Key("k1"), "print", kLimit));
  CHECK(std::holds_alternative<ClaimUnavailable>(first));
  const TimePoint before = Now();
  const auto second = RunCoroutine(context, one.keeper.Take(Key("k2"), "print", kLimit));
  CHECK(std::holds_alternative<ClaimUnavailable>(second));
  CHECK(Between(before, Now()) < kLimit / 2);
  // After the outage the refused keys are free.
  platform.down = false;
  RunUntil(context, [&] { return one.keeper.Pending() == 0; });
  Node other(platform, context, "other");
  CHECK(Granted(RunCoroutine(context, other.keeper.Take(Key("k1"), "print", kLimit))));
  CHECK(Granted(RunCoroutine(context, other.keeper.Take(Key("k2"), "print", kLimit))));
  fakes::ProvedCell("claimed", "platform down", "while the platform is down claims are refused");
}

TEST_CASE("a claim given up while its answer was lost is released, so that a retry can run") {
  asio::io_context context;
  FakePlatform platform;
  platform.write_fault = [](std::uint64_t number) {
    return number == 1 ? WriteFault::kLostAfter : WriteFault::kUnreachable;
  };
  Node one(platform, context, "one");
  const auto first = RunCoroutine(context, one.keeper.Take(Key("k"), "print", kLimit));
  REQUIRE(std::holds_alternative<ClaimUnavailable>(first));
  platform.write_fault = nullptr;
  RunUntil(context, [&] { return one.keeper.Pending() == 0; });
  Node other(platform, context, "other");
  CHECK(Granted(RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit))));
  fakes::ProvedCell("claimed", "platform losing its answer + platform down",
                    "a claim given up while its answer was lost");
}

TEST_CASE("the second caller gets the first one's outcome, even after its node has died") {
  asio::io_context context;
  FakePlatform platform;
  auto one = std::make_unique<Node>(platform, context, "one");
  auto granted = RunCoroutine(context, one->keeper.Take(Key("k"), "print", kLimit));
  REQUIRE(Granted(granted));
  Claim ended = std::get<ClaimGranted>(granted).claim;
  ended.state = ClaimState::kEnded;
  ended.status = 200;
  ended.body = "answer";
  ended.body_kept = true;
  one->keeper.Finish(Key("k"), ended);
  RunUntil(context, [&] { return one->keeper.Pending() == 0; });
  Node other(platform, context, "other");
  const auto taken = RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit));
  REQUIRE(std::holds_alternative<ClaimTaken>(taken));
  CHECK(std::get<ClaimTaken>(taken).claim.state == ClaimState::kEnded);
  CHECK(std::get<ClaimTaken>(taken).claim.body == "answer");
  fakes::ProvedCell("ended", "process killed", "the second caller gets the first one's outcome");
  fakes::ProvedCell("recorded", "process killed", "the second caller gets the first one's outcome");
}

TEST_CASE("a claim whose owner died before recording the outcome stays claimed") {
  asio::io_context context;
  FakePlatform platform;
  Node one(platform, context, "one");
  REQUIRE(Granted(RunCoroutine(context, one.keeper.Take(Key("k"), "print", kLimit))));
  Node other(platform, context, "other");
  const auto taken = RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit));
  REQUIRE(std::holds_alternative<ClaimTaken>(taken));
  CHECK(std::get<ClaimTaken>(taken).claim.state == ClaimState::kClaimed);
  fakes::ProvedCell("claimed", "process killed", "a claim whose owner died");
  fakes::ProvedCell("sent", "process killed", "a claim whose owner died");
}

TEST_CASE("a node rereads a claim of a running call before reporting it a second time") {
  asio::io_context context;
  FakePlatform platform;
  Node one(platform, context, "one");
  Node other(platform, context, "other");
  auto granted = RunCoroutine(context, one.keeper.Take(Key("k"), "print", kLimit));
  REQUIRE(Granted(granted));
  RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit));
  Claim ended = std::get<ClaimGranted>(granted).claim;
  ended.state = ClaimState::kEnded;
  one.keeper.Finish(Key("k"), ended);
  RunUntil(context, [&] { return one.keeper.Pending() == 0; });
  const auto taken = RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit));
  REQUIRE(std::holds_alternative<ClaimTaken>(taken));
  CHECK(std::get<ClaimTaken>(taken).claim.state == ClaimState::kEnded);
}

TEST_CASE("an ending that was lost on the way is stored once the platform is back") {
  for (const auto fault :
       {WriteFault::kLostAfter, WriteFault::kLostBefore, WriteFault::kUnreachable}) {
    asio::io_context context;
    FakePlatform platform;
    Node one(platform, context, "one");
    auto granted = RunCoroutine(context, one.keeper.Take(Key("k"), "print", kLimit));
    REQUIRE(Granted(granted));
    const std::uint64_t until = platform.writes + 3;
    platform.write_fault = [fault, until](std::uint64_t number) {
      return number <= until ? fault : WriteFault::kNone;
    };
    Claim ended = std::get<ClaimGranted>(granted).claim;
    ended.state = ClaimState::kEnded;
    one.keeper.Finish(Key("k"), ended);
    RunUntil(context, [&] { return one.keeper.Pending() == 0; });
    Node other(platform, context, "other");
    const auto taken = RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit));
    REQUIRE(std::holds_alternative<ClaimTaken>(taken));
    CHECK(std::get<ClaimTaken>(taken).claim.state == ClaimState::kEnded);
  }
  fakes::ProvedCell("ended", "platform losing its answer", "an ending that was lost on the way");
  fakes::ProvedCell("ended", "platform down", "an ending that was lost on the way");
  fakes::ProvedCell("recorded", "platform losing its answer", "an ending that was lost on the way");
  fakes::ProvedCell("recorded", "platform down", "an ending that was lost on the way");
}

TEST_CASE("a claim can be released only by its owner") {
  ClaimBook book;
  Claim claim;
  claim.owner = "one/1";
  CHECK(book.TryClaim("k", claim));
  book.Release("k", "other/1");
  CHECK(book.Find("k") != nullptr);
  book.Release("k", "one/1");
  CHECK(book.Find("k") == nullptr);
  CHECK(book.Bytes() == 0);
}

TEST_CASE("claims are removed after their retention, and others are restored from JSON") {
  ClaimBook book;
  Claim expired;
  expired.claimed_at = 100;
  Claim recent;
  recent.claimed_at = 200;
  recent.state = ClaimState::kEnded;
  recent.status = 201;
  recent.body = "b";
  recent.body_kept = true;
  book.TryClaim("expired", expired);
  book.TryClaim("recent", recent);
  book.Prune(150);
  const ClaimBook restored = ClaimBook::FromJson(book.ToJson());
  CHECK(restored.Size() == 1);
  CHECK(restored.Find("recent")->status == 201);
  CHECK(restored.Bytes() == book.Bytes());
}

TEST_CASE("keys of different callers never collide") {
  CHECK(ClaimKey("s", "a", "k") != ClaimKey("s", "b", "k"));
  CHECK(ClaimKey("s", "ab", "c") != ClaimKey("s", "a", "bc"));
}

TEST_CASE("group commit bounds the platform writes regardless of the number of calls") {
  // One commit includes all of 1, 10 or 100 concurrent calls.
  for (const int calls : {1, 10, 100}) {
    asio::io_context context;
    FakePlatform platform;
    Node one(platform, context, "one");
    int granted = 0;
    for (int i = 0; i < calls; ++i) {
      asio::co_spawn(
          context,
          [&granted, &one, i]() -> Awaitable<void> {
            const auto result =
                co_await one.keeper.Take(Key("k" + std::to_string(i)), "print", kLimit);
            granted += Granted(result) ? 1 : 0;
          },
          asio::detached);
    }
    RunUntil(context, [&] { return granted == calls; });
    CHECK(platform.writes <= 2);
  }
}

// Guards against keys that stay claimed by a call that its node never sent.
TEST_CASE("a claim whose call is interrupted while it is being stored is released") {
  for (const auto fault : {WriteFault::kNone, WriteFault::kLostAfter, WriteFault::kUnreachable}) {
    asio::io_context context;
    FakePlatform platform;
    Node one(platform, context, "one");
    CallGuards guards;
    CallGuard guard(context, guards, TimePoint::max(), [] { return true; });
    platform.write_fault = [&](std::uint64_t number) {
      guard.Stop();
      return number == 1 ? fault : WriteFault::kNone;
    };
    const auto result = RunCoroutine(context, one.keeper.Take(Key("k"), "print", kLimit, &guard));
    CHECK(std::holds_alternative<ClaimUnavailable>(result));
    RunUntil(context, [&] { return one.keeper.Pending() == 0; });
    Node other(platform, context, "other");
    CHECK(Granted(RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit))));
  }
}

// Guards against keys that are reported as in progress long after the node that ran them has ended.
TEST_CASE("a claim counts as running until the deadline of its call, on every node") {
  asio::io_context context;
  FakePlatform platform;
  Node one(platform, context, "one");
  constexpr std::int64_t kRunsUntil = 1'000;
  CallGuard* const no_guard = nullptr;
  REQUIRE(Granted(
      RunCoroutine(context, one.keeper.Take(Key("k"), "print", kLimit, no_guard, kRunsUntil))));
  Node other(platform, context, "other");
  const auto taken = RunCoroutine(context, other.keeper.Take(Key("k"), "print", kLimit));
  REQUIRE(std::holds_alternative<ClaimTaken>(taken));
  const Claim& claim = std::get<ClaimTaken>(taken).claim;
  CHECK(claim.MayBeRunning(kRunsUntil + 2));
  CHECK_FALSE(claim.MayBeRunning(kRunsUntil + 3));
}

TEST_CASE("a claim without a deadline, as earlier builds store it, counts as running") {
  const auto book = ClaimBook::FromJson(
      {{"claims", {{"k", {{"state", "claimed"}, {"owner", "o"}, {"claimed_at", 5}}}}}});
  REQUIRE(book.Find("k") != nullptr);
  CHECK(book.Find("k")->MayBeRunning(1'000'000));
}

}  // namespace rudderloom
