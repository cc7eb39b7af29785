// Claimed keys, operators' changes and the platform's store when a node is stopped.
#include <doctest/doctest.h>  // for TEST_CASE

#include <filesystem>  // for create_directory
#include <fstream>     // for ofstream
#include <future>      // for async

#include "process/stopping_cluster.hpp"  // for StoppingCluster

namespace rudderloom::tests {
namespace {

constexpr int kClean = 0;
constexpr int kCallsCut = 1;

std::string ReasonOf(const Response& response) {
  const boost::json::object problem = response.Json();
  const boost::json::value* reason = problem.if_contains("reason");
  return reason == nullptr ? "" : std::string(reason->as_string());
}

TEST_CASE("stop: a claimed call that was sent is answered, and its key does not run again") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitForCalls(1, 0));
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") == 1; }));
  cluster.BeginStop();
  CHECK(ReasonOf(cluster.Retry()) == "call_in_progress");
  cluster.CheckRefusedInTime(caller, "unknown");
  CHECK(cluster.AwaitExit() == kCallsCut);
  cluster.SetFaults("desk1", {{"hang", 0}});
  REQUIRE(cluster.WaitUntil([&] { return cluster.RunCount("one") == 1; }));
  for (int i = 0; i < 2; ++i) {
    CHECK(ReasonOf(cluster.Retry()) == "outcome_unknown");
  }
  CHECK(cluster.RunCount("one") == 1);
}

TEST_CASE("stop: the outcome of a claimed call that ends during the stop is stored") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitForCalls(1, 0));
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") == 1; }));
  cluster.BeginStop();
  cluster.AwaitEndOfNotice();
  cluster.SetFaults("desk1", {{"hang", 0}});
  CHECK(cluster.ReceiveInTime(caller).response.status == 200);
  CHECK(cluster.AwaitExit() == kClean);
  CHECK(cluster.Retry().Header("Idempotency-Replayed") == "true");
  CHECK(cluster.RunCount("one") == 1);
}

TEST_CASE("stop: a claimed call in the queue is refused as not run, and its key can run") {
  StoppingCluster cluster;
  RawCaller caller(cluster.Node(), ServiceCallBytes("void", true, true));
  REQUIRE(cluster.WaitForCalls(1, 1));
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") == 1; }));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "no");
  CHECK(cluster.ExitsInTime());
  cluster.StartService("void1", "void");
  CHECK(cluster.Retry("void").status == 200);
}

