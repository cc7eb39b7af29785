// A load balancer that hands most new connections to one node, and then to another.
#include <doctest/doctest.h>  // for TEST_CASE

#include "process/fleet_cluster.hpp"  // for FleetCluster

namespace rudderloom::tests {
namespace {

constexpr int kNodeCount = 6;
constexpr int kServiceCount = 6;
constexpr int kPhaseMs = 4'000;
constexpr int kUsualIntervalMs = 8;
// Clients open connections more often meanwhile.
constexpr int kRushIntervalMs = 4;
// One of so many connections goes to another node.
constexpr int kOthersShare = 10;
constexpr double kMinServedShare = 0.75;

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}

double ServedShare(const std::map<std::string, Response>& responses, const std::string& phase) {
  int sent = 0;
  int served = 0;
  for (const auto& [id, response] : responses) {
    if (id.starts_with(phase)) {
      ++sent;
      served += response.status == 200 ? 1 : 0;
    }
  }
  return static_cast<double>(served) / sent;
}

// Guards against a node that can't bear most of its zone's connections.
TEST_CASE("a node that gets most new connections serves them") {
  FleetCluster cluster;
  cluster.Configure(1);
  for (int i = 0; i < kServiceCount; ++i) {
    cluster.StartPlainService("d" + std::to_string(i), {.work = Duration(20)});
  }
  for (int i = 0; i < kNodeCount; ++i) {
    cluster.StartFleetNode(NodeName(i));
  }
  for (int i = 0; i < kNodeCount; ++i) {
    REQUIRE(cluster.WaitUntil([&] {
      return cluster.Send({NodeName(i), "/safe/x", "warm" + std::to_string(i), ""}).status == 200;
    }));
  }
  std::vector<FleetRequest> calls;
  calls.reserve(kPhaseMs / kUsualIntervalMs + 2 * kPhaseMs / kRushIntervalMs);
  int number = 0;
  for (int at = 0; at < kPhaseMs; at += kUsualIntervalMs) {
    const std::string id = "usual" + std::to_string(++number);
    calls.push_back({NodeName(number % kNodeCount), "/safe/x", id, "", Duration(at)});
  }
  for (int at = kPhaseMs; at < 3 * kPhaseMs; at += kRushIntervalMs) {
    const bool first_rush = at < 2 * kPhaseMs;
    const std::string id = (first_rush ? "first" : "second") + std::to_string(++number);
    const int favored = first_rush ? 0 : 1;
    const int node = number % kOthersShare == 0 ? number / kOthersShare % kNodeCount : favored;
    calls.push_back({NodeName(node), "/safe/x", id, "", Duration(at)});
  }
  const auto responses = cluster.SendAll(calls);
  const double usual = ServedShare(responses, "usual");
  MESSAGE("served " << usual << " before, " << ServedShare(responses, "first") << " and "
                    << ServedShare(responses, "second") << " while most go to one node");
  CHECK(usual > 0.0);
  for (const char* phase : {"first", "second"}) {
    CAPTURE(phase);
    CHECK(ServedShare(responses, phase) >= kMinServedShare * usual);
  }
}

}  // namespace
}  // namespace rudderloom::tests
