// Endpoints that crash when they reject too many requests.
#include "rudderloom/endpoint_limits/rejection_watch.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/endpoint_limits/endpoint_pauses.hpp"  // for EndpointPauses

namespace rudderloom {
namespace {

using Kind = LimitAnnouncement::Kind;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr EndpointKey kEndpoint = 7;
const std::string kService = "pool";

TimePoint At(int milliseconds) {
  return kStart + Duration(milliseconds);
}

TEST_CASE("an announcement holds for its service until a later request's answer has none") {
  RejectionWatch watch;
  CHECK(!watch.NeedsFreeSlot(kService, At(0)));
  watch.Answered(kService, {Kind::kLimited, 4.0}, true, At(0), At(10));
  CHECK(watch.NeedsFreeSlot(kService, At(20)));
  CHECK(!watch.NeedsFreeSlot("desk", At(20)));
  // Sent before the announcement was received.
  watch.Answered(kService, {Kind::kNone, 0.0}, true, At(5), At(30));
  CHECK(watch.NeedsFreeSlot(kService, At(40)));
  // May not be the endpoint's own answer.
  watch.Answered(kService, {Kind::kNone, 0.0}, false, At(50), At(60));
  watch.Answered(kService, {Kind::kUnreadable, 0.0}, true, At(50), At(60));
  CHECK(watch.NeedsFreeSlot(kService, At(70)));
  watch.Answered(kService, {Kind::kNone, 0.0}, true, At(50), At(60));
  CHECK(!watch.NeedsFreeSlot(kService, At(70)));
}

TEST_CASE("an announcement without later answers is forgotten") {
  RejectionWatch watch;
  watch.Answered(kService, {Kind::kLimited, 4.0}, true, At(0), At(10));
  CHECK(watch.NeedsFreeSlot(kService, At(9'000)));
  CHECK(!watch.NeedsFreeSlot(kService, At(10'100)));
}

// Guards against nodes that each stay within the tolerance and exceed it together.
TEST_CASE("all nodes together cause no more rejections than an endpoint tolerates") {
  for (const std::uint32_t nodes : {1U, 7U, 16U, 32U}) {
    for (const double tolerated : {4.0, 10.0}) {
      CAPTURE(nodes);
      CAPTURE(tolerated);
      RejectionWatch watch;
      watch.Answered(kService, {Kind::kLimited, tolerated}, true, At(0), At(0));
      const Duration pause = watch.PauseAfterRejection(kService, nodes, At(10));
      constexpr double kMillisecondsPerSecond = 1'000.0;
      const double rejections_per_second =
          nodes * kMillisecondsPerSecond / static_cast<double>(pause.count());
      CHECK(rejections_per_second <= tolerated);
    }
  }
}

TEST_CASE("endpoints that tolerate rejections are not paused") {
  const RejectionWatch watch;
  CHECK(watch.PauseAfterRejection(kService, 7, At(0)) == Duration(0));
}

TEST_CASE("the time since an endpoint's previous rejection is known for a minute") {
  RejectionWatch watch;
  CHECK(!watch.RecordRejection(kEndpoint, At(0)));
  CHECK(watch.RecordRejection(kEndpoint, At(300)) == Duration(300));
  CHECK(!watch.RecordRejection(8, At(300)));
  watch.Trim(At(60'300));
  CHECK(!watch.RecordRejection(kEndpoint, At(60'300)));
}

TEST_CASE("the longest of several pauses holds") {
  EndpointPauses pauses;
  pauses.Pause(kEndpoint, At(500));
  pauses.Pause(kEndpoint, At(300));
  CHECK(pauses.Remaining(kEndpoint, At(100)) == Duration(400));
  CHECK(pauses.Paused(kEndpoint, At(499)));
  CHECK(!pauses.Paused(kEndpoint, At(500)));
  CHECK(!pauses.Paused(8, At(100)));
}

}  // namespace
}  // namespace rudderloom
