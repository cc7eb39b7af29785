#include "rudderloom/fleet/counts_inbox.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

const UnitName kUnit{"pool", "m", ""};

NodeCounts Counts(const std::string& node, std::uint32_t running, int offered_ms) {
  NodeCounts counts;
  counts.node = node;
  counts.units[kUnit] = {running, 0, Duration(offered_ms)};
  return counts;
}

TEST_CASE("a thousand reports of two nodes leave two entries, and no offered work is lost") {
  CountsInbox inbox;
  int notifications = 0;
  for (std::uint32_t i = 1; i <= 500; ++i) {
    notifications += inbox.Put(Counts("n1", i, 10)) ? 1 : 0;
    notifications += inbox.Put(Counts("n2", 2 * i, 1)) ? 1 : 0;
  }
  CHECK(notifications == 1);
  const std::vector<NodeCounts> taken = inbox.TakeAll();
  REQUIRE(taken.size() == 2);
  CHECK(taken[0].units.at(kUnit) == UnitCount{500, 0, Duration(5'000)});
  CHECK(taken[1].units.at(kUnit) == UnitCount{1'000, 0, Duration(500)});
  CHECK(inbox.TakeAll().empty());
  CHECK(inbox.Put(Counts("n1", 1, 1)));
}

}  // namespace
}  // namespace rudderloom
