#include "rudderloom/fleet/endpoint_directory.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr Duration kUnlistedRetention{1'000};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

EndpointRecord Record(const std::string& instance) {
  EndpointRecord record;
  record.instance = instance;
  record.id = instance;
  record.service = "s";
  record.address = "10.0.0.1:80";
  return record;
}

TEST_CASE("an endpoint that left the list is a last resort, then removed") {
  EndpointDirectory directory(kUnlistedRetention);
  directory.ApplyList({Record("a"), Record("b")}, ListKind::kUpToDate, At(0));
  directory.ApplyList({Record("b")}, ListKind::kUpToDate, At(100));
  CHECK(directory.Endpoints().at("a").unlisted_since.has_value());
  CHECK_FALSE(directory.Endpoints().at("b").unlisted_since.has_value());
  CHECK_FALSE(directory.Expire(At(900)));
  CHECK(directory.Expire(At(1'100)));
  CHECK_FALSE(directory.Endpoints().contains("a"));
}

TEST_CASE("an endpoint whose entry comes back is usable again") {
  EndpointDirectory directory(kUnlistedRetention);
  directory.Put(Record("a"));
  directory.MarkUnlisted("a", At(0));
  directory.Put(Record("a"));
  CHECK_FALSE(directory.Expire(At(5'000)));
  CHECK_FALSE(directory.Endpoints().at("a").unlisted_since.has_value());
}

TEST_CASE("an older entry does not revoke leaving") {
  EndpointDirectory directory(kUnlistedRetention);
  EndpointRecord leaving = Record("a");
  leaving.leaving = true;
  directory.Put(leaving);
  directory.Put(Record("a"));
  CHECK(directory.Endpoints().at("a").record.leaving);
}

TEST_CASE("an entry older than a report does not restore its models") {
  EndpointDirectory directory(kUnlistedRetention);
  directory.Put(Record("a"));
  EngineReport report;
  report.orders_taken = 2;
  report.models = {{"new", 1, {}}};
  CHECK(directory.ApplyReport("a", report));
  EndpointRecord old = Record("a");
  old.orders_taken = 1;
  old.models = {{"old", 1, {}}};
  directory.Put(old);
  CHECK(FindModel(directory.Endpoints().at("a").record.models, "new") != nullptr);
  EndpointRecord newer = old;
  newer.orders_taken = 3;
  directory.Put(newer);
  CHECK(FindModel(directory.Endpoints().at("a").record.models, "old") != nullptr);
  CHECK_FALSE(directory.ApplyReport("unknown", report));
}

EndpointRecord RestartedRecord(std::uint64_t born, std::uint64_t orders_taken) {
  EndpointRecord record;
  record.id = "e1";
  record.born = born;
  record.instance = InstanceName("e1", born);
  record.orders_taken = orders_taken;
  record.models = {{"m", 1, {}}};
  return record;
}

TEST_CASE("an endpoint that restarts under its name keeps no earlier state") {
  EndpointDirectory directory(Duration(1'000));
  EndpointRecord first = RestartedRecord(1'000, 40);
  first.leaving = true;
  directory.Put(first);
  EndpointRecord second = RestartedRecord(2'000, 0);
  second.models.clear();
  directory.Put(second);
  REQUIRE(directory.Endpoints().size() == 1);
  const KnownEndpoint& known = directory.Endpoints().begin()->second;
  CHECK(known.record.born == 2'000);
  CHECK(known.record.models.empty());
  CHECK_FALSE(known.record.leaving);
}

TEST_CASE("a lower count of orders in an entry means that the process restarted") {
  EndpointDirectory directory(Duration(1'000));
  directory.Put(RestartedRecord(0, 40));
  EndpointRecord after = RestartedRecord(0, 1);
  after.models = {{"n", 1, {}}};
  directory.Put(after);
  CHECK(directory.Endpoints().at("e1").record.models.front().name == "n");
  CHECK(directory.Endpoints().at("e1").record.orders_taken == 1);
  // A report newer than the entry stays in effect: the entry's own count did not fall.
  EngineReport report;
  report.orders_taken = 5;
  report.models = {{"o", 1, {}}};
  CHECK(directory.ApplyReport("e1", report));
  after.orders_taken = 2;
  directory.Put(after);
  CHECK(directory.Endpoints().at("e1").record.models.front().name == "o");
}

// Lists after the platform was restored from an older backup.

bool Usable(const EndpointDirectory& directory, const std::string& instance) {
  const auto found = directory.Endpoints().find(instance);
  return found != directory.Endpoints().end() && !found->second.unlisted_since &&
         !found->second.record.leaving;
}

TEST_CASE("an endpoint missing after a restore is used until its entry should be written again") {
  EndpointDirectory directory(kUnlistedRetention);
  directory.ApplyList({Record("a"), Record("b")}, ListKind::kUpToDate, At(0));
  directory.ApplyList({Record("a")}, ListKind::kFromBackup, At(1'000));
  directory.Expire(At(3'000));
  CHECK(Usable(directory, "b"));
  // Another list after the same restore adds nothing.
  directory.ApplyList({Record("a")}, ListKind::kUpToDate, At(3'100));
  CHECK(Usable(directory, "b"));
  CHECK(directory.Expire(At(3'600)));
  CHECK_FALSE(Usable(directory, "b"));
  directory.ApplyList({Record("a")}, ListKind::kFromBackup, At(4'000));
  directory.Put(Record("a"));
  directory.Expire(At(9'000));
  CHECK(Usable(directory, "a"));
}

TEST_CASE("an endpoint that was gone is not used after a restore unless its entry lasts") {
  for (const int since : {100, 5'000}) {
    CAPTURE(since);
    EndpointDirectory directory(kUnlistedRetention);
    directory.ApplyList({Record("a"), Record("b"), Record("c")}, ListKind::kUpToDate, At(0));
    directory.MarkUnlisted("a", At(0));
    directory.MarkUnlisted("b", At(0));
    directory.MarkUnlisted("c", At(0));
    directory.Expire(At(since));
    directory.ApplyList({Record("a"), Record("b"), Record("c")}, ListKind::kFromBackup, At(since));
    directory.ApplyList({Record("a"), Record("b"), Record("c")}, ListKind::kUpToDate,
                        At(since + 100));
    // One endpoint writes its entry again, one entry lapses, one stays.
    directory.Put(Record("a"));
    directory.MarkUnlisted("b", At(since + 3'600));
    directory.Expire(At(since + 4'000));
    CHECK(Usable(directory, "a"));
    CHECK_FALSE(Usable(directory, "b"));
    CHECK_FALSE(Usable(directory, "c"));
    directory.Expire(At(since + 6'000));
    CHECK_FALSE(Usable(directory, "b"));
    CHECK(Usable(directory, "c"));
  }
}

TEST_CASE("an endpoint that was leaving never comes back with a restore") {
  for (const int since : {100, 5'000}) {
    CAPTURE(since);
    EndpointDirectory directory(kUnlistedRetention);
    EndpointRecord leaving = Record("a");
    leaving.leaving = true;
    directory.Put(leaving);
    directory.MarkUnlisted("a", At(0));
    directory.Expire(At(since));
    directory.ApplyList({Record("a")}, ListKind::kFromBackup, At(since));
    for (int ms = since; ms < since + 20'000; ms += 500) {
      directory.Expire(At(ms));
      CHECK_FALSE(Usable(directory, "a"));
    }
  }
}

}  // namespace
}  // namespace rudderloom
