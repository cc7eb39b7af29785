// Calls in a known state when a node of rudderloom's own interface is stopped.
#include <doctest/doctest.h>  // for TEST_CASE

#include <deque>  // for deque

#include "process/stopping_cluster.hpp"  // for StoppingCluster

namespace rudderloom::tests {
namespace {

constexpr int kClean = 0;
constexpr int kCallsCut = 1;

TEST_CASE("stop: a whole completion that runs on an engine is answered") {
  StoppingCluster cluster;
  const std::int64_t before = cluster.Stats("ep1").at("completions").as_int64();
  RawCaller caller(cluster.Node(), CompletionBytes("m", false));
  REQUIRE(cluster.WaitUntil(
      [&] { return cluster.Stats("ep1").at("completions").as_int64() > before; }));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "unknown");
  CHECK(cluster.AwaitExit() == kCallsCut);
}

TEST_CASE("stop: a stream before its first event is answered") {
  StoppingCluster cluster;
  cluster.SetFaults("ep1", {{"slow_factor", 4'000}});
  const std::int64_t before = cluster.Stats("ep1").at("completions").as_int64();
  RawCaller caller(cluster.Node(), CompletionBytes("m", true));
  REQUIRE(cluster.WaitUntil(
      [&] { return cluster.Stats("ep1").at("completions").as_int64() > before; }));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "unknown");
  CHECK(cluster.AwaitExit() == kCallsCut);
}

TEST_CASE("stop: a stream that flows ends with an error event") {
  StoppingCluster cluster;
  RawCaller caller(cluster.Node(), CompletionBytes("m", true));
  REQUIRE(caller.ReceiveText("id: 1\n"));
  cluster.BeginStop();
  const Received received = cluster.ReceiveInTime(caller);
  INFO(received.Text());
  CHECK(received.IsFailedStream());
  CHECK(cluster.AwaitExit() == kCallsCut);
}

TEST_CASE("stop: a stream whose engine falls silent ends with an error event") {
  StoppingCluster cluster;
  RawCaller caller(cluster.Node(), CompletionBytes("m", true));
  REQUIRE(caller.ReceiveText("id: 1\n"));
  cluster.At("ep1").Signal(SIGSTOP);
  cluster.BeginStop();
  const Received received = cluster.ReceiveInTime(caller);
  INFO(received.Text());
  CHECK(received.IsFailedStream());
  CHECK(cluster.AwaitExit() == kCallsCut);
}

TEST_CASE("stop: a stream that waits to resume ends with an error event") {
  StoppingCluster cluster;
  RawCaller caller(cluster.Node(), CompletionBytes("m", true));
  REQUIRE(caller.ReceiveText("id: 1\n"));
  cluster.At("ep1").Kill();
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Metric("rudderloom_retries_total{reason=\"broken_mid_answer\"}") > 0 ||
           cluster.Metric("rudderloom_retries_total{reason=\"connect\"}") > 0;
  }));
  cluster.BeginStop();
  const Received received = cluster.ReceiveInTime(caller);
  INFO(received.Text());
  CHECK(received.IsFailedStream());
  CHECK(cluster.ExitsInTime());
}

TEST_CASE("stop: a completion in the queue is refused as not run") {
  StoppingCluster cluster;
  RawCaller whole(cluster.Node(), CompletionBytes("x", false));
  RawCaller stream(cluster.Node(), CompletionBytes("x", true));
  RawCaller chat(cluster.Node(),
                 RequestBytes("/v1/chat/completions", R"({"model": "x", "messages": []})"));
  REQUIRE(cluster.WaitForCalls(3, 3));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(whole, "no");
  cluster.CheckRefusedInTime(stream, "no");
  cluster.CheckRefusedInTime(chat, "no");
  CHECK(cluster.ExitsInTime());
}

TEST_CASE("stop: a service call in the queue is refused as not run") {
  StoppingCluster cluster;
  RawCaller get(cluster.Node(), ServiceCallBytes("void", false, false));
  RawCaller post(cluster.Node(), ServiceCallBytes("void", true, false));
  REQUIRE(cluster.WaitForCalls(2, 2));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(get, "no");
  cluster.CheckRefusedInTime(post, "no");
  CHECK(cluster.ExitsInTime());
}

TEST_CASE("stop: service calls that were sent are answered as perhaps run") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller get(cluster.Node(), ServiceCallBytes("desk", false, false));
  RawCaller post(cluster.Node(), ServiceCallBytes("desk", true, false));
  REQUIRE(cluster.WaitForCalls(2, 0));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(get, "unknown");
  cluster.CheckRefusedInTime(post, "unknown");
  CHECK(cluster.AwaitExit() == kCallsCut);
}

TEST_CASE("stop: a call that pauses before its retry is answered") {
  StoppingCluster cluster({{"retries", {{"backoff", "15s"}}}});
  cluster.SetFaults("ep1", {{"status", 500}});
  RawCaller caller(cluster.Node(), CompletionBytes("m", false));
  REQUIRE(cluster.WaitUntil(
      [&] { return cluster.Metric("rudderloom_retries_total{reason=\"server_error\"}") > 0; }));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "unknown");
  CHECK(cluster.ExitsInTime());
}

