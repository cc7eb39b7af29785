// Telling a node without links from endpoints that have failed.
#include "rudderloom/forwarding/endpoint_reach.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kEndpoints = 20;

TimePoint At(int milliseconds) {
  return kStart + Duration(milliseconds);
}

TEST_CASE("a node is cut off once three endpoints fail in a row and no other is reached") {
  EndpointReach reach;
  CHECK(!reach.Failed("a", kEndpoints, At(0)));
  CHECK(!reach.Failed("a", kEndpoints, At(10)));
  CHECK(!reach.Failed("b", kEndpoints, At(20)));
  CHECK(!reach.CutOff());
  CHECK(!reach.ConfirmCutOff());
  CHECK(reach.Failed("c", kEndpoints, At(30)));
  CHECK(!reach.CutOff());
  CHECK(reach.FailedInARow("a"));
  CHECK(!reach.FailedInARow("never tried"));
  // Reported once.
  CHECK(!reach.Failed("d", kEndpoints, At(35)));
  CHECK(reach.ConfirmCutOff());
  CHECK(reach.CutOff());
  CHECK(reach.NeedsGateway("never tried", At(40)));
  CHECK(!reach.Failed("e", kEndpoints, At(50)));
  CHECK(!reach.ConfirmCutOff());
}

// Guards against nodes that take endpoints that crash one after another for lost links.
TEST_CASE("a node that reaches an endpoint before the probes are over is not cut off") {
  EndpointReach reach;
  reach.Failed("a", kEndpoints, At(0));
  reach.Failed("b", kEndpoints, At(1));
  CHECK(reach.Failed("c", kEndpoints, At(2)));
  reach.Failed("d", kEndpoints, At(3));
  reach.Reached("e", At(4));
  CHECK(!reach.ConfirmCutOff());
  CHECK(!reach.CutOff());
  // The next three that fail are another suspicion.
  reach.Failed("a", kEndpoints, At(5));
  reach.Failed("b", kEndpoints, At(6));
  CHECK(reach.Failed("c", kEndpoints, At(7)));
  CHECK(reach.ConfirmCutOff());
}

TEST_CASE("one new connection that works shows that the node is not cut off") {
  EndpointReach reach;
  reach.Failed("a", kEndpoints, At(0));
  reach.Failed("b", kEndpoints, At(10));
  reach.Reached("d", At(20));
  CHECK(!reach.Failed("c", kEndpoints, At(30)));
  reach.Failed("b", kEndpoints, At(40));
  CHECK(reach.Failed("a", kEndpoints, At(50)));
  CHECK(reach.ConfirmCutOff());
  reach.Reached("d", At(60));
  CHECK(!reach.CutOff());
  CHECK(!reach.NeedsGateway("a", At(70)));
}

TEST_CASE("failures long ago don't count") {
  EndpointReach reach;
  reach.Failed("a", kEndpoints, At(0));
  reach.Failed("b", kEndpoints, At(1'000));
  CHECK(!reach.Failed("c", kEndpoints, At(3'500)));
  CHECK(reach.Failed("d", kEndpoints, At(3'600)));
  CHECK(reach.ConfirmCutOff());
}

TEST_CASE("a node with two endpoints is cut off from both; a single one may have crashed") {
  EndpointReach reach;
  CHECK(!reach.Failed("a", 2, At(0)));
  CHECK(reach.Failed("b", 2, At(10)));
  CHECK(reach.ConfirmCutOff());
  EndpointReach single;
  CHECK(!single.Failed("a", 1, At(0)));
  CHECK(!single.Failed("a", 1, At(10)));
}

// Guards against links lost to some endpoints only.
TEST_CASE("an endpoint that fails twice is reached through another node, and tried again later") {
  EndpointReach reach;
  reach.Failed("a", kEndpoints, At(0));
  CHECK(!reach.NeedsGateway("a", At(10)));
  reach.Failed("a", kEndpoints, At(20));
  CHECK(reach.NeedsGateway("a", At(30)));
  CHECK(!reach.NeedsGateway("b", At(30)));
  reach.Reached("b", At(40));
  CHECK(reach.NeedsGateway("a", At(50)));
  CHECK(!reach.NeedsGateway("a", At(1'050)));
  reach.GatewayFailed("a", At(60));
  CHECK(!reach.NeedsGateway("a", At(70)));
}

TEST_CASE("others are probed once for several failures, and not while some are reached") {
  EndpointReach reach;
  reach.Failed("a", kEndpoints, At(0));
  CHECK(reach.TakeVerificationDue(At(0)));
  CHECK(!reach.TakeVerificationDue(At(100)));
  CHECK(reach.TakeVerificationDue(At(400)));
  reach.Reached("b", At(800));
  CHECK(!reach.TakeVerificationDue(At(900)));
  CHECK(reach.TakeVerificationDue(At(1'100)));
}

}  // namespace
}  // namespace rudderloom
