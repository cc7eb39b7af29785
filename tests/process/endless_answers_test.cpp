// Endpoints whose answers never end.
#include <doctest/doctest.h>  // for TEST_CASE

#include <cstdlib>  // for setenv
#include <fstream>  // for ifstream

#include "process/fleet_cluster.hpp"  // for FleetCluster

namespace rudderloom::tests {
namespace {

constexpr int kEndlessAnswers = 4;
constexpr int kSoundRequests = 20;
// What a node may use in all.
constexpr long kMaxMemoryKb = 128 * 1024;

// Peak resident memory of a process, in KB.
long PeakMemoryOf(int process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stol(line.substr(line.find(':') + 1));
    }
  }
  return 0;
}

// Guards against a node that keeps answers whole in memory, however long they are.
TEST_CASE("answers that never end don't fill a node's memory, and others are served") {
  // Address sanitizer would keep what is freed.
  ::setenv("ASAN_OPTIONS", "quarantine_size_mb=8", 1);
  FleetCluster cluster;
  cluster.Configure(1);
  cluster.StartPlainService("endless", {.slots = 2 * kEndlessAnswers});
  cluster.StartFleetNode("a");
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Send({"a", "/safe/x", "warm", ""}).status == 200;
  }));
  const long before = PeakMemoryOf(cluster.At("a").ProcessId());
  cluster.SetFaults("endless", {{"endless_answers", kEndlessAnswers}});
  std::vector<FleetRequest> calls;
  calls.reserve(kEndlessAnswers + kSoundRequests);
  for (int i = 0; i < kEndlessAnswers; ++i) {
    calls.push_back({"a", "/once/x", "endless" + std::to_string(i), ""});
  }
  for (int i = 0; i < kSoundRequests; ++i) {
    calls.push_back({"a", "/safe/x", "sound" + std::to_string(i), "", Duration(500 + 100 * i)});
  }
  const auto responses = cluster.SendAll(calls);
  const long peak = PeakMemoryOf(cluster.At("a").ProcessId());
  MESSAGE("peak memory " << before << " KB before, " << peak << " KB after");
  CHECK(peak - before <= kMaxMemoryKb);
  for (const FleetRequest& call : calls) {
    CAPTURE(call.id);
    const bool endless = call.path == "/once/x";
    // An answer without end is never complete for the client.
    CHECK((responses.at(call.id).status == 200) == !endless);
  }
}

}  // namespace
}  // namespace rudderloom::tests
