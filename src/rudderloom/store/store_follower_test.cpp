#include "rudderloom/store/store_follower.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/http/pause.hpp"  // for PauseFor

namespace rudderloom {
namespace {

// A store without objects, whose watches end after a few milliseconds without changes.
class IdleStore final : public ObjectStore {
 public:
  explicit IdleStore(asio::io_context& context) : context_(context) {}

  Awaitable<std::variant<StoredObject, StoreError>> Get(std::string, std::string) override {
    co_return StoreError{};
  }
  Awaitable<std::variant<ObjectList, StoreError>> ListStale(std::string kind) override {
    probes += kind == "small" ? 1 : 0;
    if (down) {
      co_return StoreError{StoreError::Kind::kUnreachable, "down"};
    }
    co_return ObjectList{};
  }
  Awaitable<std::variant<ObjectList, StoreError>> List(std::string) override {
    ++lists;
    if (down) {
      co_return StoreError{StoreError::Kind::kUnreachable, "down"};
    }
    ObjectList list;
    list.version = StoreRevision(0, 10);
    co_return list;
  }
  Awaitable<std::variant<StoredObject, StoreError>> Put(std::string, StoredObject) override {
    co_return StoreError{};
  }
  Awaitable<std::variant<std::monostate, StoreError>> Delete(std::string, std::string) override {
    co_return std::monostate{};
  }
  Awaitable<StoreError> Watch(std::string kind,
                              StoreRevision version,
                              std::function<void(WatchEvent)> on_event) override {
    return WatchFor(std::move(kind), version, Duration(5), std::move(on_event));
  }
  Awaitable<StoreError> WatchFor(std::string,
                                 StoreRevision version,
                                 Duration time,
                                 std::function<void(WatchEvent)> on_event) override {
    ++watches;
    last_time = time;
    co_await PauseFor(context_, Duration(5));
    WatchEvent bookmark;
    bookmark.object.version = version;
    on_event(std::move(bookmark));
    co_return StoreError{};
  }

  bool down = false;
  int probes = 0;
  int lists = 0;
  int watches = 0;
  Duration last_time{0};

 private:
  asio::io_context& context_;
};

// Runs a follower on the thread of the test.
struct FollowerFixture {
  FollowerFixture() : store(context), pace(std::make_shared<FollowPace>(context)) {
    FollowHooks hooks;
    hooks.on_list = [](const ObjectList&) {};
    hooks.on_event = [](const WatchEvent&) {};
    hooks.on_reached = [this](const StoreRevision&) { ++reached_count; };
    hooks.on_error = [](const StoreError&) {};
    FollowOptions options{"servers", Backoff(Duration(5), Duration(10), 1), pace, "small"};
    asio::co_spawn(context, FollowKind(context, store, std::move(options), std::move(hooks)),
                   asio::detached);
  }

  template <class Condition>
  void RunUntil(Condition condition) {
    while (!condition()) {
      context.run_one();
    }
  }

  asio::io_context context;
  IdleStore store;
  std::shared_ptr<FollowPace> pace;
  int reached_count = 0;
};

TEST_CASE(
    "a follower lists once, then watches, and reports the version that each watch has reached") {
  FollowerFixture fixture;
  fixture.RunUntil([&] { return fixture.store.watches >= 5; });
  CHECK(fixture.store.lists == 1);
  CHECK(fixture.reached_count >= 4);
}

TEST_CASE("a follower lists again after the configured interval") {
  FollowerFixture fixture;
  fixture.pace->relist_interval = Duration(20);
  fixture.pace->watch_time = Duration(7);
  fixture.RunUntil([&] { return fixture.store.lists >= 4; });
  CHECK(fixture.store.watches >= 4);
  CHECK(fixture.store.last_time == Duration(7));
}

TEST_CASE("a paused follower makes no calls and lists again when resumed") {
  FollowerFixture fixture;
  fixture.RunUntil([&] { return fixture.store.watches >= 2; });
  fixture.pace->Pause();
  // The watch in progress ends; after that only this timer is left to run.
  Timer timer(fixture.context, std::chrono::milliseconds(60));
  bool timer_expired = false;
  timer.async_wait([&](boost::system::error_code) { timer_expired = true; });
  fixture.RunUntil([&] { return timer_expired; });
  const int watches = fixture.store.watches;
  CHECK(watches <= 3);
  CHECK(fixture.store.lists == 1);
  fixture.pace->Resume();
  fixture.RunUntil([&] { return fixture.store.watches > watches; });
  CHECK(fixture.store.lists == 2);
}

TEST_CASE("an unavailable store is only probed until it responds") {
  FollowerFixture fixture;
  fixture.RunUntil([&] { return fixture.reached_count > 0; });
  CHECK(fixture.store.probes == 0);
  fixture.store.down = true;
  fixture.pace->Pause();
  fixture.context.run_for(std::chrono::milliseconds(30));
  fixture.pace->Resume();
  const int lists = fixture.store.lists;
  fixture.RunUntil([&] { return fixture.store.probes >= 5; });
  CHECK(fixture.store.lists == lists);
  fixture.store.down = false;
  fixture.RunUntil([&] { return fixture.store.lists > lists; });
  CHECK(fixture.store.lists == lists + 1);
}

TEST_CASE("a failed first list is retried only after a successful probe") {
  FollowerFixture fixture;
  fixture.store.down = true;
  fixture.RunUntil([&] { return fixture.store.probes >= 5; });
  CHECK(fixture.store.lists == 1);
}

}  // namespace
}  // namespace rudderloom
