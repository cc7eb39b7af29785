// Configuration and membership with nodes as real processes.
#include <doctest/doctest.h>  // for TEST_CASE

#include <unistd.h>  // for getpid

#include <csignal>     // for SIGSTOP
#include <filesystem>  // for temp_directory_path
#include <fstream>     // for ofstream

#include "fakes/cells.hpp"      // for ProvedCell
#include "process/cluster.hpp"  // for Cluster

namespace rudderloom::tests {

namespace {

namespace json = boost::json;

std::int64_t Generation(Cluster& cluster, const std::string& node) {
  const auto [status, text] = cluster.RunCli({"get", "--daemon", cluster.At(node).Address(1)});
  return status == 0 ? json::parse(text).at("generation").as_int64() : -1;
}

std::pair<int, std::string> Drain(Cluster& cluster,
                                  const std::string& node,
                                  const std::string& endpoint) {
  return cluster.RunCli(
      {"drain", endpoint, "--daemon", cluster.At(node).Address(1), "--author", "ada", "--wait"});
}

}  // namespace

TEST_CASE("a node that was frozen resumes with the active configuration, never an older one") {
  Cluster cluster;
  cluster.StartPlatform();
  for (const char* node : {"n1", "n2", "n3"}) {
    cluster.StartNode(node);
  }
  cluster.Apply("n1", "set", kDeclarations);
  cluster.At("n3").Signal(SIGSTOP);
  // Applied on all nodes but the frozen one, which still counts as live for a short time.
  REQUIRE(cluster.WaitUntil([&] { return Drain(cluster, "n1", "ep1").first == 0; }));
  REQUIRE(cluster.WaitUntil([&] { return Drain(cluster, "n2", "ep2").first == 0; }));
  cluster.At("n3").Signal(SIGCONT);
  CHECK(cluster.WaitUntil([&] { return Generation(cluster, "n3") == 3; }, Duration(5'000)));
  // Restarted without local state, it gets the same configuration.
  cluster.At("n3").Kill();
  cluster.StartNode("n3");
  CHECK(cluster.WaitUntil([&] { return Generation(cluster, "n3") == 3; }, Duration(5'000)));
  fakes::ProvedCell("configuration applied", "frozen past its lease and thawed",
                    "a node that was frozen");
  fakes::ProvedCell("configuration applied", "process killed", "a node that was frozen");
}

TEST_CASE("a node whose watch is silent gets the configuration from its peers") {
  Cluster cluster;
  cluster.StartPlatform();
  cluster.StartNode("n1");
  cluster.StartNode("n2");
  cluster.Apply("n1", "set", kDeclarations);
  cluster.SetFaults("platform", {{"silent_watch", true}});
  CHECK(Drain(cluster, "n1", "ep1").first == 0);
  CHECK(cluster.WaitUntil([&] { return Generation(cluster, "n2") == 2; }, Duration(5'000)));
  fakes::ProvedCell("configuration spread", "watch silent", "a node whose watch is silent");
}

TEST_CASE("a compacted watch falls back to a new list") {
  Cluster cluster;
  cluster.StartPlatform();
  cluster.StartNode("n1", {{"membership", {{"heartbeat", "1s"}, {"silent_after", "3s"}}}});
  cluster.Apply("n1", "set", kDeclarations);
  cluster.SetFaults("platform", {{"compact", 4}, {"refuse", true}});
  cluster.SetFaults("platform", {{"refuse", false}});
  CHECK(cluster.WaitUntil([&] { return Drain(cluster, "n1", "ep1").first == 0; }, Duration(8'000)));
  CHECK(cluster.WaitUntil([&] { return Generation(cluster, "n1") == 2; }, Duration(5'000)));
  fakes::ProvedCell("configuration spread", "watch compacted", "a compacted watch");
}

TEST_CASE(
    "operators race through two nodes: exactly one wins, the other gets the name of the winner") {
  Cluster cluster;
  cluster.StartPlatform();
  cluster.StartNode("n1");
  cluster.StartNode("n2");
  cluster.Apply("n1", "set", kDeclarations);
  const auto change = [&](const std::string& node, const std::string& author) {
    return cluster.RunCli({"drain", "ep-" + author, "--daemon", cluster.At(node).Address(1),
                           "--author", author, "--generation", "1", "--output", "json"});
  };
  const auto [first, first_text] = change("n1", "ada");
  const auto [second, second_text] = change("n2", "bob");
  CHECK(first == 0);
  CHECK(second == 3);
  CHECK(second_text.find("ada") != std::string::npos);
  fakes::ProvedCell("configuration spread", "operators racing", "operators race through two nodes");
}

TEST_CASE("a change while the platform is unavailable is refused and does not take effect later") {
  Cluster cluster;
  cluster.StartPlatform();
  cluster.StartNode("n1");
  cluster.Apply("n1", "set", kDeclarations);
  cluster.SetFaults("platform", {{"refuse", true}});
  CHECK(Drain(cluster, "n1", "ep1").first == 4);
  cluster.SetFaults("platform", {{"refuse", false}});
  CHECK(Generation(cluster, "n1") == 1);
  CHECK(cluster.WaitUntil([&] { return Drain(cluster, "n1", "ep1").first == 0; }, Duration(8'000)));
}

TEST_CASE("a lost platform response is resolved: the change is accepted once") {
  Cluster cluster;
  cluster.StartPlatform();
  cluster.StartNode("n1");
  cluster.Apply("n1", "set", kDeclarations);
  cluster.SetFaults("platform", {{"lose_answer", 1}});
  CHECK(Drain(cluster, "n1", "ep1").first == 0);
  CHECK(Generation(cluster, "n1") >= 1);
  CHECK(cluster.WaitUntil([&] { return Generation(cluster, "n1") == 2; }, Duration(5'000)));
}

TEST_CASE(
    "a node cut off from platform and peers refuses new requests; with a peer it serves them") {
  Cluster cluster;
  cluster.StartPlatform();
  const json::object settings{{"membership", {{"unconfirmed_limit", "1500ms"}}}};
  cluster.StartNode("n1", settings);
  cluster.StartNode("n2", settings);
  cluster.StartEndpoint("ep1");
  cluster.Apply("n1", "set", kDeclarations);
  REQUIRE(cluster.WaitUntilServed("n1", "m"));
  const auto reason = [&] {
    return std::string(cluster.Call(cluster.At("n1").Address(), "/readyz").body);
  };
  // Only the platform is unavailable: both nodes keep serving.
  cluster.At("platform").Signal(SIGSTOP);
  CHECK_FALSE(cluster.WaitUntil([&] { return reason().find("isolated") != std::string::npos; },
                                Duration(3'000)));
  // The peer is unavailable too: this node can't confirm the active configuration any more.
  cluster.At("n2").Signal(SIGSTOP);
  CHECK(cluster.WaitUntil([&] { return reason().find("isolated") != std::string::npos; },
                          Duration(6'000)));
  const auto refused = cluster.Call(cluster.At("n1").Address(), "/v1/completions",
                                    R"({"model": "m", "prompt": "p"})");
  CHECK(refused.Json().at("reason").as_string() == "isolated");
  CHECK(refused.Json().at("ran").as_string() == "no");
  cluster.At("platform").Signal(SIGCONT);
  cluster.At("n2").Signal(SIGCONT);
  CHECK(cluster.WaitUntil([&] { return reason().find("true") != std::string::npos; }));
  fakes::ProvedCell("configuration applied", "platform down + frozen past its lease and thawed",
                    "a node cut off from platform and peers");
  fakes::ProvedCell("configuration applied", "platform down", "a node cut off");
}

TEST_CASE("a killed entry node leaves the others serving, and is replaced") {
  Cluster cluster;
  cluster.StartPlatform();
  for (const char* node : {"n1", "n2", "n3"}) {
    cluster.StartNode(node);
  }
  cluster.StartEndpoint("ep1");
  cluster.Apply("n1", "set", kDeclarations);
  REQUIRE(cluster.WaitUntilServed("n1", "m"));
  cluster.At("n3").Kill();
  const auto count_live = [&](const std::string& node) {
    const auto [status, text] =
        cluster.RunCli({"status", "--daemon", cluster.At(node).Address(1), "--output", "json"});
    std::size_t count = 0;
    if (status == 0) {
      const json::value parsed = json::parse(text);
      for (const auto& entry : parsed.at("nodes").as_array()) {
        count += entry.at("live").as_bool() ? 1 : 0;
      }
    }
    return count;
  };
  CHECK(cluster.WaitUntil([&] { return count_live("n1") == 2 && count_live("n2") == 2; },
                          Duration(8'000)));
  CHECK(cluster.WaitUntilServed("n1", "m"));
  CHECK(cluster.WaitUntilServed("n2", "m"));
  cluster.StartNode("n3");
  CHECK(cluster.WaitUntil([&] { return count_live("n1") == 3 && count_live("n3") == 3; },
                          Duration(8'000)));
  CHECK(cluster.WaitUntilServed("n3", "m"));
  fakes::ProvedCell("node serving", "process killed", "a killed entry node leaves the others");
  fakes::ProvedCell("node joining", "process killed", "a killed entry node leaves the others");
}

TEST_CASE("settings that can't be read and unknown commands fail with their exit status") {
  Cluster cluster;
  const auto [status, text] = cluster.RunCli({"check", "--settings", "/nonexistent.json"});
  CHECK(status == 2);
  const std::string file =
      std::filesystem::temp_directory_path() / ("settings-" + std::to_string(::getpid()) + ".json");
  std::ofstream(file) << R"({"stop_time": "99999999999999999999.0h", "typo": 1})";
  const auto [invalid, errors] = cluster.RunCli({"check", "--settings", file});
  CHECK(invalid == 2);
  for (const char* path : {"/stop_time: ", "/typo: ", "/node"}) {
    CAPTURE(path);
    CHECK(errors.find(path) != std::string::npos);
  }
  std::filesystem::remove(file);
  const auto [usage, usage_text] = cluster.RunCli({"frobnicate"});
  CHECK(usage == 64);
  const auto [version, version_text] = cluster.RunCli({"--version"});
  CHECK(version == 0);
  CHECK(version_text.starts_with("rudderloom "));
}

}  // namespace rudderloom::tests
