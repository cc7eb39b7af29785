// Endpoints that announce how many requests a second they accept from all nodes together.
#include <doctest/doctest.h>  // for TEST_CASE

#include "process/fleet_cluster.hpp"  // for FleetCluster

namespace rudderloom::tests {
namespace {

constexpr int kNodes = 6;
constexpr int kRequestEvery = 40;  // milliseconds
constexpr int kSeconds = 11;
constexpr std::int64_t kOneASecond = 1'000;  // in a thousand seconds
// In any 4 s: one and a half times a limit of one a second, and five requests.
constexpr std::int64_t kMostInWindow = 11;

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}

// Ready nodes with two plain services and two engines behind them; both engines hold model m.
void StartAll(FleetCluster& cluster) {
  cluster.Configure(1);
  cluster.StartPlain("d1");
  cluster.StartPlain("d2");
  cluster.StartEngine("e1", "m,n");
  cluster.StartEngine("e2", "m,o");
  for (int i = 0; i < kNodes; ++i) {
    cluster.StartFleetNode(NodeName(i));
  }
  for (int i = 0; i < kNodes; ++i) {
    REQUIRE(cluster.Until([&] { return cluster.Ready(NodeName(i)) == 200; }));
    REQUIRE(cluster.Until([&] {
      return cluster.Send({NodeName(i), "/safe/x", "warm" + std::to_string(i), ""}).status == 200;
    }));
  }
}

// Requests of both services over all nodes in turn.
std::vector<FleetCall> Requests(const std::string& name, int seconds) {
  std::vector<FleetCall> calls;
  for (int i = 0; i * kRequestEvery < seconds * 1'000; ++i) {
    const std::string number = name + std::to_string(i);
    const Duration at(i * kRequestEvery);
    calls.push_back({NodeName(i % kNodes), "/safe/x", "safe" + number, "", at});
    calls.push_back({NodeName(i % kNodes), "/stream/x", "stream" + number, "m", at});
  }
  return calls;
}

std::int64_t MostInWindow(FleetCluster& cluster, const std::string& endpoint) {
  return cluster.Stats(endpoint).at("most_in_window").to_number<std::int64_t>();
}

int Served(const std::map<std::string, Answer>& answers) {
  int served = 0;
  for (const auto& [id, answer] : answers) {
    served += answer.status == 200 ? 1 : 0;
  }
  return served;
}

std::string Holder(FleetCluster& cluster) {
  for (int i = 0; i < kNodes; ++i) {
    if (cluster.Metrics(NodeName(i)).find("rudderloom_lease_held 1") != std::string::npos) {
      return NodeName(i);
    }
  }
  return "";
}

// Guards against nodes that pass an endpoint's limit on to clients and go on sending as before.
TEST_CASE("all nodes together keep to the limit that an endpoint announces") {
  FleetCluster cluster;
  StartAll(cluster);
  cluster.Faults("d1", {{"limit", kOneASecond}});
  cluster.Faults("e1", {{"limit", kOneASecond}});
  const auto calls = Requests("a", kSeconds);
  const auto answers = cluster.Burst(calls);
  CHECK(MostInWindow(cluster, "d1") <= kMostInWindow);
  CHECK(MostInWindow(cluster, "e1") <= kMostInWindow);
  // A small flow goes on, by which the end of the limit is noticed.
  CHECK(MostInWindow(cluster, "d1") > 0);
  CHECK(MostInWindow(cluster, "e1") > 0);
  // The other endpoints have room for all requests.
  CHECK(Served(answers) == static_cast<int>(calls.size()));
}

// Guards against nodes that share a limit by the holder's word alone, and exceed it without one.
TEST_CASE("a limit holds while the holder of the lease is killed") {
  FleetCluster cluster;
  StartAll(cluster);
  cluster.Faults("d1", {{"limit", kOneASecond}});
  cluster.Burst(Requests("before", 4));
  const std::string holder = Holder(cluster);
  REQUIRE(!holder.empty());
  cluster.At(holder).Kill();
  cluster.Burst(Requests("after", kSeconds));
  CHECK(MostInWindow(cluster, "d1") <= kMostInWindow);
  CHECK(MostInWindow(cluster, "d1") > 0);
}

// Guards against a limit that outlasts its announcement.
TEST_CASE("the end of a limit is noticed and reaches all nodes") {
  FleetCluster cluster;
  StartAll(cluster);
  cluster.Faults("d1", {{"limit", kOneASecond}});
  cluster.Faults("d2", {{"limit", kOneASecond}});
  const auto limited = cluster.Burst(Requests("limited", 8));
  CHECK(MostInWindow(cluster, "d1") <= kMostInWindow);
  cluster.Faults("d1", {{"limit", 0}});
  cluster.Faults("d2", {{"limit", 0}});
  cluster.Burst(Requests("ending", 4));
  const auto calls = Requests("ended", 2);
  CHECK(Served(cluster.Burst(calls)) == static_cast<int>(calls.size()));
}

}  // namespace
}  // namespace rudderloom::tests
