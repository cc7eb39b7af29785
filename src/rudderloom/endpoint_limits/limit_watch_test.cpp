// Endpoint limits derived from answers that arrive in any order.
#include "rudderloom/endpoint_limits/limit_watch.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <vector>  // for vector

namespace rudderloom {
namespace {

using Kind = LimitAnnouncement::Kind;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr EndpointKey kEndpoint = 7;
constexpr std::uint32_t kNodes = 12;

TimePoint At(int milliseconds) {
  return kStart + Duration(milliseconds);
}

TEST_CASE("an announced limit holds until a later request's answer announces none") {
  LimitWatch watch(0.0);
  CHECK(watch.Answered(kEndpoint, {{Kind::kNone, 0.0}}, At(0), At(5)) == LimitChange::kNone);
  CHECK(watch.Answered(kEndpoint, {{Kind::kLimited, 2.5}}, At(10), At(20)) ==
        LimitChange::kChanged);
  CHECK(watch.LimitOf(kEndpoint) == 2.5);
  CHECK(watch.LimitStateOf(kEndpoint, kNodes, At(21)) == LimitState::kLimited);
  // Sent before the limit was received: its answer may have been written before the limit began.
  watch.Answered(kEndpoint, {{Kind::kNone, 0.0}}, At(15), At(30));
  CHECK(watch.LimitOf(kEndpoint) == 2.5);
  watch.Answered(kEndpoint, {{Kind::kNone, 0.0}}, At(25), At(40));
  CHECK(!watch.LimitOf(kEndpoint));
  CHECK(watch.LimitStateOf(kEndpoint, kNodes, At(41)) == LimitState::kUnlimited);
}

TEST_CASE("an unreadable limit changes nothing") {
  LimitWatch watch(0.0);
  watch.Answered(kEndpoint, {{Kind::kLimited, 2.5}}, At(0), At(5));
  CHECK(watch.Answered(kEndpoint, {{Kind::kUnreadable, 0.0}}, At(10), At(15)) ==
        LimitChange::kNone);
  CHECK(watch.LimitOf(kEndpoint) == 2.5);
}

TEST_CASE("tolerated rejections hold until a later request's answer announces none") {
  LimitWatch watch(0.0);
  const LimitAnnouncement none{Kind::kNone, 0.0};
  CHECK(watch.Answered(kEndpoint, {none, {Kind::kLimited, 4.0}}, At(0), At(10)) ==
        LimitChange::kChanged);
  CHECK(watch.ToleranceOf(kEndpoint) == 4.0);
  CHECK(!watch.LimitOf(kEndpoint));
  CHECK(!watch.ToleranceOf(8));
  // Sent before the announcement was received.
  watch.Answered(kEndpoint, {none, none}, At(5), At(30));
  CHECK(watch.ToleranceOf(kEndpoint) == 4.0);
  watch.Answered(kEndpoint, {none, {Kind::kUnreadable, 0.0}}, At(50), At(60));
  CHECK(watch.ToleranceOf(kEndpoint) == 4.0);
  watch.Answered(kEndpoint, {none, none}, At(50), At(60));
  CHECK(!watch.ToleranceOf(kEndpoint));
}

TEST_CASE("both limits of an endpoint are known at the same time") {
  LimitWatch watch(0.0);
  watch.Answered(kEndpoint, {{Kind::kLimited, 2.0}, {Kind::kLimited, 4.0}}, At(0), At(10));
  // An unreadable value leaves the known one.
  watch.Answered(kEndpoint, {{Kind::kUnreadable, 0.0}, {Kind::kLimited, 3.0}}, At(20), At(30));
  CHECK(watch.LimitOf(kEndpoint) == 2.0);
  CHECK(watch.ToleranceOf(kEndpoint) == 3.0);
  watch.Answered(kEndpoint, {{Kind::kNone, 0.0}, {Kind::kLimited, 3.0}}, At(40), At(50));
  CHECK(!watch.LimitOf(kEndpoint));
  CHECK(watch.ToleranceOf(kEndpoint) == 3.0);
}

// Guards against a tolerance that is forgotten while no request is sent, after which all nodes
// send.
TEST_CASE("an endpoint's own tolerance is never forgotten, but not relied on for others") {
  LimitWatch watch(0.0);
  watch.Answered(kEndpoint, {{Kind::kNone, 0.0}, {Kind::kLimited, 4.0}}, At(0), At(10));
  CHECK(watch.RecentToleranceOf(kEndpoint, At(9'000)) == 4.0);
  CHECK(!watch.MaySendWithoutPermit(kEndpoint, kNodes, At(9'000)));
  CHECK(!watch.RecentToleranceOf(kEndpoint, At(10'100)));
  CHECK(watch.ToleranceOf(kEndpoint) == 4.0);
  CHECK(watch.MaySendWithoutPermit(kEndpoint, kNodes, At(10'100)));
}

TEST_CASE("a limit observed by another node is applied unless it is older") {
  LimitWatch watch(0.0);
  watch.Received(std::make_shared<const EndpointLimits>(EndpointLimits{{kEndpoint, {4.0, At(0)}}}));
  CHECK(watch.LimitOf(kEndpoint) == 4.0);
  watch.Answered(kEndpoint, {{Kind::kLimited, 1.0}}, At(0), At(10));
  watch.Received(std::make_shared<const EndpointLimits>(EndpointLimits{{kEndpoint, {9.0, At(5)}}}));
  CHECK(watch.LimitOf(kEndpoint) == 1.0);
  watch.Received(
      std::make_shared<const EndpointLimits>(EndpointLimits{{kEndpoint, {std::nullopt, At(20)}}}));
  CHECK(!watch.LimitOf(kEndpoint));
}

TEST_CASE("an endpoint pauses after a refused permit and is tried after silence") {
  LimitWatch watch(0.5);
  watch.Answered(kEndpoint, {{Kind::kLimited, 1.0}}, At(0), At(0));
  watch.Refused(kEndpoint, Duration(300), kNodes, At(10));
  CHECK(watch.LimitStateOf(kEndpoint, kNodes, At(309)) == LimitState::kRefused);
  CHECK(watch.MinWait(At(10)) == Duration(300));
  CHECK(watch.LimitStateOf(kEndpoint, kNodes, At(310)) == LimitState::kLimited);
  // In a large fleet the pause is longer, but callers still get the time of the next permit.
  watch.Refused(kEndpoint, Duration(300), 100, At(310));
  CHECK(watch.LimitStateOf(kEndpoint, 100, At(2'309)) == LimitState::kRefused);
  CHECK(watch.MinWait(At(310)) == Duration(300));
  CHECK(watch.MinPause(At(310)) == Duration(2'000));
  watch.Answered(kEndpoint, {{Kind::kLimited, 1.0}}, At(2'310), At(2'310));
  CHECK(watch.LimitStateOf(kEndpoint, kNodes, At(4'460)) == LimitState::kLimited);
  CHECK(watch.LimitStateOf(kEndpoint, kNodes, At(4'461)) == LimitState::kUnobserved);
}

// Guards against an endpoint that stays limited forever because no node can be asked for a permit.
TEST_CASE("without a granting node all nodes together send one request per 4 s") {
  for (const std::uint32_t nodes : {3U, 60U, 300U}) {
    std::vector<LimitWatch> watches;
    for (std::uint32_t i = 0; i < nodes; ++i) {
      watches.emplace_back(static_cast<double>(i) / nodes);
    }
    int sent = 0;
    constexpr int kRunTime = 400'000;
    for (int now = 0; now < kRunTime; now += 100) {
      for (LimitWatch& watch : watches) {
        sent += watch.MaySendWithoutPermit(kEndpoint, nodes, At(now)) ? 1 : 0;
      }
    }
    CAPTURE(nodes);
    CHECK(sent >= 80);
    CHECK(sent <= 101);
  }
  LimitWatch watch(0.0);
  CHECK(watch.MaySendWithoutPermit(kEndpoint, 3, At(0)));
  CHECK(!watch.MaySendWithoutPermit(kEndpoint, 3, At(11'900)));
  CHECK(watch.MaySendWithoutPermit(kEndpoint, 3, At(12'000)));
}

TEST_CASE("each observation is reported once, and unlisted endpoints are removed") {
  LimitWatch watch(0.0);
  watch.Answered(kEndpoint, {{Kind::kLimited, 1.0}}, At(0), At(0));
  CHECK(watch.Take().size() == 1);
  CHECK(watch.Take().empty());
  watch.Trim([](EndpointKey) { return true; }, At(60'000));
  CHECK(watch.LimitOf(kEndpoint) == 1.0);
  watch.Trim([](EndpointKey) { return false; }, At(60'000));
  CHECK(!watch.LimitOf(kEndpoint));
}

}  // namespace
}  // namespace rudderloom
