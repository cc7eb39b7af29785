// Nodes that are stopped while requests outlast the time that the platform allows for a stop.
#include <doctest/doctest.h>  // for TEST_CASE

#include <csignal>   // for SIGTERM, SIGSTOP
#include <cstdlib>   // for setenv
#include <future>    // for async
#include <iterator>  // for size
#include <map>       // for map
#include <thread>    // for thread

#include "process/fleet_cluster.hpp"  // for FleetCluster
#include "process/raw_caller.hpp"     // for RawCaller

namespace rudderloom::tests {
namespace {

// Exit status of a node that had to cut requests, and sanitizer options for a different one.
constexpr int kRequestsCut = 1;
constexpr const char* kSanitizerOptions = "exitcode=99";

// Guards against suspended requests that are destroyed after the objects that they refer to.
TEST_CASE("a node that is stopped with requests in flight cuts them and exits without a crash") {
  ::setenv("ASAN_OPTIONS", kSanitizerOptions, 0);
  FleetCluster cluster;
  cluster.Configure(1);
  cluster.StartPlainService("d1");
  cluster.StartEngine("e1", "m,n");
  cluster.StartFleetNode("a");
  REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus("a") == 200; }));
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Send({"a", "/safe/x", "warm", ""}).status == 200 &&
           cluster.Send({"a", "/stream/x", "warm-model", "m"}).status == 200;
  }));
  cluster.At("d1").Signal(SIGSTOP);
  cluster.At("e1").Signal(SIGSTOP);
  std::thread stop([&cluster] {
    std::this_thread::sleep_for(Duration(600));
    cluster.At("a").Signal(SIGTERM);
  });
  std::vector<FleetRequest> calls;
  for (int i = 0; i < 6; ++i) {
    const std::string number = std::to_string(i);
    const Duration at(300 + i * 40);
    calls.push_back({"a", "/once/x", "once" + number, "", at});
    calls.push_back({"a", "/stream/x", "stream" + number, "m", at});
  }
  cluster.SendAll(calls);
  stop.join();
  CHECK(cluster.At("a").Wait(Duration(6'000)) == kRequestsCut);
}

// Starts a node, then suspends its only endpoint so that requests get no answer.
void StartWithSuspendedEndpoint(FleetCluster& cluster) {
  cluster.Configure(1);
  cluster.StartPlainService("d1");
  cluster.StartFleetNode("a");
  REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus("a") == 200; }));
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Send({"a", "/safe/x", "warm", ""}).status == 200;
  }));
  cluster.At("d1").Signal(SIGSTOP);
}

std::vector<FleetRequest> CallsToSuspendedEndpoint() {
  std::vector<FleetRequest> calls;
  for (int i = 0; i < 6; ++i) {
    const std::string number = std::to_string(i);
    calls.push_back({"a", "/once/x", "once" + number, ""});
    calls.push_back({"a", "/safe/x", "safe" + number, ""});
  }
  return calls;
}

