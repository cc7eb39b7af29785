// The callers' interface: OpenAI paths, refusals, limits, and responses under faults.
#include <doctest/doctest.h>  // for TEST_CASE

#include <csignal>  // for SIGTERM
#include <future>   // for async

#include "fakes/cells.hpp"              // for ProvedCell
#include "process/cluster.hpp"          // for Cluster
#include "process/raw_caller.hpp"       // for RawCaller
#include "standin/expected_answer.hpp"  // for ExpectedText

namespace rudderloom::tests {

namespace {

namespace json = boost::json;

// A platform, two engines, one service and two entry nodes that serve all models.
struct ServingCluster : Cluster {
  explicit ServingCluster(const json::object& settings = {}) {
    StartPlatform();
    StartEndpoint("ep1", {"--checks-fences"});
    StartEndpoint("ep2");
    StartService("desk1", "desk");
    StartNode("n1", settings);
    StartNode("n2", settings);
    Apply("n1", "set", kDeclarations);
    for (const char* node : {"n1", "n2"}) {
      REQUIRE(WaitUntil([&] { return Call(At(node).Address(), "/readyz").status == 200; }));
    }
    // Each node sees both copies of m and the only one of n.
    for (const char* node : {"n1", "n2"}) {
      REQUIRE(WaitUntil([&] {
        const std::string metrics = Call(At(node).Address(), "/metrics").body;
        return metrics.find("serving_endpoints{model=\"m\"} 2\n") != std::string::npos &&
               metrics.find("serving_endpoints{model=\"n\"} 1\n") != std::string::npos;
      }));
    }
  }
  Response Complete(const std::string& node,
                    const std::string& body,
                    const HeaderList& headers = {}) {
    return Call(At(node).Address(), "/v1/completions", body, headers);
  }
  Response CallDesk(const std::string& node, const std::string& call, HeaderList headers) {
    headers.emplace_back("X-Call-Id", call);
    return Call(At(node).Address(), "/services/desk/slots", "{}", headers);
  }
  std::int64_t RunCount(const std::string& call) {
    const json::object runs = Stats("desk1").at("runs").as_object();
    const json::value* found = runs.if_contains(call);
    return found == nullptr ? 0 : found->as_int64();
  }
};

std::string CompletionBody(const std::string& model, int tokens, bool stream) {
  return json::serialize(json::object{
      {"model", model}, {"prompt", "hello"}, {"max_tokens", tokens}, {"stream", stream}});
}

// Returns the text of a stream of completion chunks; empty without the [DONE] marker.
std::string StreamText(const std::string& body) {
  std::string text;
  bool done = false;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (line == "data: [DONE]") {
      done = true;
    } else if (line.starts_with("data: ")) {
      const json::object chunk = json::parse(line.substr(6)).as_object();
      if (!chunk.contains("choices")) {
        return "";
      }
      text += chunk.at("choices").as_array().front().at("text").as_string().c_str();
    }
  }
  return done ? text : "";
}

// Sends raw bytes and reads until the server closes the connection.
std::string SendRaw(const std::string& address, const std::string& bytes) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(ParseAddress(address));
  asio::write(socket, asio::buffer(bytes));
  std::string response;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(response), error);
  return response;
}

}  // namespace

