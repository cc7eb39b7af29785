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

// A silent node may be alive and spend its part of the rate without reports that arrive.
TEST_CASE("a silent node keeps its part of the rate for a time") {
  TurnTable table;
  table.Heard("a", 3, At(0));
  table.Heard("b", 1, At(0));
  CHECK(table.SilentFraction(At(750)) == 0.0);
  table.Heard("b", 1, At(751));
  CHECK(table.SilentFraction(At(751)) == doctest::Approx(0.75));
  table.Heard("b", 1, At(12'001));
  table.Expire(At(12'001));
  CHECK(table.SilentFraction(At(12'001)) == 0.0);
}

}  // namespace
}  // namespace rudderloom
