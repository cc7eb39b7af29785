// Clients and endpoints that read slowly or not at all, at a node of 160 MB.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max
#include <csignal>    // for SIGSTOP
#include <cstdlib>    // for setenv

#include "process/fleet_cluster.hpp"   // for FleetCluster
#include "process/process_memory.hpp"  // for MemoryOf
#include "process/raw_caller.hpp"      // for RawCaller

namespace rudderloom::tests {
namespace {

constexpr int kNodeMegabytes = 160;
constexpr std::int64_t kMaxMemoryKb = std::int64_t{kNodeMegabytes} * 1024 / 2;
constexpr int kSlowClients = 240;
constexpr std::size_t kAnswerBytes = 16 * 1024 * 1024;
constexpr int kClientsThatReadOn = 24;
constexpr int kOrdinaryRequests = 40;
constexpr Duration kReadTimeout{60'000};
constexpr unsigned kUnavailable = 503;

bool SaysNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == kUnavailable;
}

std::string SlowRequest(const std::string& id, std::size_t body_bytes, const std::string& body) {
  return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 50000\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         body;
}

double Gauge(const std::string& metrics, const std::string& name) {
  const std::size_t at = metrics.find("\n" + name + " ");
  return at == std::string::npos ? 0.0 : std::stod(metrics.substr(at + name.size() + 2));
}

// A node of 160 MB and a service of which it forwards answers.
class SlowCluster : public FleetCluster {
 public:
  SlowCluster() {
    // Address sanitizer would keep what is freed.
    ::setenv("ASAN_OPTIONS", "quarantine_size_mb=8", 1);
    SetRouteTimeout(Duration(50'000));
    SetNodeMemory(kNodeMegabytes);
    Configure(1);
    StartPlainService("desk", {.slots = 2 * kSlowClients});
    StartFleetNode("a");
    REQUIRE(WaitUntil([&] { return Send({"a", "/safe/x", "warm", ""}).status == 200; }));
  }

  ProcessMemory Measure() {
    const ProcessMemory memory = MemoryOf(At("a").ProcessId());
    if (memory.Total() > most_.Total()) {
      most_ = memory;
    }
    return memory;
  }

  // Sends requests of ordinary size and checks that all are served.
  void CheckOthersServed(const std::string& prefix) {
    std::vector<FleetRequest> calls;
    for (int i = 0; i < kOrdinaryRequests; ++i) {
      calls.push_back({"a", "/safe/x", prefix + std::to_string(i), "", Duration(20 * i)});
    }
    const TimePoint start = Now();
    const auto responses = SendAll(calls);
    const auto took = Between(start, Now());
    MESSAGE("others took " << took.count() << " ms");
    CHECK(took < Duration(5'000));
    // Clang captures no structured bindings, so the messages take their own copies.
    for (const auto& entry : responses) {
      const std::string& id = entry.first;
      CAPTURE(id);
      CHECK(entry.second.status == 200);
    }
    Measure();
  }

  void CheckMemory() {
    MESSAGE("most: " << most_.resident << " KB resident, " << most_.received << " KB received, "
                     << most_.sending << " KB sending");
    CHECK(most_.Total() < kMaxMemoryKb);
  }

 private:
  ProcessMemory most_;
};

// Guards against a node that fails because of what it holds for clients that don't read, in its
// own memory and in its sockets, and against others that wait behind them.
TEST_CASE("clients that don't read hold less than half of a node's memory, and others are served") {
  SlowCluster cluster;
  cluster.SetFaults("desk", {{"long_answers", kSlowClients}, {"answer_bytes", kAnswerBytes}});
  std::vector<std::unique_ptr<RawCaller>> clients;
  const std::string address = cluster.At("a").Address(0);
  for (int i = 0; i < kSlowClients; ++i) {
    clients.push_back(
        std::make_unique<RawCaller>(address, SlowRequest("slow" + std::to_string(i), 0, "")));
  }
  // Some answers wait in the clients' own buffers and the node's socket alone.
  CHECK(cluster.WaitUntil(
      [&] {
        cluster.Measure();
        return Gauge(cluster.Metrics("a"), "rudderloom_slow_readers") == kSlowClients;
      },
      Duration(8'000)));
  cluster.CheckOthersServed("beside");
  int whole = 0;
  for (int i = 0; i < kClientsThatReadOn; ++i) {
    const Received received = clients[i]->Receive(kReadTimeout);
    REQUIRE(received.response.status == 200);
    whole += received.complete ? 1 : 0;
    CHECK(received.complete == (received.response.body.size() == kAnswerBytes));
    clients[i].reset();
    cluster.Measure();
  }
  MESSAGE("whole answers: " << whole);
  CHECK(whole > 0);
  CHECK(cluster.WaitUntil([&] {
    cluster.Measure();
    return Gauge(cluster.Metrics("a"), "rudderloom_slow_readers") == 0;
  }));
  for (int i = kClientsThatReadOn; i < kSlowClients; ++i) {
    const Received received = clients[i]->Receive(kReadTimeout);
    CHECK_FALSE(SaysNotRun(received.response.status));
    CHECK(received.complete == (received.response.body.size() == kAnswerBytes));
  }
  // None was sent to an endpoint again after its client had received a part of the answer.
  auto runs = cluster.RunCounts();
  for (int i = 0; i < kSlowClients; ++i) {
    CHECK(runs["slow" + std::to_string(i)] == 1);
  }
  cluster.CheckOthersServed("after");
  cluster.CheckMemory();
}

// Guards against bodies that are each allowed and fill the node's memory together.
TEST_CASE("request bodies that are sent slowly are bounded, and others are served") {
  constexpr std::size_t kBodyBytes = 3 * 1024 * 1024;
  SlowCluster cluster;
  std::vector<std::unique_ptr<RawCaller>> clients;
  const std::string address = cluster.At("a").Address(0);
  const std::string part(1024 * 1024, 'x');
  for (int i = 0; i < kSlowClients; ++i) {
    clients.push_back(std::make_unique<RawCaller>(
        address, SlowRequest("upload" + std::to_string(i), kBodyBytes, part)));
    cluster.Measure();
  }
  cluster.CheckOthersServed("beside");
  for (const auto& client : clients) {
    const Received received = client->Receive(Duration(8'000));
    // The part that it did not read may have reset the connection.
    CHECK((!received.header || SaysNotRun(received.response.status)));
  }
  const auto runs = cluster.RunCounts();
  for (int i = 0; i < kSlowClients; ++i) {
    CHECK_FALSE(runs.contains("upload" + std::to_string(i)));
  }
  cluster.CheckMemory();
}

// Guards against requests that wait for an endpoint to read them and fill the node's memory, and
// against one that is said not to have run and runs later.
TEST_CASE("requests are bounded while endpoints read no requests") {
  constexpr int kRequests = 60;
  SlowCluster cluster;
  cluster.SetRouteTimeout(Duration(5'000));
  cluster.Configure(2);
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Send({"a", "/added/x", "configured", ""}).status == 200;
  }));
  cluster.At("desk").Signal(SIGSTOP);
  std::vector<FleetRequest> calls;
  for (int i = 0; i < kRequests; ++i) {
    calls.push_back({"a", "/once/x", "large" + std::to_string(i), "", Duration(10 * i),
                     std::string(3 * 1024 * 1024, 'x')});
  }
  cluster.Spawn([&]() -> Awaitable<void> {
    Timer timer(cluster.Context());
    for (int i = 0; i < 50; ++i) {
      timer.expires_after(Duration(50));
      co_await timer.async_wait(kAsTuple);
      cluster.Measure();
    }
  }());
  const auto responses = cluster.SendAll(calls);
  cluster.At("desk").Signal(SIGCONT);
  CHECK(cluster.WaitUntil([&] {
    return cluster.Send({"a", "/safe/x", "late", ""}).status == 200;
  }));
  const auto runs = cluster.RunCounts();
  int refused = 0;
  for (const auto& entry : responses) {
    const std::string& id = entry.first;
    const Response& response = entry.second;
    CAPTURE(id);
    CAPTURE(response.status);
    refused += SaysNotRun(response.status) ? 1 : 0;
    CHECK((!SaysNotRun(response.status) || !runs.contains(id)));
  }
  MESSAGE("refused: " << refused);
  CHECK(refused > 0);
  cluster.CheckMemory();
}

}  // namespace
}  // namespace rudderloom::tests
