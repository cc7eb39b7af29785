#include <doctest/doctest.h>  // for TEST_CASE

#include <set>  // for set

#include "fakes/cells.hpp"                           // for ProvedCell
#include "rudderloom/membership/endpoint_table.hpp"  // for EndpointTable
#include "rudderloom/membership/member_table.hpp"    // for MemberTable

namespace rudderloom {

namespace {

const TimePoint kStart{};

NodeState Node(const std::string& name, const std::string& incarnation, std::uint64_t beat) {
  NodeState state;
  state.name = name;
  state.incarnation = incarnation;
  state.beat = beat;
  return state;
}

EndpointSpec Spec(const std::string& name) {
  EndpointSpec spec;
  spec.name = name;
  spec.address = "10.0.0.1:1";
  spec.pool = "p";
  return spec;
}

}  // namespace

TEST_CASE("a member counts as live while its heartbeat advances, whatever the list says") {
  MemberTable table("me", {});
  table.RecordHeartbeat(Node("a", "a1", 1), kStart);
  table.ApplyList({});
  CHECK(table.Live(kStart).size() == 1);
  table.Expire(kStart + Duration(1'000));
  CHECK(table.Members().size() == 1);
  // A repeated counter, such as from a frozen node's queue, does not count.
  table.RecordHeartbeat(Node("a", "a1", 1), kStart + Duration(3'000));
  CHECK(table.Live(kStart + Duration(3'000)).empty());
  table.Expire(kStart + Duration(3'000));
  CHECK(table.Members().empty());
  fakes::ProvedCell("node serving", "node list stale", "a member counts as live");
}

TEST_CASE("a listed node that was never heard is called, but is not live") {
  MemberTable table("me", {});
  table.ApplyList({Node("a", "a1", 0), Node("me", "me1", 0)});
  CHECK(table.Live(kStart).empty());
  REQUIRE(table.NextTargets().size() == 1);
  CHECK(table.NextTargets().front().state.name == "a");
  fakes::ProvedCell("node joining", "node list stale", "a listed node that was never heard");
}

TEST_CASE("an older process of the same name is ended once the new one is heard") {
  MemberTable table("me", {});
  table.RecordHeartbeat(Node("a", "a1", 100), kStart);
  CHECK_FALSE(table.Ended("a1"));
  table.RecordHeartbeat(Node("a", "a2", 1), kStart);
  CHECK(table.Ended("a1"));
  CHECK_FALSE(table.Ended("a2"));
  // The list still has the old process; the node's own heartbeat takes precedence.
  table.ApplyList({Node("a", "a1", 0)});
  CHECK(table.Ended("a1"));
  fakes::ProvedCell("node gone", "node list stale", "an older process of the same name");
}

TEST_CASE("a relayed counter advances a heartbeat, but never back, nor for another incarnation") {
  MembershipSettings settings;
  settings.full_mesh = 1;
  MemberTable table("me", settings);
  table.RecordHeartbeat(Node("a", "a1", 5), kStart);
  const TimePoint later = kStart + Duration(5'000);
  table.RecordRelayedHeartbeat({IncarnationId("a1"), 5, 0}, later);
  table.RecordRelayedHeartbeat({IncarnationId("a0"), 9, 0}, later);
  CHECK(table.Live(later).empty());
  table.RecordRelayedHeartbeat({IncarnationId("a1"), 6, 3}, later);
  REQUIRE(table.Live(later).size() == 1);
  CHECK(table.Live(later).front()->state.generation == 3);
}

TEST_CASE("heartbeats reach every node in rotation, with a bounded number per round") {
  MembershipSettings settings;
  settings.fanout = 3;
  MemberTable table("me", settings);
  for (int i = 0; i < 20; ++i) {
    table.RecordHeartbeat(Node("n" + std::to_string(i), "i" + std::to_string(i), 1), kStart);
  }
  std::set<std::string> called;
  for (int round = 0; round < 7; ++round) {
    const auto targets = table.NextTargets();
    CHECK(targets.size() == 3);
    for (const Member& target : targets) {
      called.insert(target.state.name);
    }
  }
  CHECK(called.size() == 20);
  CHECK(table.FreshDigests(8).size() == 8);
}

TEST_CASE("an endpoint is usable by its reports, until any source says that it is leaving") {
  EndpointTable table;
  table.ApplyList({Spec("a")});
  const auto usable = [&] { return EndpointTable::Usable(table.Endpoints().at("a")); };
  CHECK_FALSE(usable());
  LoadReport report;
  report.incarnation = "1";
  table.ApplyReport("a", report, kStart);
  CHECK(usable());
  for (int i = 0; i < 3; ++i) {
    table.PollFailed("a");
  }
  CHECK_FALSE(usable());
  table.ApplyReport("a", report, kStart);
  CHECK(usable());
  CHECK(table.MarkLeaving("a#1"));
  CHECK_FALSE(table.MarkLeaving("a#1"));
  CHECK_FALSE(usable());
  CHECK(table.Leaving() == std::vector<std::string>{"a#1"});
  // A late report from before it was leaving does not bring it back; a new process does.
  table.ApplyReport("a", report, kStart);
  CHECK_FALSE(usable());
  report.incarnation = "2";
  table.ApplyReport("a", report, kStart);
  CHECK(usable());
  fakes::ProvedCell("node leaving", "load report late", "an endpoint is usable by its reports");
}

// Guards against a service that is never used again after a planned restart.
TEST_CASE("a service that reports no incarnation is usable again at another address") {
  EndpointTable table;
  table.ApplyList({Spec("a")});
  LoadReport report;
  report.leaving = true;
  table.ApplyReport("a", report, kStart);
  const auto usable = [&] { return EndpointTable::Usable(table.Endpoints().at("a")); };
  CHECK_FALSE(usable());
  EndpointSpec restarted = Spec("a");
  restarted.address = "10.0.0.1:2";
  table.Put(restarted);
  report.leaving = false;
  table.ApplyReport("a", report, kStart);
  CHECK(usable());
  // A peer may not know yet that it has restarted.
  CHECK_FALSE(table.MarkLeaving("a#@10.0.0.1:1"));
  CHECK(usable());
}

// Guards against a service at a fixed address that is never used again after a planned restart.
TEST_CASE("a service that reports no incarnation is usable again at the same address") {
  EndpointTable table;
  table.ApplyList({Spec("a")});
  const auto usable = [&] { return EndpointTable::Usable(table.Endpoints().at("a")); };
  LoadReport report;
  report.leaving = true;
  table.ApplyReport("a", report, kStart);
  CHECK_FALSE(usable());
  const std::vector<std::string> former = table.Leaving();
  table.PollFailed("a");
  report.leaving = false;
  // One report may have been on its way when the announcement came.
  table.ApplyReport("a", report, kStart);
  CHECK_FALSE(usable());
  table.ApplyReport("a", report, kStart);
  CHECK(usable());
  // A peer may not know yet that it has restarted.
  table.MarkProcessLeaving(former.front());
  table.ApplyReport("a", report, kStart);
  CHECK(usable());
  // The new process leaves in its turn, as an answer tells.
  CHECK(table.MarkLeaving("a#@10.0.0.1:1"));
  CHECK_FALSE(usable());
  CHECK(table.Leaving() != former);
  // Also after the platform's list has been without it.
  table.ApplyList({});
  table.ApplyList({Spec("a")});
  table.ApplyReport("a", report, kStart);
  table.ApplyReport("a", report, kStart);
  CHECK(usable());
}

TEST_CASE("an endpoint without the flag does not check fences, and invalid objects are rejected") {
  const auto spec = EndpointFromJson("a", {{"address", "10.0.0.1:1"}, {"pool", "p"}});
  REQUIRE(spec);
  CHECK_FALSE(spec->checks_fences);
  CHECK_FALSE(EndpointFromJson("a", {{"pool", "p"}}));
  CHECK_FALSE(ReportFromJson("not json"));
}

}  // namespace rudderloom
