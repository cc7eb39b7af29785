// Services that have fewer slots than there are nodes to use them.
#include "rudderloom/endpoint_limits/shared_service.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <map>     // for multimap
#include <vector>  // for vector

namespace rudderloom {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

TEST_CASE("only services without engines and with fewer slots than nodes need grants") {
  CHECK(NeedsSlotGrants({18, 60, false}));
  CHECK(!NeedsSlotGrants({18, 18, false}));
  CHECK(!NeedsSlotGrants({18, 6, false}));
  CHECK(!NeedsSlotGrants({18, 60, true}));
  CHECK(!NeedsSlotGrants({0, 60, false}));
}

TEST_CASE("the limit is the slots and what they serve within three quarters of the goal") {
  const InFlightTerms terms = SlotGrantTerms({6, Duration(400), Duration(100), Duration(2'000)});
  CHECK(terms == InFlightTerms{1, 24, Duration(2'000), InFlightUntil::kEnded});
  // The last request waits for 18 others, which takes 300 ms, and then 100 ms for its own answer.
  CHECK(SlotGrantTerms({6, Duration(400), Duration(250), Duration(2'000)}).limit == 13);
}

// Guards against a typical time that is unknown or wrong.
TEST_CASE("the limit is at least the slots and at most a few requests for each") {
  const auto limit = [](Duration goal, Duration typical) {
    return SlotGrantTerms({6, goal, typical, Duration(2'000)}).limit;
  };
  CHECK(limit(Duration(400), Duration(0)) == 6);
  CHECK(limit(Duration(400), Duration(-5)) == 6);
  CHECK(limit(Duration(-400), Duration(100)) == 6);
  CHECK(limit(Duration(400), Duration(60'000)) == 6);
  CHECK(limit(Duration(60'000), Duration(1)) == 6 * kMaxRequestsPerSlot);
  CHECK(limit(Duration::max(), Duration(1)) == 6 * kMaxRequestsPerSlot);
  CHECK(SlotGrantTerms({0, Duration(400), Duration(0), Duration(0)}).limit == 1);
  CHECK(SlotGrantTerms({4'000'000'000U, Duration(400), Duration(1), Duration(0)}).limit <=
        kMaxInFlightCost);
}

TEST_CASE("a node alone sends one request at a time for each service") {
  SoloSends sends(0.0);
  CHECK(sends.Wait("plain", At(0)) == Duration(0));
  sends.Sent("plain", Duration(2'000), At(0));
  CHECK(sends.Wait("plain", At(10)) == kSoloCheckInterval);
  CHECK(sends.Wait("other", At(10)) == Duration(0));
  sends.Ended("plain");
  CHECK(sends.Wait("plain", At(20)) == Duration(0));
}

// Guards against a service that is never used again because the end of a request was missed.
TEST_CASE("a request whose end is not recorded counts for its maximum hold time") {
  SoloSends sends(0.0);
  sends.Sent("plain", Duration(2'000), At(0));
  CHECK(sends.Wait("plain", At(1'999)) > Duration(0));
  CHECK(sends.Wait("plain", At(2'000)) == Duration(0));
}

TEST_CASE("pauses grow with each rejection, and end with the first accepted request") {
  SoloSends sends(1.0);
  int now = 0;
  std::vector<int> pauses;
  for (int i = 0; i < 8; ++i) {
    sends.Sent("plain", Duration(2'000), At(now));
    sends.Rejected("plain", At(now));
    pauses.push_back(static_cast<int>(sends.Wait("plain", At(now)).count()));
    now += pauses.back();
    CHECK(sends.Wait("plain", At(now)) == Duration(0));
  }
  CHECK(pauses == std::vector<int>{100, 200, 400, 800, 1'600, 3'200, 4'000, 4'000});
  sends.Sent("plain", Duration(2'000), At(now));
  sends.Ended("plain");
  sends.Rejected("plain", At(now));
  CHECK(sends.Wait("plain", At(now)) == kMinSoloPause);
}

// Guards against 60 nodes, each by its own judgment, that flood 18 slots while there is no granting
// node.
TEST_CASE("60 nodes that can ask nobody reject few requests and serve many") {
  constexpr int kNodes = 60;
  constexpr int kSlots = 18;
  constexpr int kServiceMs = 100;
  constexpr int kPlayMs = 20'000;
  std::vector<SoloSends> nodes;
  nodes.reserve(kNodes);
  for (int i = 0; i < kNodes; ++i) {
    nodes.emplace_back(static_cast<double>(i) / kNodes);
  }
  std::multimap<int, std::size_t> ends;
  int served = 0;
  int rejected = 0;
  for (int now = 0; now < kPlayMs; now += 5) {
    while (!ends.empty() && ends.begin()->first <= now) {
      nodes[ends.begin()->second].Ended("plain");
      ends.erase(ends.begin());
      ++served;
    }
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (nodes[i].Wait("plain", At(now)) > Duration(0)) {
        continue;
      }
      nodes[i].Sent("plain", Duration(2'000), At(now));
      if (ends.size() < kSlots) {
        ends.emplace(now + kServiceMs, i);
      } else {
        nodes[i].Rejected("plain", At(now));
        ++rejected;
      }
    }
  }
  MESSAGE("served ", served, ", rejected ", rejected);
  CHECK(served >= kSlots * kPlayMs / kServiceMs * 9 / 10);
  // Per node 6 rejections until its pauses have grown, then one in three quarters of the longest.
  const int pause = static_cast<int>(kMaxSoloPause.count()) * 3 / 4;
  CHECK(rejected <= kNodes * (6 + kPlayMs / pause));
}

}  // namespace
}  // namespace rudderloom
