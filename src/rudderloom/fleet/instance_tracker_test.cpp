#include "rudderloom/fleet/instance_tracker.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

EndpointRecord Record(const std::string& id, std::uint64_t born) {
  EndpointRecord record;
  record.id = id;
  record.born = born;
  record.instance = InstanceName(id, born);
  record.service = "pool";
  return record;
}

TEST_CASE("an endpoint that restarts under its name ends its earlier instance") {
  InstanceTracker tracker;
  tracker.Reset({Record("e1", 1'000), Record("e2", 0)});
  tracker.Put(Record("e1", 1'000));
  EndpointChanges changes = tracker.TakeChanges();
  CHECK(changes.values.size() == 1);
  CHECK(changes.gone.empty());
  tracker.Put(Record("e1", 2'000));
  changes = tracker.TakeChanges();
  REQUIRE(changes.values.size() == 1);
  CHECK(changes.values.front().second.born == 2'000);
  CHECK(changes.gone == std::vector<std::string>{InstanceName("e1", 1'000)});
}

TEST_CASE("a late entry of an earlier instance is dropped") {
  InstanceTracker tracker;
  tracker.Put(Record("e1", 2'000));
  tracker.TakeChanges();
  tracker.Put(Record("e1", 1'000));
  tracker.Put(Record("e1", 0));
  const EndpointChanges changes = tracker.TakeChanges();
  CHECK(changes.values.empty());
  CHECK(changes.gone.empty());
}

TEST_CASE("the last of several changes takes effect") {
  InstanceTracker tracker;
  tracker.Reset({Record("e1", 1'000)});
  tracker.Remove("e1");
  tracker.Put(Record("e1", 1'000));
  EndpointChanges changes = tracker.TakeChanges();
  CHECK(changes.values.size() == 1);
  CHECK(changes.gone.empty());
  tracker.Put(Record("e1", 2'000));
  tracker.Remove("e1");
  tracker.Remove("e1");
  changes = tracker.TakeChanges();
  CHECK(changes.values.empty());
  CHECK(changes.gone ==
        std::vector<std::string>{InstanceName("e1", 1'000), InstanceName("e1", 2'000)});
}

TEST_CASE("instances of one endpoint have distinct names") {
  CHECK(InstanceName("e1", 0) == "e1");
  CHECK(InstanceName("e1", 1'790'000'000'000) != InstanceName("e1", 1'790'000'000'001));
}

}  // namespace
}  // namespace rudderloom
