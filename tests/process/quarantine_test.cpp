// A call that ends every service that begins to run it, through nodes on our own interface.
//
// A retry policy that judges each attempt by itself sends such a call to another endpoint up to
// four times, for each try of its caller, at each node.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for count_if

#include "process/cluster.hpp"  // for Cluster

namespace rudderloom::tests {
namespace {

constexpr int kDesks = 8;
constexpr Duration kKnownWithin{3'000};
constexpr int kMostLater = 3;
constexpr Duration kSentAfterThird{7'000};
constexpr Duration kBackAfter{500};

std::string Desk(int index) {
  return "desk" + std::to_string(index);
}

TEST_CASE("a call that ends services is soon sent to none, by any node") {
  Cluster cluster;
  cluster.StartPlatform();
  for (int i = 0; i < kDesks; ++i) {
    cluster.StartService(Desk(i), "desk");
  }
  cluster.StartNode("n1");
  cluster.StartNode("n2");
  cluster.Apply("n1", "set", kDeclarations);
  const std::vector<std::string> nodes{"n1", "n2"};
  const auto call = [&](const std::string& node, const std::string& path) {
    return cluster.Call(cluster.At(node).Address(), "/services/desk" + path, {}, {}, "GET");
  };
  for (const std::string& node : nodes) {
    REQUIRE(cluster.Until([&] { return call(node, "/slots").status == 200; }));
  }
  std::map<int, TimePoint> gone;
  std::vector<TimePoint> ends;
  std::size_t tries = 0;
  Answer last;
  const auto send = [&] {
    last = call(nodes[tries++ % nodes.size()], "/end");
    for (int i = 0; i < kDesks; ++i) {
      if (!gone.contains(i) && cluster.At(Desk(i)).Wait(Duration(0)) != -1) {
        gone[i] = Now();
        ends.push_back(Now());
      }
      if (gone.contains(i) && Now() - gone[i] >= kBackAfter) {
        gone.erase(i);
        cluster.StartService(Desk(i), "desk");
      }
    }
    return ends.size() >= 3;
  };
  REQUIRE(cluster.Until(send));
  const TimePoint third = ends[2];
  cluster.Until(
      [&] {
        send();
        return false;
      },
      kSentAfterThird);
  const auto later = std::count_if(ends.begin(), ends.end(),
                                   [&](TimePoint end) { return end - third > kKnownWithin; });
  CHECK(later <= kMostLater);
  CHECK(last.status == 502);
  CHECK(last.Json()["reason"] == "quarantined");
  CHECK(last.Json()["ran"] == "unknown");
  for (const std::string& node : nodes) {
    CHECK(cluster.Until([&] { return call(node, "/slots").status == 200; }));
  }
}

}  // namespace
}  // namespace rudderloom::tests
