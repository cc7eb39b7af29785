// Load: nodes join, leave and fall silent while others rely on the positions of an older digest.
#include "rudderloom/quota/turn_table.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

// Two nodes with the same position would run twice the rate of a turn.
TEST_CASE("positions do not overlap, and do not change when others join or leave") {
  TurnTable table;
  table.Heard("b", 1, At(0));
  table.Heard("relay", 16, At(0));
  table.Heard("c", 1, At(0));
  CHECK(table.Spans().at("b") == TurnSpan{1, 1});
  CHECK(table.Spans().at("relay") == TurnSpan{2, 16});
  CHECK(table.Spans().at("c") == TurnSpan{18, 1});
  table.Heard("relay", 15, At(9'000));
  table.Heard("c", 1, At(9'000));
  table.Expire(At(12'001));
  table.Heard("a", 1, At(12'001));
  CHECK(table.Spans().at("relay") == TurnSpan{2, 16});
  CHECK(table.Spans().at("c") == TurnSpan{18, 1});
  CHECK(table.Spans().at("a") == TurnSpan{1, 1});
  CHECK(table.Positions() == 18);
}

TEST_CASE("a group that grows gets new positions") {
  TurnTable table;
  table.Heard("relay", 2, At(0));
  table.Heard("c", 1, At(0));
  table.Heard("relay", 3, At(100));
  CHECK(table.Spans().at("relay") == TurnSpan{4, 3});
}

// A silent node may be alive, and takes its turns without reports that arrive.
TEST_CASE("turns of a silent node are reserved from when it was last heard, each time once") {
  TurnTable table;
  table.Heard("a", 3, At(0));
  table.Heard("b", 1, At(0));
  CHECK(table.TakeSilent(At(500)).empty());
  table.Heard("b", 1, At(501));
  CHECK(table.TakeSilent(At(501)) == std::vector<SilentTurns>{{TurnSpan{1, 3}, 4, At(0), At(501)}});
  CHECK(table.TakeSilent(At(700)) ==
        std::vector<SilentTurns>{{TurnSpan{1, 3}, 4, At(501), At(700)}});
  table.Heard("b", 1, At(12'001));
  table.Expire(At(12'001));
  CHECK(table.TakeSilent(At(12'001)).empty());
}

TEST_CASE("a part of the rate is kept for nodes that a relay no longer reports for") {
  TurnTable table;
  table.Heard("relay", 3, At(0));
  table.Heard("b", 1, At(0));
  CHECK(table.MissingFraction() == 0.0);
  table.Heard("relay", 2, At(100));
  CHECK(table.MissingFraction() == doctest::Approx(0.25));
  // A group that stays smaller would otherwise take a part of the rate for good.
  table.Heard("relay", 2, At(12'001));
  CHECK(table.MissingFraction() == 0.0);
}

// The failure: when a member of a relay's group left, the positions of the others moved, and a
// member that was cut off had the position of another one.
TEST_CASE("members of a group keep their positions while others leave, within the range") {
  TurnTable table;
  table.SetRange({5, 2});
  table.Heard("a", 1, At(0));
  table.Heard("b", 1, At(0));
  table.Heard("c", 1, At(0));
  CHECK(table.Spans() == TurnSpans{{"a", {5, 1}}, {"b", {6, 1}}});
  table.SetRange({5, 2});
  table.Heard("b", 1, At(12'001));
  table.Expire(At(12'001));
  table.Heard("c", 1, At(12'001));
  CHECK(table.Spans() == TurnSpans{{"b", {6, 1}}, {"c", {5, 1}}});
  table.SetRange({9, 2});
  CHECK(table.Spans().empty());
}

}  // namespace
}  // namespace rudderloom