// Guards against a further signal that terminates the process during a planned stop.
TEST_CASE("further signals during a planned stop cut no requests") {
  FleetCluster cluster;
  cluster.Configure(1);
  cluster.StartPlainService("d1");
  cluster.StartEngine("e1", "m,n");
  cluster.StartFleetNode("a");
  REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus("a") == 200; }));
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Send({"a", "/stream/x", "warm", "m"}).status == 200;
  }));
  cluster.At("a").Signal(SIGTERM);
  REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus("a") == 503; }));
  cluster.At("a").Signal(SIGHUP);
  cluster.At("a").Signal(SIGTERM);
  for (int i = 0; i < 5; ++i) {
    const std::string id = "s" + std::to_string(i);
    CHECK(cluster.Send({"a", "/stream/x", id, "m"}).body == ExpectedStream(id, "m"));
  }
  CHECK(cluster.At("a").Wait(Duration(6'000)) == 0);
}

// Guards against connections closed without an answer at the end of a planned stop.
TEST_CASE("requests that arrive during a planned stop are answered before its end") {
  FleetCluster cluster;
  StartWithSuspendedEndpoint(cluster);
  cluster.At("a").Signal(SIGTERM);
  REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus("a") == 503; }));
  for (const auto& [id, response] : cluster.SendAll(CallsToSuspendedEndpoint())) {
    CHECK(response.status == 504);
  }
  CHECK(cluster.At("a").Wait(Duration(6'000)) == 0);
}

// Guards against closed connections without an answer for requests that were in flight before the
// stop.
TEST_CASE("requests that outlast a planned stop are answered when they are cut") {
  FleetCluster cluster;
  StartWithSuspendedEndpoint(cluster);
  std::thread stop([&cluster] {
    std::this_thread::sleep_for(Duration(500));
    cluster.At("a").Signal(SIGTERM);
  });
  for (const auto& [id, response] : cluster.SendAll(CallsToSuspendedEndpoint())) {
    CHECK(response.status == 504);
  }
  stop.join();
  CHECK(cluster.At("a").Wait(Duration(6'000)) == kRequestsCut);
}

// Guards against connections closed on requests that were received in part.
TEST_CASE("a request received in part is refused at the end of a planned stop") {
  FleetCluster cluster;
  StartWithSuspendedEndpoint(cluster);
  RawCaller caller(cluster.At("a").Address(),
                   "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n\r\nbo");
  // Connections are accepted in turn, so the node has this one once it has answered on a later one.
  REQUIRE(cluster.ReadyStatus("a") == 200);
  cluster.At("a").Signal(SIGTERM);
  const Received received = caller.Receive(Duration(6'000));
  INFO(received.Text());
  CHECK(received.complete);
  CHECK(received.response.status == 503);
  CHECK(cluster.At("a").Wait(Duration(6'000)) == 0);
}

// A request as a client sends it, with the deadline that it states.
std::string FleetRequestBytes(const std::string& path,
                              const std::string& id,
                              const std::string& model,
                              Duration deadline) {
  std::string headers = "Host: h.example\r\nRequest-Id: " + id +
                        "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\n";
  if (!model.empty()) {
    headers += "Model: " + model + "\r\nToken-Count: 10,40\r\nPrompt-Prefix: ab:6,cd:4\r\n";
  }
  return "POST " + path + " HTTP/1.1\r\n" + headers + "Content-Length: 4\r\n\r\nbody";
}

// Guards against streams that a stopping node starts too late and cuts at the end of its stop.
TEST_CASE("a request on a connection kept by a stream is served whole or refused during a stop") {
  constexpr Duration kEventTime{430};
  constexpr Duration kDeadline{5'000};
  constexpr Duration kShortDeadline{400};
  FleetCluster cluster;
  cluster.Configure(1);
  cluster.StartPlainService("d1");
  cluster.StartEngine("e1", "m,n", 8, kEventTime);
  cluster.StartFleetNode("a");
  REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus("a") == 200; }));
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Send({"a", "/safe/x", "warm", ""}).status == 200 &&
           cluster.Send({"a", "/stream/x", "warm-model", "m"}).status == 200;
  }));
  const std::string node = cluster.At("a").Address();
  RawCaller streaming(node, FleetRequestBytes("/stream/x", "first-0", "m", kDeadline));
  RawCaller plain(node, FleetRequestBytes("/stream/x", "first-1", "m", kDeadline));
  RawCaller unsafe(node, FleetRequestBytes("/stream/x", "first-2", "m", kDeadline));
  for (RawCaller* caller : {&streaming, &plain, &unsafe}) {
    REQUIRE(caller->ReceiveText("first-"));
  }
  // The streams have begun, and end after the node has stopped to accept connections.
  cluster.At("a").Signal(SIGTERM);
  for (RawCaller* caller : {&streaming, &plain, &unsafe}) {
    CHECK(caller->Receive(kDeadline).complete);
  }
  CHECK_FALSE(Accepts(node));
  streaming.Send(FleetRequestBytes("/stream/x", "late-stream", "m", kDeadline));
  plain.Send(FleetRequestBytes("/safe/x", "late-safe", "", kShortDeadline));
  unsafe.Send(FleetRequestBytes("/once/x", "late-once", "", kDeadline));
  const Received refused_stream = streaming.Receive(kDeadline);
  const Received served = plain.Receive(kDeadline);
  const Received refused_once = unsafe.Receive(kDeadline);
  for (const Received& refused : {refused_stream, refused_once}) {
    INFO(refused.Text());
    CHECK(refused.complete);
    CHECK(refused.response.status == 503);
    CHECK(refused.response.Header("Connection") == "close");
    CHECK_FALSE(refused.response.Header("Retry-After").empty());
  }
  CHECK(served.complete);
  CHECK(served.response.status == 200);
  const auto runs = cluster.RunCounts();
  CHECK_FALSE(runs.contains("late-stream"));
  CHECK_FALSE(runs.contains("late-once"));
  CHECK(cluster.At("a").Wait(Duration(6'000)) == 0);
}

// What a client's request came to.
struct ClientRequest {
  std::string id;
  TimePoint sent_at;
  Received received;
};

ClientRequest SendOn(RawCaller& caller,
                     const std::string& path,
                     const std::string& id,
                     Duration deadline) {
  ClientRequest request{id, Now(), {}};
  caller.Send(FleetRequestBytes(path, id, "", deadline));
  request.received = caller.Receive(2 * deadline);
  return request;
}

// Sends one request after another, on connections that are kept while the node allows it, until it
// accepts no connection any more.
std::vector<ClientRequest> SendUntilGone(const std::string& node,
                                         const std::string& path,
                                         const std::string& name,
                                         Duration deadline) {
  std::vector<ClientRequest> requests;
  while (Accepts(node)) {
    try {
      RawCaller caller(node);
      do {
        const std::string id = name + "-" + std::to_string(requests.size());
        requests.push_back(SendOn(caller, path, id, deadline));
      } while (requests.back().received.complete &&
               requests.back().received.response.Header("Connection") != "close");
    } catch (const boost::system::system_error&) {
      return requests;  // the node stopped to accept connections just now
    }
  }
  return requests;
}

// Sends a request on a connection that has rested since before the stop.
std::vector<ClientRequest> SendAfterRest(const std::string& node,
                                         const std::string& name,
                                         TimePoint send_at,
                                         Duration deadline) {
  RawCaller caller(node);
  std::vector<ClientRequest> requests = {SendOn(caller, "/safe/x", name + "-first", deadline)};
  std::this_thread::sleep_for(Between(Now(), send_at));
  requests.push_back(SendOn(caller, "/once/x", name + "-late", deadline));
  return requests;
}

// Guards against requests that a node takes late in its stop, sends on, and ends without an answer.
TEST_CASE("no request that was sent on is left without an answer throughout a planned stop") {
  constexpr int kClients = 16;
  constexpr int kRestingClients = 24;
  constexpr Duration kStopAfter{600};
  constexpr Duration kRestStep{200};  // the last ones send when the node has gone
  constexpr Duration kDeadlines[] = {Duration(900), Duration(2'200), Duration(5'000)};
  for (const Duration work : {Duration(150), Duration(700)}) {
    FleetCluster cluster;
    cluster.Configure(1);
    cluster.StartPlainService("d1", {.slots = 2 * (kClients + kRestingClients), .work = work});
    cluster.StartFleetNode("a");
    REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus("a") == 200; }));
    REQUIRE(cluster.WaitUntil([&] {
      return cluster.Send({"a", "/safe/x", "warm", ""}).status == 200;
    }));
    const std::string node = cluster.At("a").Address();
    const TimePoint stop_at = Now() + kStopAfter;
    std::vector<std::future<std::vector<ClientRequest>>> clients;
    clients.reserve(kClients + kRestingClients);
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(std::async(std::launch::async, SendUntilGone, node,
                                   i % 2 == 0 ? "/once/x" : "/safe/x", "c" + std::to_string(i),
                                   kDeadlines[i % std::size(kDeadlines)]));
    }
    for (int i = 0; i < kRestingClients; ++i) {
      clients.push_back(std::async(std::launch::async, SendAfterRest, node, "r" + std::to_string(i),
                                   stop_at + i * kRestStep, kDeadlines[i % std::size(kDeadlines)]));
    }
    std::this_thread::sleep_for(Between(Now(), stop_at));
    const TimePoint signalled_at = Now();
    cluster.At("a").Signal(SIGTERM);
    CHECK(cluster.At("a").Wait(Duration(8'000)) != -1);
    const auto runs = cluster.RunCounts();
    std::map<std::string, int> results;  // of the requests that were sent during the stop
    for (auto& client : clients) {
      for (const ClientRequest& request : client.get()) {
        const unsigned status = request.received.complete ? request.received.response.status : 0;
        if (request.sent_at >= signalled_at) {
          ++results[std::to_string(status)];
        }
        INFO(request.id,
             " sent ms after the signal: ", Between(signalled_at, request.sent_at).count());
        INFO(request.received.Text());
        // A request that crosses the close of its connection, or is refused, has not run.
        const bool may_have_run = request.received.complete && status != 503;
        CHECK((may_have_run || !runs.contains(request.id)));
      }
    }
    for (const auto& [status, count] : results) {
      MESSAGE("work ms ", work.count(), ": status ", status, ", requests ", count);
    }
    CHECK(results["200"] > 0);
  }
}

// Guards against destruction after the referenced objects on rudderloom's own interface.
TEST_CASE(
    "a node of rudderloom's own interface cuts calls that outlast its stop and exits without a "
    "crash") {
  ::setenv("ASAN_OPTIONS", kSanitizerOptions, 0);
  Cluster cluster;
  cluster.StartPlatform();
  cluster.StartEndpoint("ep1");
  cluster.StartNode("n1", {{"stop_notice", "200ms"}, {"stop_time", "500ms"}});
  cluster.Apply("n1", "set", kDeclarations);
  const std::string node = cluster.At("n1").Address();
  REQUIRE(cluster.WaitUntil([&] {
    const std::string metrics = cluster.Call(node, "/metrics").body;
    return metrics.find("serving_endpoints{model=\"m\"} 1\n") != std::string::npos;
  }));
  cluster.At("ep1").Signal(SIGSTOP);
  const std::string prompt = R"({"model": "m", "prompt": "hello", "max_tokens": 30})";
  constexpr std::size_t kCalls = 6;
  std::vector<std::future<Response>> responses;
  responses.reserve(kCalls);
  for (std::size_t i = 0; i < kCalls; ++i) {
    responses.push_back(std::async(std::launch::async, [&] {
      Cluster client;
      return client.Call(node, "/v1/completions", prompt);
    }));
  }
  std::this_thread::sleep_for(Duration(300));
  cluster.At("n1").Signal(SIGTERM);
  CHECK(cluster.At("n1").Wait(Duration(8'000)) == kRequestsCut);
  for (auto& response : responses) {
    CHECK(response.get().status != 200);
  }
}

}  // namespace
}  // namespace rudderloom::tests
