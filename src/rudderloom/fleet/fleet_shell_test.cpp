#include "rudderloom/fleet/fleet_shell.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr const char* kConfigurationKind = "configuration";

// Lists at once; its watches never report anything, as on connections that have fallen silent.
class SilentStore : public ObjectStore {
 public:
  explicit SilentStore(asio::io_context& context) : context_(context) {}

  int ConfigurationLists() const { return configuration_lists_; }
  int Watches() const { return watches_; }

  Awaitable<std::variant<StoredObject, StoreError>> Get(std::string, std::string) override {
    co_return StoreError{StoreError::Kind::kNotFound, ""};
  }
  Awaitable<std::variant<ObjectList, StoreError>> List(std::string kind) override {
    configuration_lists_ += kind == kConfigurationKind ? 1 : 0;
    ObjectList list;
    list.version = StoreRevision(0, 1);
    co_return list;
  }
  Awaitable<std::variant<StoredObject, StoreError>> Put(std::string, StoredObject) override {
    co_return StoreError{StoreError::Kind::kUnreachable, "not supported by this fake"};
  }
  Awaitable<std::variant<std::monostate, StoreError>> Delete(std::string, std::string) override {
    co_return StoreError{StoreError::Kind::kUnreachable, "not supported by this fake"};
  }
  Awaitable<StoreError> Watch(std::string,
                              StoreRevision,
                              std::function<void(WatchEvent)>) override {
    ++watches_;
    Timer never(context_, TimePoint::max());
    co_await never.async_wait(kAsTuple);
    co_return StoreError{StoreError::Kind::kUnreachable, "ended"};
  }

 private:
  asio::io_context& context_;
  int configuration_lists_ = 0;
  int watches_ = 0;
};

// A shell with a store that lists and then falls silent.
struct ShellFixture {
  explicit ShellFixture(bool first_start = false) : store(context), shell(Make(first_start)) {
    shell.Start();
  }

  FleetShell Make(bool first_start) {
    FleetFormats formats;
    formats.configuration_kind = kConfigurationKind;
    formats.endpoint_kind = "endpoints";
    formats.lease_kind = "leases";
    FleetSettings settings;
    settings.first_start = first_start;
    return {context, settings, formats, store, metrics, [](const fleet_message::Any&) {}};
  }

  void Follow(FollowMode endpoints, FollowMode configuration) {
    FleetEffects effects;
    effects.followings = Followings{endpoints, configuration};
    shell.Execute(std::move(effects));
  }

  asio::io_context context;
  SilentStore store;
  Metrics metrics;
  FleetShell shell;
};

// Number of further lists of the configuration within `time` by a node whose watches have fallen
// silent.
int ListsWithin(FollowMode endpoints, std::chrono::milliseconds time) {
  ShellFixture fixture;
  fixture.Follow(FollowMode::kStore, FollowMode::kStore);
  fixture.context.run_for(std::chrono::milliseconds(100));  // The watches have started.
  const int before = fixture.store.ConfigurationLists();
  fixture.Follow(endpoints, FollowMode::kStore);
  fixture.context.run_for(time);
  return fixture.store.ConfigurationLists() - before;
}

TEST_CASE("a node on which others rely reads a configuration that its silent watch missed") {
  CHECK(ListsWithin(FollowMode::kStoreForOthers, std::chrono::milliseconds(2'600)) >= 1);
  // All others get it from that node and do not list more often.
  CHECK(ListsWithin(FollowMode::kHolder, std::chrono::milliseconds(2'600)) == 0);
}

TEST_CASE("a restarted node lists once and then makes no more store calls") {
  ShellFixture fixture;
  fixture.context.run_for(std::chrono::milliseconds(300));
  CHECK(fixture.store.ConfigurationLists() == 1);
  CHECK(fixture.store.Watches() == 0);
  // Continuing with the holder's digests needs no further call.
  fixture.Follow(FollowMode::kHolder, FollowMode::kHolder);
  fixture.context.run_for(std::chrono::milliseconds(300));
  CHECK(fixture.store.ConfigurationLists() == 1);
  fixture.Follow(FollowMode::kStore, FollowMode::kHolder);
  fixture.context.run_for(std::chrono::milliseconds(300));
  CHECK(fixture.store.ConfigurationLists() == 1);
  CHECK(fixture.store.Watches() == 1);
}

TEST_CASE("at the first start of the whole system nodes do not call the store for lists") {
  ShellFixture fixture(true);
  fixture.context.run_for(std::chrono::milliseconds(300));
  CHECK(fixture.store.ConfigurationLists() == 0);
  CHECK(fixture.store.Watches() == 0);
}

}  // namespace
}  // namespace rudderloom
