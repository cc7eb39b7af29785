// Endpoints that announce a rate limit for the requests of all nodes together.
#include <doctest/doctest.h>  // for TEST_CASE

#include "process/fleet_cluster.hpp"  // for FleetCluster

namespace rudderloom::tests {
namespace {

constexpr int kNodeCount = 6;
constexpr int kRequestIntervalMs = 40;  // milliseconds
constexpr int kDurationSeconds = 11;
constexpr std::int64_t kOnePerSecond = 1'000;  // requests in 1000 s
// In any 4 s: 1.5 times a limit of one request a second, plus five requests.
constexpr std::int64_t kMaxInWindow = 11;

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}

// Ready nodes with two plain services and two engines behind them; both engines hold model m.
void StartAll(FleetCluster& cluster) {
  cluster.Configure(1);
  cluster.StartPlainService("d1");
  cluster.StartPlainService("d2");
  cluster.StartEngine("e1", "m,n");
  cluster.StartEngine("e2", "m,o");
  for (int i = 0; i < kNodeCount; ++i) {
    cluster.StartFleetNode(NodeName(i));
  }
  for (int i = 0; i < kNodeCount; ++i) {
    REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus(NodeName(i)) == 200; }));
    REQUIRE(cluster.WaitUntil([&] {
      return cluster.Send({NodeName(i), "/safe/x", "warm" + std::to_string(i), ""}).status == 200;
    }));
  }
}

// Requests for both services, sent to all nodes in turn.
std::vector<FleetRequest> MakeRequests(const std::string& name, int seconds) {
  std::vector<FleetRequest> calls;
  for (int i = 0; i * kRequestIntervalMs < seconds * 1'000; ++i) {
    const std::string number = name + std::to_string(i);
    const Duration at(i * kRequestIntervalMs);
    calls.push_back({NodeName(i % kNodeCount), "/safe/x", "safe" + number, "", at});
    calls.push_back({NodeName(i % kNodeCount), "/stream/x", "stream" + number, "m", at});
  }
  return calls;
}

std::int64_t PeakInWindow(FleetCluster& cluster, const std::string& endpoint) {
  return cluster.Stats(endpoint).at("most_in_window").to_number<std::int64_t>();
}

int CountServed(const std::map<std::string, Response>& responses) {
  int served = 0;
  for (const auto& [id, response] : responses) {
    served += response.status == 200 ? 1 : 0;
  }
  return served;
}

// Guards against nodes that report an endpoint's limit to clients but don't reduce their own rate.
TEST_CASE("all nodes together keep to the limit that an endpoint announces") {
  FleetCluster cluster;
  StartAll(cluster);
  cluster.SetFaults("d1", {{"limit", kOnePerSecond}});
  cluster.SetFaults("e1", {{"limit", kOnePerSecond}});
  const auto calls = MakeRequests("a", kDurationSeconds);
  const auto responses = cluster.SendAll(calls);
  CHECK(PeakInWindow(cluster, "d1") <= kMaxInWindow);
  CHECK(PeakInWindow(cluster, "e1") <= kMaxInWindow);
  // A low rate of requests continues, so that the end of the limit is noticed.
  CHECK(PeakInWindow(cluster, "d1") > 0);
  CHECK(PeakInWindow(cluster, "e1") > 0);
  // The other endpoints have capacity for all requests.
  CHECK(CountServed(responses) == static_cast<int>(calls.size()));
}

// Guards against nodes that share a limit only through the lease holder and exceed it without one.
TEST_CASE("a limit holds while the holder of the lease is killed") {
  FleetCluster cluster;
  StartAll(cluster);
  cluster.SetFaults("d1", {{"limit", kOnePerSecond}});
  cluster.SendAll(MakeRequests("before", 4));
  const std::string holder = cluster.LeaseHolder();
  REQUIRE(!holder.empty());
  cluster.At(holder).Kill();
  cluster.SendAll(MakeRequests("after", kDurationSeconds));
  CHECK(PeakInWindow(cluster, "d1") <= kMaxInWindow);
  CHECK(PeakInWindow(cluster, "d1") > 0);
}

// Guards against a limit that stays in effect after it is no longer announced.
TEST_CASE("the end of a limit is noticed and reaches all nodes") {
  FleetCluster cluster;
  StartAll(cluster);
  cluster.SetFaults("d1", {{"limit", kOnePerSecond}});
  cluster.SetFaults("d2", {{"limit", kOnePerSecond}});
  const auto limited = cluster.SendAll(MakeRequests("limited", 8));
  CHECK(PeakInWindow(cluster, "d1") <= kMaxInWindow);
  cluster.SetFaults("d1", {{"limit", 0}});
  cluster.SetFaults("d2", {{"limit", 0}});
  cluster.SendAll(MakeRequests("ending", 4));
  const auto calls = MakeRequests("ended", 2);
  CHECK(CountServed(cluster.SendAll(calls)) == static_cast<int>(calls.size()));
}

}  // namespace
}  // namespace rudderloom::tests