TEST_CASE("stop: a call that comes during the notice and outlasts the stop is answered") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller kept(cluster.Node(), RequestBytes("/healthz"));
  REQUIRE(kept.Receive().complete);
  cluster.BeginStop();
  RawCaller fresh(cluster.Node(), ServiceCallBytes("desk", true, false));
  kept.Send(ServiceCallBytes("desk", true, false));
  REQUIRE(cluster.WaitForCalls(2, 0));
  cluster.CheckRefusedInTime(fresh, "unknown");
  cluster.CheckRefusedInTime(kept, "unknown");
  CHECK(cluster.ExitsInTime());
}

TEST_CASE("stop: calls of the notice time are served and close their connections") {
  StoppingCluster cluster;
  RawCaller kept(cluster.Node(), RequestBytes("/healthz"));
  RawCaller idle(cluster.Node(), RequestBytes("/healthz"));
  REQUIRE(kept.Receive().complete);
  REQUIRE(idle.Receive().complete);
  cluster.BeginStop();
  kept.Send(ServiceCallBytes("desk", true, false));
  RawCaller fresh(cluster.Node(), CompletionBytes("m", false, 2));
  for (RawCaller* caller : {&kept, &fresh}) {
    const Received received = caller->Receive();
    INFO(received.Text());
    CHECK(received.complete);
    CHECK(received.response.status == 200);
    CHECK(received.response.Header("Connection") == "close");
    CHECK(caller->EndsSilently());
  }
  CHECK(idle.EndsSilently(Duration(1'000)));
  CHECK(cluster.AwaitExit() == kClean);
}

TEST_CASE("stop: calls that the kernel holds when the notice ends are answered") {
  StoppingCluster cluster;
  const std::string call = RequestBytes("/v1/models");
  constexpr std::size_t kCallers = 60;
  std::deque<RawCaller> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    REQUIRE(callers.emplace_back(cluster.Node(), call).Receive().complete);
  }
  cluster.BeginStop();
  cluster.At("n1").Signal(SIGSTOP);
  for (RawCaller& kept : callers) {
    kept.Send(call);
  }
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(cluster.Node(), call);
  }
  cluster.SuspendUntilEndOfNotice();
  std::size_t answered_kept = 0;
  std::size_t answered_new = 0;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    if (cluster.ReceiveInTime(callers[i]).response.status == 200) {
      ++(i < kCallers ? answered_kept : answered_new);
    }
  }
  CHECK(answered_kept == kCallers);
  CHECK(answered_new == kCallers);
  CHECK(cluster.ExitsInTime());
}

TEST_CASE("stop: an answer during the stop to an earlier call says that its connection closes") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, false));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.BeginStop();
  cluster.SetFaults("desk1", {{"hang", 0}});
  const Received received = caller.Receive();
  INFO(received.Text());
  CHECK(received.complete);
  CHECK(received.response.status == 200);
  CHECK(received.response.Header("Connection") == "close");
  CHECK(cluster.AwaitExit() == kClean);
}

TEST_CASE("stop: a request received in part is refused as not run") {
  StoppingCluster cluster;
  RawCaller header(cluster.Node(), "POST /services/desk/slots HTTP/1.1\r\nHost: x\r\n");
  const std::string whole = ServiceCallBytes("desk", true, false);
  RawCaller body(cluster.Node(), whole.substr(0, whole.size() - 1));
  REQUIRE(cluster.WaitForCalls(0, 0));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(header, "no");
  cluster.CheckRefusedInTime(body, "no");
  CHECK(cluster.ExitsInTime());
}

TEST_CASE("stop: a request completed during the notice is served") {
  StoppingCluster cluster;
  const std::string whole = ServiceCallBytes("desk", true, false);
  RawCaller caller(cluster.Node(), whole.substr(0, whole.size() - 1));
  REQUIRE(cluster.WaitForCalls(0, 0));
  cluster.BeginStop();
  caller.Send(whole.substr(whole.size() - 1));
  const Received received = caller.Receive();
  INFO(received.Text());
  CHECK(received.complete);
  CHECK(received.response.status == 200);
  CHECK(cluster.AwaitExit() == kClean);
}

TEST_CASE("stop: a request completed after the notice is answered") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller other(cluster.Node(), ServiceCallBytes("desk", true, false));
  const std::string whole = RequestBytes("/services/nope/x", "{}");
  RawCaller caller(cluster.Node(), whole.substr(0, whole.size() - 1));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.BeginStop();
  cluster.AwaitEndOfNotice();
  caller.Send(whole.substr(whole.size() - 1));
  cluster.CheckRefusedInTime(caller, "no");
  cluster.CheckRefusedInTime(other, "unknown");
  CHECK(cluster.AwaitExit() == kCallsCut);
}

TEST_CASE("stop: a second SIGTERM leaves calls their time") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, false));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.BeginStop();
  cluster.At("n1").Signal(SIGTERM);
  cluster.AwaitEndOfNotice();
  cluster.SetFaults("desk1", {{"hang", 0}});
  const Received received = caller.Receive();
  INFO(received.Text());
  CHECK(received.response.status == 200);
  CHECK(cluster.AwaitExit() == kClean);
}

TEST_CASE("stop: a SIGHUP leaves calls their time") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, false));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.BeginStop();
  cluster.At("n1").Signal(SIGHUP);
  cluster.AwaitEndOfNotice();
  cluster.SetFaults("desk1", {{"hang", 0}});
  const Received received = caller.Receive();
  INFO(received.Text());
  CHECK(received.response.status == 200);
  CHECK(cluster.AwaitExit() == kClean);
}

}  // namespace
}  // namespace rudderloom::tests
