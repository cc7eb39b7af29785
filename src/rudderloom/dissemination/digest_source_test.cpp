#include "rudderloom/dissemination/digest_source.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr std::uint32_t kGroupSize = 2;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

NodeCounts Asking(const std::string& node) {
  NodeCounts counts;
  counts.node = node;
  counts.availability_zone = "z";
  return counts;
}

// A statement with one endpoint, confirmed by the store at 100 ms.
DigestSource MakeStatement() {
  DigestSource statement;
  statement.common.is_authoritative = true;
  statement.common.epoch = 3;
  statement.common.holder = "h1";
  statement.made_at = At(200);
  auto endpoints = std::make_shared<EndpointLog>();
  EndpointRecord record;
  record.instance = "e1";
  record.id = "e1";
  endpoints->Replace({{"e1", record}}, StoreRevision(0, 10));
  statement.endpoints = endpoints;
  statement.endpoints_confirmed_at = At(100);
  return statement;
}

TEST_CASE("a digest carries its own age and that of its contents") {
  const HolderDigest digest = DigestFor(MakeStatement(), Asking("n1"), At(500));
  CHECK(digest.age == Duration(300));
  CHECK(digest.endpoints_age == Duration(400));
  CHECK(digest.endpoints.values.size() == 1);
}

TEST_CASE("a node that is redirected to a relay receives no lists from the holder") {
  DigestSource statement = MakeStatement();
  std::vector<ReportingNode> nodes;
  for (const char* name : {"n1", "n2", "n3", "n4"}) {
    nodes.push_back({name, std::string(name) + ":1", "z", 1.0, 1});
  }
  auto roster = std::make_shared<Roster>(kGroupSize);
  roster->Update(nodes);
  statement.roster = roster;
  const HolderDigest redirected = DigestFor(statement, Asking("n4"), At(500));
  CHECK((redirected.relay == "n1:1" || redirected.relay == "n2:1"));
  CHECK(redirected.endpoints.values.empty());
  CHECK_FALSE(redirected.endpoints_age);
  const HolderDigest for_relay = DigestFor(statement, Asking("n1"), At(500));
  CHECK(for_relay.is_relay);
  CHECK(for_relay.relay.empty());
  CHECK(for_relay.endpoints.values.size() == 1);
}

TEST_CASE("a digest contains only the loads of units that the asking node reports") {
  const UnitName reported{"pool", "m", "a1"};
  DigestSource statement = MakeStatement();
  statement.common.loads_due = {{reported, {Duration(900), 3}},
                                {{"pool", "n", ""}, {Duration(700), 1}}};
  NodeCounts asking = Asking("n1");
  CHECK(DigestFor(statement, asking, At(500)).loads_due.empty());
  asking.units[reported].waiting = 1;
  const HolderDigest digest = DigestFor(statement, asking, At(500));
  CHECK(digest.loads_due == LoadsDue{{reported, {Duration(900), 3}}});
}

// A node that takes turns at another node's position doubles what runs in these.
TEST_CASE("a digest has the asking node's own position, or none") {
  DigestSource statement = MakeStatement();
  statement.common.turns = {5, 16, 60, Duration(7'000)};
  statement.turns = {{"n1", {6, 1}}};
  CHECK(DigestFor(statement, Asking("n1"), At(500)).turns ==
        TurnAssignment{6, 1, 60, Duration(7'000)});
  CHECK(DigestFor(statement, Asking("n2"), At(500)).turns.position == 0);
}

TEST_CASE("a relay refuses nodes beyond its maximum and keeps its members") {
  DigestSource statement = MakeStatement();
  statement.max_members = 2;
  statement.loads.Add("self", std::make_shared<const LoadTable>());
  statement.loads.Add("n1", std::make_shared<const LoadTable>());
  CHECK(DigestFor(statement, Asking("n1"), At(500)).is_authoritative);
  const HolderDigest refused = DigestFor(statement, Asking("n2"), At(500));
  CHECK_FALSE(refused.is_authoritative);
  CHECK(refused.holder == "h1");
  CHECK(refused.epoch == 3);
}

TEST_CASE("a configuration change that is too large for a digest is left to the store") {
  for (const int routes : {200, 2'000}) {
    std::vector<Route> added(static_cast<std::size_t>(routes));
    for (int i = 0; i < routes; ++i) {
      added[static_cast<std::size_t>(i)].prefix = "/" + std::to_string(i) + "/";
    }
    auto configuration = std::make_shared<ConfigurationLog>();
    configuration->Offer(
        std::make_shared<const RouteTable>(7, added, std::vector<ServiceSpec>{}, ClientLimits{}));
    DigestSource statement = MakeStatement();
    statement.common.routes_version = 7;
    statement.configuration = configuration;
    statement.configuration_confirmed_at = At(100);
    const HolderDigest digest = DigestFor(statement, Asking("n1"), At(500));
    // The digest still carries the newer version number.
    CHECK(digest.routes_version == 7);
    CHECK(digest.configuration.version == (routes == 200 ? 7 : 0));
  }
}

TEST_CASE("a node without a digest returns the last known holder") {
  DigestSource statement = MakeStatement();
  statement.common.is_authoritative = false;
  const HolderDigest digest = DigestFor(statement, Asking("n1"), At(500));
  CHECK_FALSE(digest.is_authoritative);
  CHECK(digest.holder == "h1");
  CHECK(digest.endpoints.values.empty());
}

}  // namespace
}  // namespace rudderloom
