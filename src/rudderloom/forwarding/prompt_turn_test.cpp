#include "forwarding/prompt_turn.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr Duration kTimeLeft{800};
constexpr Duration kPause{400};
constexpr Duration kPrompt{90};

// Load: more prompts of several kinds than the engines of a model process. The failures: less
// urgent requests took the turns of urgent ones, or were refused while most of the queue was free.
TEST_CASE("a less urgent request accepts a queue that is shorter by a prompt") {
  CHECK(MaxTurnWait({kTimeLeft, kPause, kPrompt, 0, false}) == kPause);
  CHECK(MaxTurnWait({kTimeLeft, kPause, kPrompt, 1, false}) == kPause - kPrompt);
  CHECK(MaxTurnWait({kTimeLeft, kPause, kPrompt, 2, false}) == kPause - kPrompt * 2);
  CHECK(MaxTurnWait({kTimeLeft, kPause, kPrompt, 1'000'000, false}) == Duration(50));
  CHECK(MaxTurnWait({kTimeLeft, kPause, Duration(5'000), 1, false}) == Duration(50));
}

TEST_CASE("no request waits for a turn that comes too late for its goal") {
  CHECK(MaxTurnWait({Duration(50), kPause, kPrompt, 1, false}) == Duration(50));
  CHECK(MaxTurnWait({Duration(0), kPause, kPrompt, 0, true}) == Duration(0));
}

TEST_CASE("a patient request at the end of its hold does not starve behind urgent ones") {
  CHECK(MaxTurnWait({kTimeLeft, kPause, kPrompt, 3, true}) == kPause);
}

// Load: all clients that were refused come back late, to the same endpoint.
TEST_CASE("late prompts at an endpoint take half of a pause, one is always let in") {
  CHECK(MaxLatePrompts(kPause, Duration(100)) == 2);
  CHECK(MaxLatePrompts(kPause, Duration(5'000)) == 1);
  CHECK(MaxLatePrompts(kPause, Duration(0)) == 4);
  CHECK(MaxLatePrompts(Duration(0), Duration(100)) == 1);
}

// Guards against overload control in fleets that are too small for turns, where more clients were
// refused twice and no more were served.
TEST_CASE("automatic overload control needs slow loads and enough nodes for turns") {
  CHECK(IsOverloadControlInForce(OverloadControl::kAuto, true, kMinSpacedNodes));
  CHECK_FALSE(IsOverloadControlInForce(OverloadControl::kAuto, true, kMinSpacedNodes - 1));
  CHECK_FALSE(IsOverloadControlInForce(OverloadControl::kAuto, false, kMinSpacedNodes));
  CHECK(IsOverloadControlInForce(OverloadControl::kOn, false, 1));
  CHECK_FALSE(IsOverloadControlInForce(OverloadControl::kOff, true, kMinSpacedNodes));
}

}  // namespace
}  // namespace rudderloom
