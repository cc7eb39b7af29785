#include "rudderloom/endpoint_limits/endpoint_pauses.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr EndpointKey kEndpoint = 7;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
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
