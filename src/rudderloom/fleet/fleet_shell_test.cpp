#include "rudderloom/fleet/fleet_shell.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr const char* kConfigurationKind = "configuration";

// Lists at once; its watches say nothing, as on connections that have fallen silent.
class SilentStore : public ObjectStore {
 public:
  explicit SilentStore(asio::io_context& context) : context_(context) {}

  int ConfigurationLists() const { return configuration_lists_; }

  Awaitable<std::variant<StoredObject, StoreError>> Get(std::string, std::string) override {
    co_return StoreError{StoreError::Kind::kNotFound, ""};
  }
  Awaitable<std::variant<ObjectList, StoreError>> List(std::string kind) override {
    configuration_lists_ += kind == kConfigurationKind ? 1 : 0;
    ObjectList list;
    list.version = "1";
    co_return list;
  }
  Awaitable<std::variant<StoredObject, StoreError>> Put(std::string, StoredObject) override {
    co_return StoreError{StoreError::Kind::kUnreachable, "not in this fake"};
  }
  Awaitable<std::variant<std::monostate, StoreError>> Delete(std::string, std::string) override {
    co_return StoreError{StoreError::Kind::kUnreachable, "not in this fake"};
  }
  Awaitable<StoreError> Watch(std::string, std::string, std::function<void(WatchEvent)>) override {
    asio::steady_timer never(context_, TimePoint::max());
    co_await never.async_wait(kAsTuple);
    co_return StoreError{StoreError::Kind::kUnreachable, "ended"};
  }

 private:
  asio::io_context& context_;
  int configuration_lists_ = 0;
};

// Lists of the configuration within `time` by a node whose watches fell silent at its start.
int ListsWithin(EndpointFollowing following, std::chrono::milliseconds time) {
  asio::io_context context;
  SilentStore store(context);
  FleetFormats formats;
  formats.configuration_kind = kConfigurationKind;
  formats.endpoint_kind = "endpoints";
  formats.lease_kind = "leases";
  formats.read_revision = [](const std::string&) { return 1; };
  Metrics metrics;
  FleetShell shell(context, FleetSettings(), formats, store, metrics,
                   [](const fleet_message::Any&) {});
  shell.Start();
  context.run_for(std::chrono::milliseconds(100));  // the watches are under way
  FleetEffects effects;
  effects.following = following;
  shell.Execute(std::move(effects));
  context.run_for(time);
  return store.ConfigurationLists();
}

TEST_CASE("a node on which others rely reads a configuration that its watch is silent about") {
  CHECK(ListsWithin(EndpointFollowing::kForOthers, std::chrono::milliseconds(2'600)) >= 2);
  // All others hear from it: they ask no more often.
  CHECK(ListsWithin(EndpointFollowing::kHolder, std::chrono::milliseconds(2'600)) == 1);
}

}  // namespace
}  // namespace rudderloom