TEST_CASE("malformed and hostile requests get their documented error, and the node keeps serving") {
  ServingCluster cluster(
      {{"limits", {{"body", "4KiB"}, {"header", "2KiB"}, {"header_time", "400ms"}}}});
  const std::string node = cluster.At("n1").Address();
  const auto reason = [](const Response& response) {
    const json::object problem = response.Json();
    CHECK(response.Header("Content-Type") == "application/problem+json");
    CHECK_FALSE(response.Header("Retry-After").empty());
    CHECK_FALSE(response.Header("X-Request-Id").empty());
    CHECK(problem.at("ran").as_string() == "no");
    return std::string(problem.at("reason").as_string());
  };
  CHECK(reason(cluster.Complete("n1", "{")) == "invalid_json");
  CHECK(reason(cluster.Complete("n1", "{\"model\": 3}")) == "invalid_json");
  CHECK(reason(cluster.Call(node, "/v1/chat/completions",
                            "{\"model\": \"m\", \"messages\": \"hello\"}")) == "invalid_json");
  CHECK(reason(cluster.Complete("n1", CompletionBody("nope", 1, false))) == "unknown_model");
  CHECK(reason(cluster.Complete("n1", std::string(5'000, 'x'))) == "body_too_large");
  CHECK(reason(cluster.Call(node, "/nowhere")) == "unknown_path");
  CHECK(reason(cluster.Call(node, "/v1/completions")) == "method_not_allowed");
  CHECK(reason(cluster.Call(node, "/services/nope/x")) == "unknown_service");
  CHECK(reason(cluster.Complete("n1", CompletionBody("m", 1, false),
                                {{"X-Request-Timeout", "soon"}})) == "invalid_header");
  CHECK(reason(cluster.Complete("n1", CompletionBody("m", 1, false),
                                {{"X-Request-Kind", "odd"}})) == "invalid_header");
  CHECK(reason(cluster.Complete("n1", CompletionBody("m", 1, false),
                                {{"X-Long", std::string(3'000, 'x')}})) == "header_too_large");
  CHECK(SendRaw(node, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n").find("request_too_slow") !=
        std::string::npos);
  CHECK(
      SendRaw(node, "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n").find("malformed_request") !=
      std::string::npos);
  CHECK(SendRaw(node, "what is this\r\n\r\n").find("malformed_request") != std::string::npos);
  CHECK(cluster.Complete("n1", CompletionBody("m", 1, false)).status == 200);
  const std::string metrics = cluster.Call(node, "/metrics").body;
  CHECK(metrics.find("rudderloom_refusals_total{reason=\"invalid_json\"} 3") != std::string::npos);
}

TEST_CASE("whole and streamed responses are complete, with the caller's own request id") {
  ServingCluster cluster;
  const auto whole =
      cluster.Complete("n1", CompletionBody("m", 5, false), {{"X-Request-Id", "mine"}});
  CHECK(whole.Header("X-Request-Id") == "mine");
  CHECK(whole.Json().at("choices").as_array().front().at("text").as_string() ==
        standin::ExpectedText("m", "hello", 5));
  const auto streamed = cluster.Complete("n2", CompletionBody("m", 5, true));
  CHECK(streamed.Header("Content-Type") == "text/event-stream");
  CHECK(StreamText(streamed.body) == standin::ExpectedText("m", "hello", 5));
  const auto models = cluster.Call(cluster.At("n1").Address(), "/v1/models").Json();
  CHECK(models.at("data").as_array().size() == 2);
}

TEST_CASE("a stream that breaks goes on at another endpoint, with no token lost or repeated") {
  ServingCluster cluster;
  for (const char* endpoint : {"ep1", "ep2"}) {
    cluster.SetFaults(endpoint, {{"cut_after_tokens", 4}, {"cut_streams", 1}});
  }
  const auto streamed = cluster.Complete("n1", CompletionBody("m", 30, true));
  CHECK(StreamText(streamed.body) == standin::ExpectedText("m", "hello", 30));
  const std::string metrics = cluster.Call(cluster.At("n1").Address(), "/metrics").body;
  CHECK(metrics.find("rudderloom_retries_total{reason=\"cut_midway\"}") != std::string::npos);
  fakes::ProvedCell("mid-stream", "connection cut after the call", "a stream that breaks goes on");
}

TEST_CASE("an endpoint killed in the middle of a stream: another endpoint continues it") {
  ServingCluster cluster;
  auto response = std::async(std::launch::async, [&] {
    Cluster client;
    return client.Call(cluster.At("n1").Address(), "/v1/completions",
                       CompletionBody("m", 200, true));
  });
  std::string busy;
  REQUIRE(cluster.WaitUntil([&] {
    for (const char* endpoint : {"ep1", "ep2"}) {
      if (cluster.Stats(endpoint).at("report").at("running").as_int64() > 0) {
        busy = endpoint;
      }
    }
    return !busy.empty();
  }));
  cluster.At(busy).Kill();
  CHECK(StreamText(response.get().body) == standin::ExpectedText("m", "hello", 200));
  fakes::ProvedCell("mid-stream", "endpoint killed", "an endpoint killed in the middle");
}

TEST_CASE("a frozen endpoint: another endpoint continues its stream after the token timeout") {
  ServingCluster cluster({{"deadlines", {{"between_tokens", "500ms"}}}});
  auto response = std::async(std::launch::async, [&] {
    Cluster client;
    return client.Call(cluster.At("n1").Address(), "/v1/completions",
                       CompletionBody("m", 200, true));
  });
  std::string busy;
  REQUIRE(cluster.WaitUntil([&] {
    for (const char* endpoint : {"ep1", "ep2"}) {
      if (cluster.Stats(endpoint).at("report").at("running").as_int64() > 0) {
        busy = endpoint;
      }
    }
    return !busy.empty();
  }));
  cluster.At(busy).Signal(SIGSTOP);
  CHECK(StreamText(response.get().body) == standin::ExpectedText("m", "hello", 200));
  cluster.At(busy).Signal(SIGCONT);
  fakes::ProvedCell("mid-stream", "frozen past its lease and thawed", "a frozen endpoint");
}

TEST_CASE("a stream that can't be resumed ends as a visible error, never as a truncated success") {
  ServingCluster cluster({{"deadlines", {{"resume", "1s"}}}});
  for (const char* endpoint : {"ep1", "ep2"}) {
    cluster.SetFaults(endpoint, {{"cut_after_tokens", 2}, {"cut_streams", 100}});
  }
  const auto broken = cluster.Complete("n1", CompletionBody("m", 30, true));
  CHECK(broken.status == 0);  // the body was truncated
  CHECK(cluster.Call(cluster.At("n1").Address(), "/healthz").status == 200);
}

TEST_CASE("a call that may not be repeated: it is not sent again when its response is lost") {
  ServingCluster cluster;
  cluster.SetFaults("desk1", {{"lose_answer", 1}});
  const auto lost = cluster.CallDesk("n1", "c1", {{"Idempotency-Key", "k1"}});
  CHECK(lost.Json().at("reason").as_string() == "outcome_unknown");
  CHECK(lost.Json().at("ran").as_string() == "unknown");
  CHECK(cluster.RunCount("c1") == 1);
  // A retry with the same key through the other node reports the unknown outcome and runs nothing.
  const auto again = cluster.CallDesk("n2", "c1", {{"Idempotency-Key", "k1"}});
  CHECK(again.Json().at("ran").as_string() == "unknown");
  CHECK(cluster.RunCount("c1") == 1);
  fakes::ProvedCell("ended", "connection cut after the call", "a call that may not be repeated");
}

TEST_CASE(
    "a second call with the same key gets the first one's result, also through another node") {
  ServingCluster cluster;
  const auto first = cluster.CallDesk("n1", "c1", {{"Idempotency-Key", "k1"}});
  CHECK(first.status == 200);
  Response second;
  CHECK(cluster.WaitUntil([&] {
    second = cluster.CallDesk("n2", "c1", {{"Idempotency-Key", "k1"}});
    return second.status == 200;
  }));
  CHECK(second.body == first.body);
  CHECK(second.Header("Idempotency-Replayed") == "true");
  CHECK(cluster.RunCount("c1") == 1);
  const auto client = cluster.Call(cluster.At("n1").Address(), "/services/desk/slots", "{\"x\": 1}",
                                   {{"Idempotency-Key", "k1"}});
  CHECK(client.Json().at("reason").as_string() == "key_reused");
}

TEST_CASE("a node frozen with a claimed call in progress: the call runs once") {
  ServingCluster cluster;
  cluster.SetFaults("desk1", {{"delay_ms", 1'500}});
  auto first = std::async(std::launch::async, [&] {
    Cluster client;
    return client.Call(cluster.At("n1").Address(), "/services/desk/slots", "{}",
                       {{"Idempotency-Key", "k1"}, {"X-Call-Id", "c1"}});
  });
  REQUIRE(cluster.WaitUntil([&] {
    const std::string metrics = cluster.Call(cluster.At("n1").Address(), "/metrics").body;
    return metrics.find("rudderloom_claim_changes_total 1") != std::string::npos;
  }));
  cluster.At("n1").Signal(SIGSTOP);
  cluster.SetFaults("desk1", {{"delay_ms", 0}});
  const auto second = cluster.CallDesk("n2", "c1", {{"Idempotency-Key", "k1"}});
  CHECK(second.Json().at("reason").as_string() == "call_in_progress");
  CHECK(second.Json().at("ran").as_string() == "unknown");
  cluster.At("n1").Signal(SIGCONT);
  CHECK(first.get().status == 200);
  CHECK(cluster.WaitUntil([&] {
    return cluster.CallDesk("n2", "c1", {{"Idempotency-Key", "k1"}}).status == 200;
  }));
  CHECK(cluster.RunCount("c1") == 1);
  fakes::ProvedCell("sent", "frozen past its lease and thawed",
                    "a node frozen with a claimed call");
}

TEST_CASE("a node killed with a claimed call in progress: no node runs it again") {
  ServingCluster cluster;
  cluster.SetFaults("desk1", {{"delay_ms", 1'000}});
  auto first = std::async(std::launch::async, [&] {
    Cluster client;
    return client.Call(cluster.At("n1").Address(), "/services/desk/slots", "{}",
                       {{"Idempotency-Key", "k1"}, {"X-Call-Id", "c1"}});
  });
  REQUIRE(cluster.WaitUntil([&] {
    const std::string metrics = cluster.Call(cluster.At("n1").Address(), "/metrics").body;
    return metrics.find("rudderloom_claim_changes_total 1") != std::string::npos;
  }));
  cluster.At("n1").Kill();
  CHECK(first.get().status == 0);
  const auto second = cluster.CallDesk("n2", "c1", {{"Idempotency-Key", "k1"}});
  CHECK(second.Json().at("ran").as_string() == "unknown");
  cluster.SetFaults("desk1", {{"delay_ms", 0}});
  cluster.WaitUntil([&] { return cluster.RunCount("c1") > 0; }, Duration(2'000));
  CHECK(cluster.RunCount("c1") <= 1);
  fakes::ProvedCell("first byte", "process killed", "a node killed with a claimed call");
}

TEST_CASE("with the platform down: keyed calls are refused immediately, others are served") {
  ServingCluster cluster;
  cluster.At("platform").Signal(SIGSTOP);
  // The first call detects the outage; later ones are refused without a wait.
  CHECK(cluster.CallDesk("n1", "c1", {{"Idempotency-Key", "k1"}}).Json().at("reason").as_string() ==
        "claims_unavailable");
  const TimePoint before = Now();
  const auto refused = cluster.CallDesk("n1", "c2", {{"Idempotency-Key", "k2"}});
  CHECK(Between(before, Now()) < Duration(500));
  CHECK(refused.Json().at("ran").as_string() == "no");
  CHECK_FALSE(refused.Header("Retry-After").empty());
  CHECK(cluster.CallDesk("n1", "c3", {}).status == 200);
  CHECK(cluster.Complete("n1", CompletionBody("m", 3, false)).status == 200);
  cluster.At("platform").Signal(SIGCONT);
  CHECK(cluster.WaitUntil([&] {
    return cluster.CallDesk("n2", "c1", {{"Idempotency-Key", "k1"}}).status == 200;
  }));
  CHECK(cluster.RunCount("c1") == 1);
  CHECK(cluster.RunCount("c2") == 0);
  for (const char* step : {"accepted", "admitted"}) {
    fakes::ProvedCell(step, "platform down", "with the platform down");
  }
}

TEST_CASE(
    "an endpoint that says it is leaving gets no new requests, even if the node list is stale") {
  ServingCluster cluster;
  const std::string leaving_endpoint = "ep1";
  cluster.Call(cluster.At(leaving_endpoint).Address(), "/leave");
  const auto sees_leaving = [&](const std::string& node) {
    const auto [status, text] =
        cluster.RunCli({"status", "--daemon", cluster.At(node).Address(1), "--output", "json"});
    const json::value parsed = json::parse(text);
    for (const auto& endpoint : parsed.at("endpoints").as_array()) {
      if (endpoint.at("name").as_string() == leaving_endpoint) {
        return endpoint.at("state").as_string() == "leaving";
      }
    }
    return false;
  };
  REQUIRE(
      cluster.WaitUntil([&] { return sees_leaving("n1") && sees_leaving("n2"); }, Duration(3'000)));
  const auto before = cluster.Stats(leaving_endpoint).at("after_leaving").as_int64();
  for (int i = 0; i < 20; ++i) {
    CHECK(cluster.Complete(i % 2 == 0 ? "n1" : "n2", CompletionBody("m", 1, false)).status == 200);
  }
  CHECK(cluster.Stats(leaving_endpoint).at("after_leaving").as_int64() == before);
  fakes::ProvedCell("node leaving", "node list stale", "an endpoint that says it is leaving");
  fakes::ProvedCell("admitted", "endpoint leaving", "an endpoint that says it is leaving");
}

TEST_CASE("a planned stop cuts nothing: the stream in flight ends, then the process exits with 0") {
  ServingCluster cluster;
  auto response = std::async(std::launch::async, [&] {
    Cluster client;
    return client.Call(cluster.At("n1").Address(), "/v1/completions",
                       CompletionBody("m", 300, true));
  });
  REQUIRE(cluster.WaitUntil([&] {
    return cluster.Stats("ep1").at("report").at("running").as_int64() +
               cluster.Stats("ep2").at("report").at("running").as_int64() >
           0;
  }));
  cluster.At("n1").Signal(SIGTERM);
  CHECK(cluster.WaitUntil([&] {
    const auto ready = cluster.Call(cluster.At("n1").Address(), "/readyz");
    return ready.status == 503 || ready.status == 0;
  }));
  CHECK(StreamText(response.get().body) == standin::ExpectedText("m", "hello", 300));
  CHECK(cluster.At("n1").Wait(Duration(15'000)) == 0);
  // Its leases were handed over: the other node holds the pool.
  CHECK(cluster.WaitUntil(
      [&] {
        const auto [status, text] =
            cluster.RunCli({"status", "--daemon", cluster.At("n2").Address(1), "--output", "json"});
        return !json::parse(text).at("held_pools").as_array().empty();
      },
      Duration(5'000)));
  fakes::ProvedCell("mid-stream", "planned stop", "a planned stop cuts nothing");
  fakes::ProvedCell("node leaving", "planned stop", "a planned stop cuts nothing");
}

std::string DeskCallBytes(const std::string& call, const std::string& headers = {}) {
  return RequestBytes("/services/desk/slots", "{}",
                      "X-Call-Id: " + call + "\r\nX-Request-Timeout: 60s\r\n" + headers);
}

bool HasMetric(ServingCluster& cluster, const std::string& line) {
  return cluster.WaitUntil(
      [&] {
        return cluster.Call(cluster.At("n1").Address(), "/metrics").body.find(line + "\n") !=
               std::string::npos;
      },
      Duration(5'000));
}

// Guards against calls that are sent although their caller left while they waited for a slot.
TEST_CASE("a call whose caller leaves while it waits is not sent, and one in progress is ended") {
  ServingCluster cluster;
  constexpr int kSlots = 6;  // three quarters of eight
  cluster.SetFaults("desk1", {{"hang", kSlots}});
  const std::string node = cluster.At("n1").Address();
  std::vector<std::unique_ptr<RawCaller>> in_progress;
  in_progress.reserve(kSlots);
  for (int i = 0; i < kSlots; ++i) {
    in_progress.push_back(
        std::make_unique<RawCaller>(node, DeskCallBytes("running-" + std::to_string(i))));
  }
  REQUIRE(HasMetric(cluster, "rudderloom_running " + std::to_string(kSlots)));
  auto waiting = std::make_unique<RawCaller>(node, DeskCallBytes("waiting"));
  REQUIRE(HasMetric(cluster, "rudderloom_waiting 1"));
  waiting.reset();
  CHECK(HasMetric(cluster, "rudderloom_waiting 0"));
  in_progress.clear();
  CHECK(HasMetric(cluster, "rudderloom_running 0"));
  CHECK(HasMetric(
      cluster, "rudderloom_requests_total{result=\"caller_gone\"} " + std::to_string(kSlots + 1)));
  cluster.SetFaults("desk1", {{"hang", 0}});
  CHECK(cluster.CallDesk("n1", "next", {}).status == 200);
  CHECK(cluster.RunCount("waiting") == 0);
}

// Guards against the loss of an outcome that a caller asks for after its connection broke.
TEST_CASE("a call with a key goes on when its caller leaves, and the next one gets its outcome") {
  ServingCluster cluster;
  cluster.SetFaults("desk1", {{"hang", 1}});
  const std::string key = "X-Caller: c\r\nIdempotency-Key: k\r\n";
  auto caller = std::make_unique<RawCaller>(cluster.At("n1").Address(), DeskCallBytes("one", key));
  REQUIRE(HasMetric(cluster, "rudderloom_running 1"));
  caller.reset();
  cluster.Sleep(Duration(300));
  cluster.SetFaults("desk1", {{"hang", 0}});
  const HeaderList again{{"X-Caller", "c"}, {"Idempotency-Key", "k"}};
  CHECK(cluster.WaitUntil([&] {
    return cluster.CallDesk("n1", "one", again).Header("Idempotency-Replayed") == "true";
  }));
  CHECK(cluster.RunCount("one") == 1);
}

TEST_CASE("a full system refuses requests immediately with a Retry-After header") {
  ServingCluster cluster({{"limits", {{"queue", 2}}}});
  std::vector<std::future<Response>> responses;
  responses.reserve(40);
  for (int i = 0; i < 40; ++i) {
    responses.push_back(std::async(std::launch::async, [&] {
      Cluster client;
      return client.Call(cluster.At("n1").Address(), "/v1/completions",
                         CompletionBody("m", 100, false));
    }));
  }
  int served = 0;
  int refused = 0;
  for (auto& future : responses) {
    const Response response = future.get();
    served += response.status == 200 ? 1 : 0;
    if (response.status == 429) {
      ++refused;
      CHECK(response.Json().at("ran").as_string() == "no");
      CHECK_FALSE(response.Header("Retry-After").empty());
    }
  }
  CHECK(served + refused == 40);
  // With two nodes, this one uses three quarters of the eight slots on each of two endpoints, and
  // two requests wait.
  CHECK(served >= 2 * 6 + 2);
  CHECK(refused > 0);
}

}  // namespace rudderloom::tests
