// Clients and endpoints that read slowly or not at all, at a node of 160 MB.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for max
#include <csignal>    // for SIGSTOP
#include <cstdlib>    // for setenv

#include "process/fleet_cluster.hpp"   // for FleetCluster
#include "process/process_memory.hpp"  // for MemoryOf
#include "process/raw_caller.hpp"      // for RawCaller
#include "rudderloom/http/pause.hpp"   // for PauseFor

namespace rudderloom::tests {
namespace {

constexpr int kNodeMegabytes = 160;
constexpr std::int64_t kMaxMemoryKb = std::int64_t{kNodeMegabytes} * 1024 / 2;
constexpr int kSlowClients = 240;
constexpr std::size_t kAnswerBytes = 16 * 1024 * 1024;
constexpr int kClientsThatReadOn = 24;
constexpr int kOrdinaryRequests = 40;
constexpr int kEndlessAnswers = 24;
constexpr std::size_t kUploadBytes = 3 * 1024 * 1024;
constexpr std::size_t kUploadedBytes = 1024 * 1024;
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

  // Opens connections whose clients send a part of a request's body, or all of it if it is empty,
  // and don't read the answer.
  std::vector<std::unique_ptr<RawCaller>> OpenClients(const std::string& prefix,
                                                      int count,
                                                      std::size_t body_bytes = 0,
                                                      const std::string& part = "") {
    std::vector<std::unique_ptr<RawCaller>> clients;
    const std::string address = At("a").Address(0);
    for (int i = 0; i < count; ++i) {
      const std::string id = prefix + std::to_string(i);
      clients.push_back(std::make_unique<RawCaller>(address, SlowRequest(id, body_bytes, part)));
      Measure();
    }
    return clients;
  }

  // Reads an answer without keeping it, a piece at a time, whenever this waits for a response.
  Awaitable<void> ReadAndDiscard(std::string id) {
    constexpr Duration kReadInterval{5};
    tcp::socket socket(Context());
    co_await socket.async_connect(ParseAddress(At("a").Address(0)), kAsTuple);
    const std::string request = SlowRequest(id, 0, "");
    co_await asio::async_write(socket, asio::buffer(request), kAsTuple);
    std::vector<char> piece(64UL * 1024);
    while (true) {
      const auto [error, size] = co_await socket.async_read_some(asio::buffer(piece), kAsTuple);
      if (error) {
        co_return;
      }
      discarded_bytes_ += size;
      co_await PauseFor(Context(), kReadInterval);
    }
  }

  // Waits until all of these requests run at the service.
  bool WaitUntilRun(const std::string& prefix, int count) {
    return WaitUntil([&] {
      Measure();
      const auto runs = RunCounts();
      for (int i = 0; i < count; ++i) {
        if (!runs.contains(prefix + std::to_string(i))) {
          return false;
        }
      }
      return true;
    });
  }

  std::size_t DiscardedBytes() const { return discarded_bytes_; }

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
    calls.reserve(kOrdinaryRequests);
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
#ifndef __SANITIZE_ADDRESS__
    // The sanitizer's shadow memory and red zones are resident too, so only other builds check it.
    CHECK(most_.Total() < kMaxMemoryKb);
#endif
  }

 private:
  ProcessMemory most_;
  std::size_t discarded_bytes_ = 0;
};

// Guards against a node that fails because of what it holds for clients that don't read, in its
// own memory and in its sockets, and against others that wait behind them.
TEST_CASE("clients that don't read hold less than half of a node's memory, and others are served") {
  SlowCluster cluster;
  cluster.SetFaults("desk", {{"long_answers", kSlowClients}, {"answer_bytes", kAnswerBytes}});
  auto clients = cluster.OpenClients("slow", kSlowClients);
  // Some answers wait in the clients' own buffers and the node's socket alone.
  CHECK(cluster.WaitUntil(
      [&] {
        cluster.Measure();
        return cluster.MetricSum("a", "rudderloom_slow_readers") == kSlowClients;
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
    return cluster.MetricSum("a", "rudderloom_slow_readers") == 0;
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
  SlowCluster cluster;
  const auto clients =
      cluster.OpenClients("upload", kSlowClients, kUploadBytes, std::string(kUploadedBytes, 'x'));
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

// Guards against bounds that each hold for one kind of load and together exceed the memory.
TEST_CASE("slow readers, stalled uploads and answers that never end are bounded together") {
  SlowCluster cluster;
  cluster.SetFaults("desk", {{"endless_answers", 2 * kEndlessAnswers}});
  for (int i = 0; i < kEndlessAnswers; ++i) {
    cluster.Spawn(cluster.ReadAndDiscard("endless-read" + std::to_string(i)));
  }
  const auto endless = cluster.OpenClients("endless-unread", kEndlessAnswers);
  REQUIRE(cluster.WaitUntilRun("endless-read", kEndlessAnswers));
  REQUIRE(cluster.WaitUntilRun("endless-unread", kEndlessAnswers));
  cluster.SetFaults("desk", {{"long_answers", kSlowClients}, {"answer_bytes", kAnswerBytes}});
  const auto slow = cluster.OpenClients("slow", kSlowClients);
  REQUIRE(cluster.WaitUntilRun("slow", kSlowClients));
  // All are unread when the uploads begin.
  CHECK(cluster.WaitUntil(
      [&] {
        cluster.Measure();
        return cluster.MetricSum("a", "rudderloom_slow_readers") >= kSlowClients;
      },
      Duration(8'000)));
  const auto uploads =
      cluster.OpenClients("upload", kSlowClients, kUploadBytes, std::string(kUploadedBytes, 'x'));
  const std::size_t discarded = cluster.DiscardedBytes();
  cluster.CheckOthersServed("beside");
  // The answers that are read went on beside the others.
  CHECK(cluster.DiscardedBytes() > discarded);
  for (const auto& client : uploads) {
    const Received received = client->Receive(Duration(8'000));
    // The part that it did not read may have reset the connection.
    CHECK((!received.header || SaysNotRun(received.response.status)));
    cluster.Measure();
  }
  const auto runs = cluster.RunCounts();
  for (int i = 0; i < kSlowClients; ++i) {
    CHECK_FALSE(runs.contains("upload" + std::to_string(i)));
  }
  cluster.CheckOthersServed("after");
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
  calls.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    calls.push_back({"a", "/once/x", "large" + std::to_string(i), "", Duration(10 * i),
                     std::string(3 * 1024 * 1024, 'x')});
  }
  // Named, since a coroutine's captures live in its lambda.
  const auto measure = [&]() -> Awaitable<void> {
    Timer timer(cluster.Context());
    for (int i = 0; i < 50; ++i) {
      timer.expires_after(Duration(50));
      co_await timer.async_wait(kAsTuple);
      cluster.Measure();
    }
  };
  cluster.Spawn(measure());
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
