// A cluster whose node n1 is stopped while the state of its calls is known.
#ifndef RUDDERLOOM_TESTS_PROCESS_STOPPING_CLUSTER_HPP
#define RUDDERLOOM_TESTS_PROCESS_STOPPING_CLUSTER_HPP

#include <doctest/doctest.h>  // for REQUIRE

#include <csignal>  // for SIGTERM

#include "process/raw_caller.hpp"  // for RawCaller

namespace rudderloom::tests {

/// @brief A platform, an engine, the service `desk` and the nodes n1 and n2. The model `x` and the
/// service `void` have no endpoint, so that their calls wait.
struct StoppingCluster : Cluster {
  static constexpr Duration kNotice{300};
  static constexpr Duration kStopTime{1'500};
  static constexpr Duration kBuffered{20};  // to read what has arrived already
  static constexpr Duration kLatestExit = kNotice + kStopTime + Duration(1'000);

  explicit StoppingCluster(boost::json::object settings = {}) {
    settings["stop_notice"] = "300ms";
    settings["stop_time"] = "1500ms";
    StartPlatform();
    StartEndpoint("ep1");
    StartService("desk1", "desk");
    StartNode("n1", settings);
    StartNode("n2", settings);
    Apply("n1", "set", R"({
      "models": [
        {"name": "m", "version": "1", "pool": "p", "memory": "1GiB"},
        {"name": "x", "version": "1", "pool": "q", "memory": "1GiB"}
      ],
      "services": [
        {"name": "desk", "pool": "desk", "repeatable": ["GET"], "deadline": "20s"},
        {"name": "void", "pool": "void", "repeatable": ["GET"], "deadline": "20s"}
      ]
    })");
    for (const char* node : {"n1", "n2"}) {
      REQUIRE(WaitUntilServed(node, "m"));
      REQUIRE(
          WaitUntil([&] { return Call(At(node).Address(), "/services/desk/warm").status == 200; }));
    }
  }

  std::string Node() { return At("n1").Address(); }
  double Metric(const std::string& name) {
    const std::string text = "\n" + Call(Node(), "/metrics").body;
    const std::size_t found = text.find("\n" + name + " ");
    return found == std::string::npos ? 0 : std::stod(text.substr(found + name.size() + 2));
  }
  /// @brief Waits until the node has so many calls, and so many of them in its queue.
  bool WaitForCalls(double running, double waiting) {
    return WaitUntil([&] {
      return Metric("rudderloom_running") == running && Metric("rudderloom_waiting") == waiting;
    });
  }
  std::int64_t RunCount(const std::string& call) {
    const boost::json::object runs = Stats("desk1").at("runs").as_object();
    const boost::json::value* found = runs.if_contains(call);
    return found == nullptr ? 0 : found->as_int64();
  }
  /// @brief Sends SIGTERM and waits until the stop has begun.
  void BeginStop() {
    At("n1").Signal(SIGTERM);
    term_sent_ = Now();
    REQUIRE(WaitUntil([&] { return Call(Node(), "/readyz").status != 200; }));
  }
  /// @brief Waits until the notice is over and new connections are refused.
  void AwaitEndOfNotice() {
    REQUIRE(WaitUntil([&] { return !Accepts(Node()); }));
  }
  /// @brief Waits for the exit within the documented time; returns the status, or -1.
  int AwaitExit() {
    const int status =
        At("n1").Wait(std::max(Duration(0), Between(Now(), term_sent_ + kLatestExit)));
    if (status == -1 && At("n1").Wait(Duration(10'000)) != -1) {
      MESSAGE("exited late, after ms: ", Between(term_sent_, Now()).count());
    }
    return status;
  }
  /// @brief Returns whether the node exits within the documented time and with a documented status.
  bool ExitsInTime() {
    const int status = AwaitExit();
    return status == 0 || status == 1;
  }
  /// @brief Suspends the node until its notice time is over by the clock.
  void SuspendUntilEndOfNotice() {
    At("n1").Signal(SIGSTOP);
    REQUIRE(WaitUntil([&] { return Now() >= term_sent_ + kNotice; }));
    At("n1").Signal(SIGCONT);
  }
  /// @brief Receives what arrives until the stop's time is over.
  Received ReceiveInTime(RawCaller& caller) {
    const Duration left = Between(Now(), term_sent_ + kNotice + kStopTime);
    return caller.Receive(std::max(kBuffered, left));
  }
  /// @brief Checks for a whole refusal within the stop's time, with this statement about whether
  /// the call ran.
  void CheckRefusedInTime(RawCaller& caller, const std::string& ran) {
    const Received received = ReceiveInTime(caller);
    INFO(received.Text());
    CHECK(received.complete);
    CHECK(received.response.status >= 400);
    CHECK(received.response.Header("Content-Type") == "application/problem+json");
    CHECK(received.Ran() == ran);
  }
  /// @brief Sends a call with the key `k` to the service through the other node.
  Response Retry(const std::string& service = "desk") {
    return Call(At("n2").Address(), "/services/" + service + "/slots", "{}",
                {{"Idempotency-Key", "k"}, {"X-Caller", "c"}, {"X-Call-Id", "one"}});
  }

 private:
  TimePoint term_sent_ = Now();
};

/// @brief Bytes of a call to a service, with the id `one` and, for a key, the key `k`.
inline std::string ServiceCallBytes(const std::string& service, bool post, bool key) {
  return RequestBytes(
      "/services/" + service + "/slots", post ? "{}" : "",
      std::string("X-Call-Id: one\r\nX-Caller: c\r\n") + (key ? "Idempotency-Key: k\r\n" : ""));
}

/// @brief Bytes of a completion.
inline std::string CompletionBytes(const std::string& model, bool stream, int tokens = 4'000) {
  return RequestBytes(
      "/v1/completions",
      boost::json::serialize(boost::json::object{
          {"model", model}, {"prompt", "hello"}, {"max_tokens", tokens}, {"stream", stream}}));
}

}  // namespace rudderloom::tests

#endif
