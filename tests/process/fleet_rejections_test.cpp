// Services that crash when they have to reject too many requests within a second.
#include <doctest/doctest.h>  // for TEST_CASE

#include "process/fleet_cluster.hpp"  // for FleetCluster

namespace rudderloom::tests {
namespace {

constexpr int kNodeCount = 12;
constexpr int kServiceCount = 6;
constexpr int kSlots = 4;
constexpr Duration kWork{250};
constexpr double kCapacity = 96.0;  // requests per second of all services together
constexpr std::int64_t kTolerated = 3;
// Crashes are counted from 3 s after the first announcement.
constexpr int kSettlingSeconds = 4;
constexpr int kMeasuredSeconds = 10;
// Two, and one for each ten services.
constexpr std::int64_t kMaxCrashes = 2;

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}

std::string ServiceName(int index) {
  return "d" + std::to_string(index);
}

void StartAll(FleetCluster& cluster, int stated_slots = kSlots) {
  cluster.Configure(1);
  for (int i = 0; i < kServiceCount; ++i) {
    cluster.StartPlainService(ServiceName(i), {.slots = stated_slots, .work = kWork});
    cluster.SetFaults(ServiceName(i), {{"room", kSlots}});
  }
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

void Announce(FleetCluster& cluster) {
  for (int i = 0; i < kServiceCount; ++i) {
    cluster.SetFaults(ServiceName(i), {{"tolerated", kTolerated}});
  }
}

// Requests at an even rate, sent to all nodes in turn.
std::vector<FleetRequest> MakeRequests(const std::string& name, double per_second, int seconds) {
  std::vector<FleetRequest> calls;
  const int count = static_cast<int>(per_second * seconds);
  for (int i = 0; i < count; ++i) {
    const Duration at(static_cast<Duration::rep>(1'000.0 * i / per_second));
    calls.push_back({NodeName(i % kNodeCount), "/safe/x", name + std::to_string(i), "", at});
  }
  return calls;
}

std::int64_t SumOf(FleetCluster& cluster, const char* statistic) {
  std::int64_t sum = 0;
  for (int i = 0; i < kServiceCount; ++i) {
    sum += cluster.Stats(ServiceName(i)).at(statistic).to_number<std::int64_t>();
  }
  return sum;
}

double ServedPerSecond(const std::map<std::string, Response>& responses, int seconds) {
  double served = 0;
  for (const auto& [id, response] : responses) {
    served += response.status == 200 ? 1.0 : 0.0;
  }
  return served / seconds;
}

// Offers a multiple of what the services can serve, from their announcement on.
double Play(FleetCluster& cluster, double load) {
  Announce(cluster);
  cluster.SendAll(MakeRequests("settling", load * kCapacity, kSettlingSeconds));
  return ServedPerSecond(
      cluster.SendAll(MakeRequests("measured", load * kCapacity, kMeasuredSeconds)),
      kMeasuredSeconds);
}

void CheckCrashes(FleetCluster& cluster, double served_per_second, double expected_per_second) {
  MESSAGE("crashes " << SumOf(cluster, "crashes") << ", rejections " << SumOf(cluster, "rejections")
                     << ", served per second " << served_per_second);
  CHECK(SumOf(cluster, "crashes") <= kMaxCrashes);
  CHECK(served_per_second > expected_per_second);
}

// Guards against many nodes that each take the same free slot within one second.
TEST_CASE("services that tolerate few rejections don't crash from an overload") {
  FleetCluster cluster;
  StartAll(cluster);
  const double served = Play(cluster, 1.4);
  CheckCrashes(cluster, served, kCapacity / 2);
}

// Guards against a crash whose requests crash the remaining services.
TEST_CASE("services that tolerate few rejections don't crash below their capacity") {
  FleetCluster cluster;
  StartAll(cluster);
  const double served = Play(cluster, 0.9);
  CheckCrashes(cluster, served, kCapacity / 2);
}

// Guards against trust in the slots that services state.
TEST_CASE("services that state more slots than they have don't crash") {
  constexpr int kStatedSlots = 16;
  FleetCluster cluster;
  StartAll(cluster, kStatedSlots);
  const double served = Play(cluster, 1.4);
  CheckCrashes(cluster, served, kCapacity / 2);
}

// Guards against nodes that send by their own judgment while they can ask nobody.
TEST_CASE("services that tolerate few rejections don't crash when the lease holder is killed") {
  FleetCluster cluster;
  StartAll(cluster);
  Play(cluster, 1.4);
  const std::int64_t before = SumOf(cluster, "crashes");
  const std::string holder = cluster.LeaseHolder();
  REQUIRE(!holder.empty());
  cluster.At(holder).Kill();
  cluster.SendAll(MakeRequests("without", 1.4 * kCapacity, kMeasuredSeconds));
  const double served = ServedPerSecond(
      cluster.SendAll(MakeRequests("after", 1.4 * kCapacity, kMeasuredSeconds)), kMeasuredSeconds);
  CHECK(before <= kMaxCrashes);
  // The requests of the killed node are lost.
  CheckCrashes(cluster, served, kCapacity / 2 * (kNodeCount - 1) / kNodeCount);
}

}  // namespace
}  // namespace rudderloom::tests
