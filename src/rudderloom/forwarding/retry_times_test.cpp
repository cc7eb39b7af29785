// The times at which refused clients are told to retry.
#include "rudderloom/forwarding/retry_times.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <random>  // for mt19937_64
#include <string>  // for to_string

namespace rudderloom {
namespace {

const HeldFor kModel{"pool", "m"};
constexpr Duration kRoom{300};
constexpr Duration kInterval{200};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

// Load: many clients are refused at once, and an endpoint has room for one each 200 ms.
TEST_CASE("clients that are refused together are told successive times") {
  RetryTimes times;
  CHECK(times.Take(kModel, {kRoom, kInterval}, 0, At(0)) == Duration(300));
  CHECK(times.Take(kModel, {kRoom, kInterval}, 0, At(0)) == Duration(500));
  CHECK(times.Take(kModel, {kRoom, kInterval}, 0, At(100)) == Duration(600));
  CHECK(times.Take({"pool", "other"}, {kRoom, kInterval}, 0, At(100)) == kRoom);
  CHECK(times.Take({"plain", ""}, {kRoom, kInterval}, 0, At(100)) == kRoom);
}

// Guards against clients that are sent back before the endpoint has room.
TEST_CASE("no time is before the endpoint has room") {
  RetryTimes times;
  times.Take(kModel, {kRoom, kInterval}, 0, At(0));
  CHECK(times.Take(kModel, {Duration(2'000), kInterval}, 0, At(0)) == Duration(2'000));
  CHECK(times.Take(kModel, {kRoom, kInterval}, 0, At(0)) == Duration(2'200));
}

// Guards against clients that are sent away for longer than they wait.
TEST_CASE("under a lasting overload the times are bounded, and do not grow without refusals") {
  RetryTimes times;
  for (int i = 0; i < 1'000; ++i) {
    CHECK(times.Take(kModel, {kRoom, kInterval}, 0, At(i)) <= kMaxRetryDelay);
  }
  // The last time that was told is the latest of one millisecond before.
  CHECK(times.Take(kModel, {kRoom, kInterval}, 0, At(1'000)) == kMaxRetryDelay - Duration(1));
  CHECK(times.Take(kModel, {kRoom, kInterval}, 0, At(9'000)) == kRoom);
  CHECK(times.Take(kModel, {Duration::max(), Duration::max()}, 0, At(9'000)) == kMaxRetryDelay);
  CHECK(times.Take(kModel, {Duration::min(), Duration::min()}, 0, At(9'000)) == kMaxRetryDelay);
}

TEST_CASE("entries expire when their time has passed") {
  RetryTimes times;
  for (int i = 0; i < 100; ++i) {
    times.Take({"pool", std::to_string(i)}, {kRoom, kInterval}, 0, At(0));
  }
  CHECK(times.Size() == 100);
  times.Take(kModel, {kRoom, kInterval}, 0, At(500));
  CHECK(times.Size() == 1);
}

TEST_CASE("the interval grows with the nodes and shrinks with the endpoints") {
  CHECK(RetryInterval({Duration(50), 3, 60}) == Duration(1'000));
  CHECK(RetryInterval({Duration(50), 60, 60}) == Duration(50));
  CHECK(RetryInterval({Duration(50), 0, 0}) == Duration(50));
  CHECK(RetryInterval({Duration::max(), 1, 1'000'000}) == kMaxRetryDelay);
  CHECK(RetryInterval({Duration::min(), 1, 60}) == Duration(0));
}

// Load: all of 60 nodes begin to refuse clients of a service that serves 20 requests per second.
TEST_CASE("the retries announced by all nodes are what the endpoints take in") {
  constexpr int kNodes = 60;
  constexpr int kRefusals = 3;
  constexpr int kMostInASecond = 32;  // 20 on average, and their random variation
  const Duration interval = RetryInterval({Duration(150), 3, kNodes});
  std::mt19937_64 random(1);
  std::map<Duration::rep, int> by_second;
  for (int node = 0; node < kNodes; ++node) {
    RetryTimes times;
    for (int refusal = 0; refusal < kRefusals; ++refusal) {
      const Duration told = times.Take(kModel, {kRoom, interval}, random(), At(0));
      if (told < kMaxRetryDelay) {
        ++by_second[(told - kRoom) / Duration(1'000)];
      }
    }
  }
  for (const auto& [second, retries] : by_second) {
    CHECK(retries <= kMostInASecond);
  }
}

}  // namespace
}  // namespace rudderloom