TEST_CASE("stop: a call whose claim is not stored yet is refused as not run, and its key can run") {
  StoppingCluster cluster;
  cluster.At("platform").Signal(SIGSTOP);
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "no");
  CHECK(cluster.ExitsInTime());
  CHECK(cluster.RunCount("one") == 0);
  cluster.At("platform").Signal(SIGCONT);
  CHECK(cluster.WaitUntil([&] { return cluster.Retry().status == 200; }, Duration(5'000)));
  CHECK(cluster.RunCount("one") == 1);
}

// The write of the outcome may have reached the suspended platform, which then stores it.
TEST_CASE("stop: a key whose outcome is not stored does not run again and is not in progress") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitForCalls(1, 0));
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") == 1; }));
  cluster.At("platform").Signal(SIGSTOP);
  cluster.SetFaults("desk1", {{"hang", 0}});
  CHECK(caller.Receive(Duration(2'000)).response.status == 200);
  cluster.BeginStop();
  CHECK(cluster.ExitsInTime());
  CHECK(ReasonOf(cluster.Retry()) == "claims_unavailable");
  cluster.At("platform").Signal(SIGCONT);
  CHECK(cluster.WaitUntil(
      [&] {
        const Response response = cluster.Retry();
        return ReasonOf(response) == "outcome_unknown" ||
               (response.status == 200 && response.Header("Idempotency-Replayed") == "true");
      },
      Duration(5'000)));
  CHECK(cluster.RunCount("one") == 1);
}

// Guards against keys that are reported as in progress after their node has ended.
TEST_CASE(
    "stop: the key of a call on a killed node has an unknown outcome once the node is missed") {
  StoppingCluster cluster;
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_live_nodes") == 2; }));
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, true));
  REQUIRE(cluster.WaitForCalls(1, 0));
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_claim_changes_total") == 1; }));
  cluster.At("n1").Kill();
  CHECK(ReasonOf(cluster.Retry()) == "call_in_progress");
  CHECK(cluster.WaitUntil([&] { return ReasonOf(cluster.Retry()) == "outcome_unknown"; },
                          Duration(5'000)));
  cluster.SetFaults("desk1", {{"hang", 0}});
  CHECK(cluster.WaitUntil([&] { return cluster.RunCount("one") == 1; }));
  CHECK(ReasonOf(cluster.Retry()) == "outcome_unknown");
  CHECK(cluster.RunCount("one") == 1);
}

TEST_CASE("stop: a node without calls exits in time while the platform is suspended") {
  StoppingCluster cluster;
  cluster.At("platform").Signal(SIGSTOP);
  cluster.BeginStop();
  CHECK(cluster.AwaitExit() == kClean);
}

TEST_CASE("stop: sent calls are answered while the platform is suspended") {
  StoppingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  RawCaller caller(cluster.Node(), ServiceCallBytes("desk", true, false));
  REQUIRE(cluster.WaitForCalls(1, 0));
  cluster.At("platform").Signal(SIGSTOP);
  cluster.BeginStop();
  cluster.CheckRefusedInTime(caller, "unknown");
  CHECK(cluster.AwaitExit() == kCallsCut);
}

// Exit statuses of the operator's program.
constexpr int kOutcomeUnknown = 5;
constexpr int kNotInForceEverywhere = 6;

struct ApplyingCluster : StoppingCluster {
  std::future<int> ApplyLater(std::vector<std::string> extra) {
    const std::string directory = MakeSet();
    std::vector<std::string> arguments{"apply", directory, "--daemon", At("n1").Address(1)};
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    return std::async(std::launch::async, [this, arguments] { return RunCli(arguments).first; });
  }

 private:
  std::string MakeSet() {
    std::string directory = Directory() + "/more";
    std::filesystem::create_directory(directory);
    std::ofstream(directory + "/all.json")
        << R"({"models": [{"name": "y", "version": "1", "pool": "q", "memory": "1GiB"}]})";
    return directory;
  }
};

TEST_CASE("stop: an operator's change whose write has no answer has no known outcome") {
  ApplyingCluster cluster;
  const auto reads = [&] {
    const boost::json::object calls = cluster.Stats("platform").at("calls").as_object();
    const boost::json::value* count = calls.if_contains("GET configurations");
    return count == nullptr ? 0 : count->as_int64();
  };
  // The delay keeps the write that follows the read from being handled before the suspension.
  cluster.SetFaults("platform", {{"delay_ms", 400}});
  const std::int64_t before = reads();
  auto applied = cluster.ApplyLater({});
  REQUIRE(cluster.WaitUntil([&] { return reads() > before; }));
  cluster.At("platform").Signal(SIGSTOP);
  cluster.BeginStop();
  CHECK(cluster.ExitsInTime());
  CHECK(applied.get() == kOutcomeUnknown);
}

TEST_CASE("stop: a change that waits to be in force everywhere is reported as accepted") {
  ApplyingCluster cluster;
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_live_nodes") == 2; }));
  const double before = cluster.Metric("rudderloom_generation");
  cluster.At("n2").Signal(SIGSTOP);
  auto applied = cluster.ApplyLater({"--wait"});
  REQUIRE(cluster.WaitUntil([&] { return cluster.Metric("rudderloom_generation") > before; }));
  cluster.BeginStop();
  CHECK(cluster.AwaitExit() == kClean);
  CHECK(applied.get() == kNotInForceEverywhere);
}

}  // namespace
}  // namespace rudderloom::tests
