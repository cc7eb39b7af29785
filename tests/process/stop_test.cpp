// Nodes that are stopped while requests outlast the time that the platform gives them.
#include <doctest/doctest.h>  // for TEST_CASE

#include <csignal>  // for SIGTERM, SIGSTOP
#include <cstdlib>  // for setenv
#include <future>   // for async
#include <thread>   // for thread

#include "process/fleet_cluster.hpp"  // for FleetCluster

namespace rudderloom::tests {
namespace {

// What the program ends with when it had to cut requests, and what a sanitizer ends it with.
constexpr int kRequestsCut = 1;
constexpr const char* kSanitizerStatus = "exitcode=99";

// Guards against suspended requests that are destroyed after what they refer to.
TEST_CASE("a node that is stopped with requests under way cuts them and ends without a crash") {
  ::setenv("ASAN_OPTIONS", kSanitizerStatus, 0);
  FleetCluster cluster;
  cluster.Configure(1);
  cluster.StartPlain("d1");
  cluster.StartEngine("e1", "m,n");
  cluster.StartFleetNode("a");
  REQUIRE(cluster.Until([&] { return cluster.Ready("a") == 200; }));
  REQUIRE(cluster.Until([&] {
    return cluster.Send({"a", "/safe/x", "warm", ""}).status == 200 &&
           cluster.Send({"a", "/stream/x", "warm-model", "m"}).status == 200;
  }));
  cluster.At("d1").Signal(SIGSTOP);
  cluster.At("e1").Signal(SIGSTOP);
  std::thread stop([&cluster] {
    std::this_thread::sleep_for(Duration(600));
    cluster.At("a").Signal(SIGTERM);
  });
  std::vector<FleetCall> calls;
  for (int i = 0; i < 6; ++i) {
    const std::string number = std::to_string(i);
    const Duration at(300 + i * 40);
    calls.push_back({"a", "/once/x", "once" + number, "", at});
    calls.push_back({"a", "/stream/x", "stream" + number, "m", at});
  }
  cluster.Burst(calls);
  stop.join();
  CHECK(cluster.At("a").Wait(Duration(6'000)) == kRequestsCut);
}

// Starts a node, then suspends its only endpoint so that requests get no answer.
void StartWithSuspendedEndpoint(FleetCluster& cluster) {
  cluster.Configure(1);
  cluster.StartPlain("d1");
  cluster.StartFleetNode("a");
  REQUIRE(cluster.Until([&] { return cluster.Ready("a") == 200; }));
  REQUIRE(cluster.Until([&] { return cluster.Send({"a", "/safe/x", "warm", ""}).status == 200; }));
  cluster.At("d1").Signal(SIGSTOP);
}

std::vector<FleetCall> CallsToSuspendedEndpoint() {
  std::vector<FleetCall> calls;
  for (int i = 0; i < 6; ++i) {
    const std::string number = std::to_string(i);
    calls.push_back({"a", "/once/x", "once" + number, ""});
    calls.push_back({"a", "/safe/x", "safe" + number, ""});
  }
  return calls;
}

// Guards against a signal that ends the process during a planned stop.
TEST_CASE("further signals during a planned stop cut no requests") {
  FleetCluster cluster;
  cluster.Configure(1);
  cluster.StartPlain("d1");
  cluster.StartEngine("e1", "m,n");
  cluster.StartFleetNode("a");
  REQUIRE(cluster.Until([&] { return cluster.Ready("a") == 200; }));
  REQUIRE(cluster.Until([&] {
    return cluster.Send({"a", "/stream/x", "warm", "m"}).status == 200;
  }));
  cluster.At("a").Signal(SIGTERM);
  REQUIRE(cluster.Until([&] { return cluster.Ready("a") == 503; }));
  cluster.At("a").Signal(SIGHUP);
  cluster.At("a").Signal(SIGTERM);
  for (int i = 0; i < 5; ++i) {
    const std::string id = "s" + std::to_string(i);
    CHECK(cluster.Send({"a", "/stream/x", id, "m"}).body == WholeStream(id, "m"));
  }
  CHECK(cluster.At("a").Wait(Duration(6'000)) == 0);
}

// Guards against connections closed without an answer at the end of a planned stop.
TEST_CASE("requests that arrive during a planned stop are answered before its end") {
  FleetCluster cluster;
  StartWithSuspendedEndpoint(cluster);
  cluster.At("a").Signal(SIGTERM);
  REQUIRE(cluster.Until([&] { return cluster.Ready("a") == 503; }));
  for (const auto& [id, answer] : cluster.Burst(CallsToSuspendedEndpoint())) {
    CHECK(answer.status == 504);
  }
  CHECK(cluster.At("a").Wait(Duration(6'000)) == 0);
}

// Guards against the same for requests that were in flight before the stop.
TEST_CASE("requests that outlast a planned stop are answered when they are cut") {
  FleetCluster cluster;
  StartWithSuspendedEndpoint(cluster);
  std::thread stop([&cluster] {
    std::this_thread::sleep_for(Duration(500));
    cluster.At("a").Signal(SIGTERM);
  });
  for (const auto& [id, answer] : cluster.Burst(CallsToSuspendedEndpoint())) {
    CHECK(answer.status == 504);
  }
  stop.join();
  CHECK(cluster.At("a").Wait(Duration(6'000)) == kRequestsCut);
}

// Guards against the same on our own interface.
TEST_CASE("a node of our own interface cuts calls that outlast its stop and ends without a crash") {
  ::setenv("ASAN_OPTIONS", kSanitizerStatus, 0);
  Cluster cluster;
  cluster.StartPlatform();
  cluster.StartEndpoint("ep1");
  cluster.StartNode("n1", {{"stop_notice", "200ms"}, {"stop_time", "500ms"}});
  cluster.Apply("n1", "set", kDeclarations);
  const std::string node = cluster.At("n1").Address();
  REQUIRE(cluster.Until([&] {
    const std::string metrics = cluster.Call(node, "/metrics").body;
    return metrics.find("serving_endpoints{model=\"m\"} 1\n") != std::string::npos;
  }));
  cluster.At("ep1").Signal(SIGSTOP);
  const std::string prompt = R"({"model": "m", "prompt": "hello", "max_tokens": 30})";
  constexpr std::size_t kCalls = 6;
  std::vector<std::future<Answer>> answers;
  answers.reserve(kCalls);
  for (std::size_t i = 0; i < kCalls; ++i) {
    answers.push_back(std::async(std::launch::async, [&] {
      Cluster other;
      return other.Call(node, "/v1/completions", prompt);
    }));
  }
  std::this_thread::sleep_for(Duration(300));
  cluster.At("n1").Signal(SIGTERM);
  CHECK(cluster.At("n1").Wait(Duration(8'000)) == kRequestsCut);
  for (auto& answer : answers) {
    CHECK(answer.get().status != 200);
  }
}

}  // namespace
}  // namespace rudderloom::tests
