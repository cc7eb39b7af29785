#include "rudderloom/dissemination/group_counts.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

const UnitName kModel{"pool", "m", ""};
const EndpointKey kEndpoint = KeyOf("e1");

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

NodeCounts CountsOf(const std::string& node, std::uint32_t running, int offered_ms) {
  NodeCounts counts;
  counts.node = node;
  counts.loads[kEndpoint] = {running, 0, running * 100};
  counts.units[kModel] = {running, 0, Duration(offered_ms)};
  return counts;
}

TEST_CASE("a group's counts are the sums of its members' counts under the reporting node's name") {
  GroupCounts group;
  CHECK_FALSE(group.Take(At(0), 4));
  group.RecordOwn(CountsOf("n1", 1, 10));
  group.RecordMember(CountsOf("n2", 2, 20), At(0));
  group.RecordMember(CountsOf("n3", 4, 40), At(0));
  const auto sum = group.Take(At(100), 4);
  REQUIRE(sum);
  CHECK(sum->node == "n1");
  CHECK(sum->represented_nodes == 3);
  CHECK(sum->loads.at(kEndpoint) == EndpointLoad{7, 0, 700});
  CHECK(sum->units.at(kModel) == UnitCount{7, 0, Duration(70)});
}

TEST_CASE("the offered load is reported once, regardless of how often either side reports") {
  GroupCounts group;
  group.RecordOwn(CountsOf("n1", 1, 10));
  group.RecordMember(CountsOf("n2", 1, 20), At(0));
  group.RecordMember(CountsOf("n2", 1, 30), At(100));
  CHECK(group.Take(At(110), 4)->units.at(kModel).offered == Duration(60));
  CHECK(group.Take(At(120), 4)->units.at(kModel).offered == Duration(0));
  group.RecordOwn(CountsOf("n1", 1, 5));
  CHECK(group.Take(At(130), 4)->units.at(kModel) == UnitCount{2, 0, Duration(5)});
}

TEST_CASE("a node that stops reporting is dropped, but its offered load is kept") {
  GroupCounts group;
  group.RecordOwn(CountsOf("n1", 1, 0));
  group.RecordMember(CountsOf("n2", 5, 20), At(0));
  CHECK(group.HasMembers(At(1'000)));
  CHECK_FALSE(group.HasMembers(At(5'000)));
  const auto sum = group.Take(At(5'000), 4);
  CHECK(sum->represented_nodes == 1);
  CHECK(sum->units.at(kModel) == UnitCount{1, 0, Duration(20)});
}

TEST_CASE("a relay that mistakes this node for the holder is not counted") {
  GroupCounts group;
  group.RecordOwn(CountsOf("n1", 1, 0));
  NodeCounts relay = CountsOf("n2", 50, 0);
  relay.represented_nodes = 16;
  group.RecordMember(relay, At(0));
  CHECK_FALSE(group.HasMembers(At(0)));
  CHECK(group.Take(At(10), 4)->loads.at(kEndpoint).requests == 1);
}

TEST_CASE("waiting requests of a member are signalled immediately and only once") {
  GroupCounts group;
  group.RecordOwn(CountsOf("n1", 1, 0));
  NodeCounts waiting = CountsOf("n2", 0, 0);
  waiting.units[kModel].waiting = 1;
  group.RecordMember(waiting, At(0));
  CHECK(group.Waiting());
  group.Take(At(10), 4);
  CHECK_FALSE(group.Waiting());
}

TEST_CASE("each node's own loads can be left out of the sums") {
  GroupCounts group;
  group.RecordOwn(CountsOf("n1", 1, 0));
  group.RecordMember(CountsOf("n2", 2, 0), At(0));
  const LoadSums sums = group.Sums(At(100));
  CHECK(sums.all.at(kEndpoint).requests == 3);
  CHECK(sums.Without("n1").at(kEndpoint).requests == 2);
  CHECK(sums.Without("n2").at(kEndpoint).requests == 1);
}

}  // namespace
}  // namespace rudderloom
