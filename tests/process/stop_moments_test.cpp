// Calls, claims and the exit of a node at particular and at random moments of its stop.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for sort
#include <deque>      // for deque
#include <random>     // for mt19937
#include <sstream>    // for istringstream

#include "process/stopping_cluster.hpp"  // for StoppingCluster

namespace rudderloom::tests {
namespace {

std::string ReasonOf(const Response& response) {
  const boost::json::object problem = response.Json();
  const boost::json::value* reason = problem.if_contains("reason");
  return reason == nullptr ? "" : std::string(reason->as_string());
}

std::string KeyedBytes(const std::string& service, const std::string& key, const std::string& id) {
  return RequestBytes("/services/" + service + "/slots", "{}",
                      "X-Call-Id: " + id + "\r\nX-Caller: c\r\nIdempotency-Key: " + key + "\r\n");
}

// Whether the node has ended. With the address sanitizer: whether it has done all its work, as the
// search for leaks follows.
bool HasEnded(Program& node) {
#ifdef __SANITIZE_ADDRESS__
  return node.LogTail().find("event=stopped") != std::string::npos;
#else
  return node.Wait(Duration(0)) != -1;
#endif
}

// Stops the node n1 and checks that it ends within the notice and the stop time.
void CheckEndsInTime(StoppingCluster& cluster) {
  const TimePoint sent = Now();
  cluster.BeginStop();
  while (!HasEnded(cluster.At("n1")) && Now() < sent + Duration(5'000)) {
  }
  const auto took = Between(sent, Now()).count();
  MESSAGE("ended after ms: ", took, " of 1800");
  CHECK(took <= 1'800);
  CHECK(cluster.ExitsInTime());
}

const boost::json::object kOneShard{{"claims", {{"shards", 1}}}};

// A claim's write that the platform has received but not handled when the node ends.
TEST_CASE("stop: a key that was answered as not run while its claim was written can run") {
  StoppingCluster cluster(kOneShard);
  RawCaller earlier(cluster.Node(), KeyedBytes("desk", "other", "zero"));
  REQUIRE(earlier.Receive(Duration(3'000)).response.status == 200);
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") == 2; }));
  cluster.At("platform").Signal(SIGSTOP);
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "no");
  CHECK(cluster.ExitsInTime());
  CHECK(cluster.RunCount("one") == 0);
  cluster.At("platform").Signal(SIGCONT);
  std::string last;
  CHECK(cluster.WaitUntil(
      [&] {
        const Response response = cluster.Retry();
        last = std::to_string(response.status) + " " +
               (response.status == 200 ? "" : ReasonOf(response));
        return response.status == 200;
      },
      Duration(8'000)));
  MESSAGE("last retry: ", last);
  CHECK(cluster.RunCount("one") == 1);
}

TEST_CASE("stop: an outcome is stored when the platform is back before the end of the stop") {
  boost::json::object settings = kOneShard;
  settings["membership"] = {{"unconfirmed_limit", "60s"}};
  StoppingCluster cluster(settings);
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitForCalls(1, 0));
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") == 1; }));
  const auto failed = [&] {
    double sum = 0;
    std::istringstream lines(cluster.Call(cluster.Node(), "/metrics").body);
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("rudderloom_platform_calls_total{") &&
          line.find("claims") != std::string::npos) {
        sum += std::stod(line.substr(line.rfind(' ')));
      }
    }
    return sum;
  };
  cluster.SetFaults("platform", {{"status", 503}});
  const double before = failed();
  RawCaller other(cluster.Node(), KeyedBytes("desk", "other", "zero"));
  REQUIRE(cluster.WaitUntil([&] { return failed() >= before + 40; }, Duration(30'000)));
  cluster.SetFaults("desk1", {{"hang", 0}});
  CHECK(caller.Receive(Duration(2'000)).response.status == 200);
  // Wait for one more attempt, so that the whole pause lies ahead.
  const double at = failed();
  REQUIRE(cluster.WaitUntil([&] { return failed() > at; }, Duration(5'000)));
  cluster.SetFaults("platform", {{"status", 0}});
  cluster.BeginStop();
  const TimePoint healthy = Now();
  const int status = cluster.AwaitExit();
  MESSAGE("exit status ", status,
          " after ms of a healthy platform: ", Between(healthy, Now()).count());
  CHECK(status == 0);
  CHECK(cluster.Retry().Header("Idempotency-Replayed") == "true");
}

TEST_CASE("stop: the process ends within the notice and the stop time, platform suspended") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.At("platform").Signal(SIGSTOP);
  CheckEndsInTime(cluster);
}

// A node that is short of processor time for the last part of its stop.
TEST_CASE("stop: a node suspended until its stop time is over still answers its call") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, false));
  REQUIRE(cluster.WaitForCalls(1, 0));
  const TimePoint sent = Now();
  cluster.BeginStop();
  cluster.AwaitEndOfNotice();
  cluster.At("n1").Signal(SIGSTOP);
  REQUIRE(cluster.WaitUntil([&] { return Now() >= sent + Duration(1'900); }));
  cluster.At("n1").Signal(SIGCONT);
  const Received received = caller.Receive(Duration(3'000));
  INFO(received.Text());
  CHECK(received.complete);
  CHECK(received.Ran() == "unknown");
}

TEST_CASE("stop: a further request on a connection, sent behind one in flight, is answered") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(),
                   ServiceCallBytes("desk", true, false) + RequestBytes("/v1/models"));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "unknown");
  const Received second = cluster.ReceiveInTime(caller);
  INFO(second.Text());
  CHECK(second.complete);
}

TEST_CASE("stop: a running call of a node that just started is in progress for another node") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  cluster.StartNode("n3", {});
  REQUIRE(cluster.WaitUntil(
      [&] { return cluster.Call(cluster.At("n3").Address(), "/readyz").status == 200; }));
  RawCaller caller(cluster.At("n3").Address(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitUntil([&] {
    const std::string metrics = cluster.Call(cluster.At("n3").Address(), "/metrics").body;
    return metrics.find("rudderloom_claim_changes_total 1\n") != std::string::npos;
  }));
  std::string first;
  int wrong = 0;
  const TimePoint began = Now();
  cluster.WaitUntil(
      [&] {
        const std::string reason = ReasonOf(cluster.Retry());
        if (first.empty()) {
          first = reason;
        }
        wrong += reason == "outcome_unknown" ? 1 : 0;
        return Now() > began + Duration(3'000);
      },
      Duration(4'000));
  MESSAGE("first: ", first, " wrong: ", wrong);
  CHECK(wrong == 0);
}

struct ShortStop : StoppingCluster {
  ShortStop() : StoppingCluster() {
    StartNode("n4", {{"stop_notice", "300ms"}, {"stop_time", "100ms"}});
    REQUIRE(
        WaitUntil([&] { return Call(At("n4").Address(), "/services/desk/warm").status == 200; }));
  }
};

TEST_CASE("stop: a stop time of 100 ms is enough to answer a call") {
  ShortStop cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.At("n4").Address(), ServiceCallBytes("desk", true, false));
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Call(cluster.At("n4").Address(), "/metrics").body.find("rudderloom_running 1") !=
           std::string::npos;
  }));
  cluster.At("n4").Signal(SIGTERM);
  const Received received = caller.Receive(Duration(3'000));
  INFO(received.Text());
  CHECK(received.complete);
  CHECK(received.Ran() == "unknown");
}

TEST_CASE("stop: two hundred claimed calls are answered and their outcomes stored") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  std::deque<RawCaller> callers;
  for (int i = 0; i < 200; ++i) {
    callers.emplace_back(cluster.Node(), KeyedBytes("desk", "k" + std::to_string(i), "i"));
  }
  REQUIRE(
      cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") >= 200; }));
  MESSAGE("running ", cluster.Metric("rudderloom_running"), " waiting ",
          cluster.Metric("rudderloom_waiting"));
  cluster.BeginStop();
  int answered = 0;
  int ran_no = 0;
  for (RawCaller& caller : callers) {
    const Received received = cluster.ReceiveInTime(caller);
    answered += received.complete ? 1 : 0;
    ran_no += received.Ran() == "no" ? 1 : 0;
  }
  MESSAGE("answered ", answered, " of them ran no ", ran_no);
  CHECK(answered == 200);
  CHECK(cluster.AwaitExit() == 1);
  cluster.SetFaults("desk1", {{"hang", 0}});
  int unknown = 0;
  int served = 0;
  for (int i = 0; i < 200; ++i) {
    const Response response =
        cluster.Call(cluster.At("n2").Address(), "/services/desk/slots", "{}",
                     {{"Idempotency-Key", "k" + std::to_string(i)}, {"X-Caller", "c"}});
    unknown += response.status != 200 && ReasonOf(response) == "outcome_unknown" ? 1 : 0;
    served += response.status == 200 ? 1 : 0;
  }
  MESSAGE("unknown ", unknown, " served ", served);
  CHECK(unknown == 200 - ran_no);
  CHECK(served == ran_no);
}

TEST_CASE("stop: the process ends within the notice and the stop time, platform well") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, false));
  RawCaller partial(cluster.Node(), "GET / HTTP/1.1\r\nHost");
  REQUIRE(cluster.WaitForCalls(1, 0));
  CheckEndsInTime(cluster);
}

// The platform answers, within its call time but later than the final time of the stop.
TEST_CASE("stop: with a slow platform, the key of a call refused as not run can run") {
  StoppingCluster cluster;
  RawCaller caller(cluster.Node(), ServiceCallBytes("void", true, true));
  REQUIRE(cluster.WaitForCalls(1, 1));
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") == 1; }));
  cluster.SetFaults("platform", {{"delay_ms", 400}});
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "no");
  MESSAGE("exit status ", cluster.AwaitExit());
  cluster.SetFaults("platform", {{"delay_ms", 0}});
  cluster.StartService("void1", "void");
  std::string last;
  CHECK(cluster.WaitUntil(
      [&] {
        const Response response = cluster.Retry("void");
        last = std::to_string(response.status) + (response.status == 200 ? "" : ReasonOf(response));
        return response.status == 200;
      },
      Duration(8'000)));
  MESSAGE("last retry: ", last);
}

TEST_CASE("stop: a caller that keeps uploading through the stop is refused as not run") {
  StoppingCluster cluster;
  RawCaller holds(cluster.Node(), CompletionBytes("m", true));
  REQUIRE(holds.ReceiveText("id: 1\n"));
  RawCaller caller(cluster.Node(),
                   "POST /services/desk/slots HTTP/1.1\r\nHost: x\r\nX-Call-Id: one\r\n"
                   "Content-Length: 900000\r\n\r\n");
  const TimePoint began = Now();
  cluster.BeginStop();
  asio::io_context context;
  while (Now() < began + Duration(1'600)) {
    caller.Send(std::string(200, 'x'));
    Timer pause(context, Duration(2));
    pause.wait();
  }
  cluster.CheckRefusedInTime(caller, "no");
  CHECK(cluster.RunCount("one") == 0);
  CHECK(cluster.ExitsInTime());
}

// Calls sent at random times of a stop, half of them with a key, on connections opened before.
TEST_CASE("stop: calls of any moment of a stop are answered truly") {
  for (const unsigned seed : {1U, 2U, 3U}) {
    CAPTURE(seed);
    StoppingCluster cluster;
    cluster.SetFaults("desk1", {{"delay_ms", 60}});
    std::mt19937 random(seed);
    constexpr int kCalls = 150;
    std::vector<std::pair<int, int>> plan;  // ms after the signal, number
    std::deque<RawCaller> callers;
    for (int i = 0; i < kCalls; ++i) {
      callers.emplace_back(cluster.Node());
      plan.emplace_back(static_cast<int>(random() % 1'600), i);
    }
    std::sort(plan.begin(), plan.end());
    RawCaller holds(cluster.Node(), CompletionBytes("m", true));
    REQUIRE(holds.ReceiveText("id: 1\n"));
    const TimePoint began = Now();
    cluster.At("n1").Signal(SIGTERM);
    std::vector<int> sent_at(kCalls, -1);
    for (const auto& [at, number] : plan) {
      while (Now() < began + Duration(at)) {
      }
      const std::string id = "c" + std::to_string(number);
      try {
        callers[number].Send(number % 2 == 0 ? KeyedBytes("desk", id, id)
                                             : RequestBytes("/services/desk/slots", "{}",
                                                            "X-Call-Id: " + id + "\r\n"));
        sent_at[number] = at;
      } catch (const std::exception&) {
      }
    }
    int whole = 0, ok = 0, no = 0, unknown = 0, silent = 0, false_no = 0, silent_ran = 0;
    int twice = 0, stuck = 0;
    std::string silent_times;
    std::vector<Received> all;
    all.reserve(callers.size());
    for (RawCaller& caller : callers) {
      all.push_back(caller.Receive(Duration(700)));
    }
    const int status = cluster.AwaitExit();
    for (int i = 0; i < kCalls; ++i) {
      const std::string id = "c" + std::to_string(i);
      const Received& received = all[i];
      const auto runs = cluster.RunCount(id);
      twice += runs > 1 ? 1 : 0;
      if (!received.complete) {
        ++silent;
        silent_ran += runs > 0 ? 1 : 0;
        silent_times += " " + std::to_string(sent_at[i]);
        continue;
      }
      ++whole;
      ok += received.response.status == 200 ? 1 : 0;
      no += received.Ran() == "no" ? 1 : 0;
      unknown += received.Ran() == "unknown" ? 1 : 0;
      false_no += received.Ran() == "no" && runs > 0 ? 1 : 0;
      if (i % 2 == 0 && received.Ran() == "no") {
        const Response again =
            cluster.Call(cluster.At("n2").Address(), "/services/desk/slots", "{}",
                         {{"Idempotency-Key", id}, {"X-Caller", "c"}, {"X-Call-Id", id}});
        stuck += again.status == 200 ? 0 : 1;
      }
    }
    MESSAGE("seed ", seed, " status ", status, " whole ", whole, " ok ", ok, " no ", no,
            " unknown ", unknown, " silent ", silent, " at", silent_times, " of these ran ",
            silent_ran, " false no ", false_no, " twice ", twice, " stuck ", stuck);
    CHECK(false_no + twice + stuck + silent_ran == 0);
  }
}

}  // namespace
}  // namespace rudderloom::tests
