// A call that crashes every service that starts to run it, through nodes on rudderloom's own
// interface. Guards against a retry policy that judges each attempt by itself: it sends such a call
// to another endpoint up to four times for each attempt of the caller, at each node.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for count_if

#include "process/cluster.hpp"  // for Cluster

namespace rudderloom::tests {
namespace {

constexpr int kDeskCount = 8;
constexpr Duration kPropagationLimit{3'000};
constexpr int kMaxLateCrashes = 3;
constexpr Duration kSendTimeAfterThirdCrash{7'000};
constexpr Duration kRestartDelay{500};

std::string DeskName(int index) {
  return "desk" + std::to_string(index);
}

// Sends such a call through two nodes in turn, restarts the services that it crashes, and checks
// how long it goes on.
void CheckSoonQuarantined(int desk_count,
                          std::int64_t exit_delay_ms,
                          const HeaderList& headers = {}) {
  Cluster cluster;
  cluster.StartPlatform();
  const auto start_desk = [&](int index) {
    cluster.StartService(DeskName(index), "desk");
    cluster.SetFaults(DeskName(index), {{"exit_delay_ms", exit_delay_ms}});
  };
  for (int i = 0; i < desk_count; ++i) {
    start_desk(i);
  }
  cluster.StartNode("n1");
  cluster.StartNode("n2");
  cluster.Apply("n1", "set", kDeclarations);
  const std::vector<std::string> nodes{"n1", "n2"};
  const auto call = [&](const std::string& node, const std::string& path) {
    return cluster.Call(cluster.At(node).Address(), "/services/desk" + path, {}, headers, "GET");
  };
  for (const std::string& node : nodes) {
    REQUIRE(cluster.WaitUntil([&] { return call(node, "/slots").status == 200; }));
  }
  std::map<int, TimePoint> down_since;
  std::vector<TimePoint> crash_times;
  std::size_t attempts = 0;
  Response last;
  const auto send = [&] {
    last = call(nodes[attempts++ % nodes.size()], "/end");
    for (int i = 0; i < desk_count; ++i) {
      if (!down_since.contains(i) && cluster.At(DeskName(i)).Wait(Duration(0)) != -1) {
        down_since[i] = Now();
        crash_times.push_back(Now());
      }
      if (down_since.contains(i) && Now() - down_since[i] >= kRestartDelay) {
        down_since.erase(i);
        start_desk(i);
      }
    }
    return crash_times.size() >= 3;
  };
  REQUIRE(cluster.WaitUntil(send));
  const TimePoint third_crash = crash_times[2];
  cluster.WaitUntil(
      [&] {
        send();
        return false;
      },
      kSendTimeAfterThirdCrash);
  const auto late_crashes =
      std::count_if(crash_times.begin(), crash_times.end(),
                    [&](TimePoint crash) { return crash - third_crash > kPropagationLimit; });
  CHECK(late_crashes <= kMaxLateCrashes);
  CHECK(last.status == 502);
  CHECK(last.Json()["reason"] == "quarantined");
  CHECK(last.Json()["ran"] == "unknown");
  for (const std::string& node : nodes) {
    CHECK(cluster.WaitUntil([&] { return call(node, "/slots").status == 200; }));
  }
}

TEST_CASE("a call that crashes services is soon quarantined on every node") {
  CheckSoonQuarantined(kDeskCount, 0);
}

// Guards against crashes that are missed when a process still listens as its connections break.
TEST_CASE("a call that crashes services slowly is soon quarantined on every node") {
  CheckSoonQuarantined(kDeskCount, 150);
}

// Guards against crashes of one service under the same name that are counted as one.
TEST_CASE("a call that crashes the only endpoint of a service is soon quarantined") {
  // A call that waits for the endpoint gives up before the test restarts it.
  CheckSoonQuarantined(1, 0, {{"X-Request-Timeout", "600ms"}});
}

}  // namespace
}  // namespace rudderloom::tests
