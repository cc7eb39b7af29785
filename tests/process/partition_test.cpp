// Nodes whose links to all endpoints are cut, while clients, the store and other nodes reach them.
#include <doctest/doctest.h>  // for TEST_CASE

#include "process/fleet_cluster.hpp"  // for FleetCluster
#include "rudderloom/http/pause.hpp"  // for PauseFor

namespace rudderloom::tests {
namespace {

constexpr int kNodeCount = 3;
constexpr int kRequestIntervalMs = 40;  // between two requests to one node
// From this long after the cut, its callers must be served.
constexpr int kDetectionMs = 3'000;
constexpr int kCutMs = 7'000;
constexpr int kAfterCutMs = 5'000;
constexpr Duration kKeepAliveTime{4'500};
// Of the first attempts at nodes that are cut off, compared with those at the others.
constexpr double kMinServedShare = 2.0 / 3.0;

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}

void StartAll(FleetCluster& cluster) {
  cluster.UseLinkProxies();
  cluster.Configure(1);
  for (const char* service : {"d1", "d2", "d3"}) {
    cluster.StartPlainService(service);
  }
  for (const char* engine : {"e1", "e2", "e3", "e4"}) {
    cluster.StartEngine(engine, "m,n");
  }
  for (int i = 0; i < kNodeCount; ++i) {
    cluster.StartFleetNode(NodeName(i));
  }
  for (int i = 0; i < kNodeCount; ++i) {
    REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus(NodeName(i)) == 200; }));
    REQUIRE(cluster.WaitUntil([&] {
      return cluster.Send({NodeName(i), "/stream/x", "warm" + std::to_string(i), "m"}).status ==
             200;
    }));
  }
}

// Requests of all kinds to each node, for `duration_ms`.
std::vector<FleetRequest> MakeRequests(const std::string& name, int duration_ms) {
  std::vector<FleetRequest> calls;
  for (int at = 0; at < duration_ms; at += kRequestIntervalMs) {
    for (int node = 0; node < kNodeCount; ++node) {
      const std::string id = name + std::to_string(at) + NodeName(node);
      const Duration send_after(at);
      switch ((at / kRequestIntervalMs) % 3) {
        case 0:
          calls.push_back({NodeName(node), "/safe/x", id, "", send_after, "body" + id});
          break;
        case 1:
          calls.push_back({NodeName(node), "/once/x", id, "", send_after, "body" + id});
          break;
        default:
          calls.push_back({NodeName(node), "/stream/x", id, "m", send_after, "body" + id});
          break;
      }
    }
  }
  return calls;
}

struct FirstAttempts {
  int served = 0;
  int sent = 0;
  double Share() const { return sent == 0 ? 1.0 : static_cast<double>(served) / sent; }
};

// Counts the requests that were sent at `from` or later.
FirstAttempts Count(const std::vector<FleetRequest>& calls,
                    const std::map<std::string, Response>& responses,
                    const std::function<bool(const std::string& node)>& counts_node,
                    Duration from) {
  FirstAttempts counted;
  for (const FleetRequest& call : calls) {
    if (counts_node(call.node) && call.send_after >= from) {
      ++counted.sent;
      counted.served += responses.at(call.id).status == 200 ? 1 : 0;
    }
  }
  return counted;
}

// Cuts the nodes off while all nodes get requests, and checks how these were served.
void CheckServedDuringCut(FleetCluster& cluster,
                          const std::set<std::string>& cut_nodes,
                          LinkCut how,
                          const std::set<std::string>& cut_endpoints = {}) {
  cluster.SendAll(MakeRequests("before", 1'000));
  cluster.CutLinks(cut_nodes, how, cut_endpoints);
  if (how == LinkCut::kOpenLive) {
    // New connections are needed once the endpoints' keep-alive time is over.
    cluster.Sleep(kKeepAliveTime);
  }
  const auto calls = MakeRequests("during", kCutMs);
  const auto responses = cluster.SendAll(calls);
  const auto is_cut = [&](const std::string& node) { return cut_nodes.contains(node); };
  const Duration detected(kDetectionMs);
  const FirstAttempts cut = Count(calls, responses, is_cut, detected);
  const FirstAttempts others = Count(
      calls, responses, [&](const std::string& node) { return !is_cut(node); }, detected);
  MESSAGE("cut off: ", cut.served, " of ", cut.sent, ", others: ", others.served, " of ",
          others.sent);
  CHECK(cut.Share() >= kMinServedShare * others.Share());
  cluster.RestoreLinks();
  const auto calls_after = MakeRequests("after", kAfterCutMs);
  const auto responses_after = cluster.SendAll(calls_after);
  const FirstAttempts after = Count(
      calls_after, responses_after, [](const std::string&) { return true; }, detected);
  MESSAGE("after the cut: ", after.served, " of ", after.sent);
  CHECK(after.served == after.sent);
  const auto runs = cluster.RunCounts();
  for (const FleetRequest& call : calls) {
    if (call.path == "/once/x") {
      CAPTURE(call.id);
      CHECK((!runs.contains(call.id) || runs.at(call.id) == 1));
    }
  }
}

// A node that does not hold the lease.
std::string FindOtherNode(FleetCluster& cluster) {
  return cluster.LeaseHolder() == NodeName(0) ? NodeName(1) : NodeName(0);
}

// Guards against nodes that refuse all requests while only their own links to endpoints are cut.
TEST_CASE("a node whose connections to all endpoints are reset serves its callers") {
  FleetCluster cluster;
  StartAll(cluster);
  CheckServedDuringCut(cluster, {FindOtherNode(cluster)}, LinkCut::kReset);
}

// Guards against waiting for connections that carry no data any more.
TEST_CASE("a node whose connections to all endpoints fall silent serves its callers") {
  FleetCluster cluster;
  StartAll(cluster);
  CheckServedDuringCut(cluster, {FindOtherNode(cluster)}, LinkCut::kSilent);
}

// Guards against taking open connections for a sign that new ones work.
TEST_CASE("a node that can open no new connections to endpoints serves its callers") {
  FleetCluster cluster;
  StartAll(cluster);
  CheckServedDuringCut(cluster, {FindOtherNode(cluster)}, LinkCut::kOpenLive);
}

// Guards against a fleet that can help single nodes only.
TEST_CASE("most nodes cut off from all endpoints serve their callers") {
  FleetCluster cluster;
  StartAll(cluster);
  CheckServedDuringCut(cluster, {NodeName(0), NodeName(1)}, LinkCut::kReset);
}

// Guards against nodes that refuse the requests of a service while they reach other services.
TEST_CASE("a node cut off from all endpoints of one service serves its callers") {
  FleetCluster cluster;
  StartAll(cluster);
  CheckServedDuringCut(cluster, {FindOtherNode(cluster)}, LinkCut::kReset, {"d1", "d2", "d3"});
}

// Guards against nodes that take crashes of some endpoints for the loss of their links: they drop
// the crashes that they have seen, and the lease holder resigns.
TEST_CASE("services that crash one after another are not taken for lost links") {
  constexpr int kServices = 10;
  constexpr int kCrashing = 6;
  FleetCluster cluster;
  cluster.Configure(1);
  for (int i = 0; i < kServices; ++i) {
    cluster.StartPlainService("d" + std::to_string(i), {.work = Duration(50)});
  }
  for (int i = 0; i < kNodeCount; ++i) {
    cluster.StartFleetNode(NodeName(i));
  }
  for (int i = 0; i < kNodeCount; ++i) {
    REQUIRE(cluster.WaitUntil([&] {
      return cluster.Send({NodeName(i), "/safe/x", "warm" + std::to_string(i), ""}).status == 200;
    }));
  }
  const std::string holder = cluster.LeaseHolder();
  std::vector<FleetRequest> calls;
  for (int at = 0; at < kAfterCutMs; at += kRequestIntervalMs / 4) {
    const std::string id = "call" + std::to_string(at);
    calls.push_back({NodeName((at / 10) % kNodeCount), "/safe/x", id, "", Duration(at)});
  }
  cluster.Spawn([](FleetCluster& services) -> Awaitable<void> {
    for (int i = 0; i < kCrashing; ++i) {
      co_await PauseFor(services.Context(), Duration(200));
      services.At("d" + std::to_string(i)).Kill();
    }
  }(cluster));
  cluster.SendAll(calls);
  bool any_counted = false;
  for (int i = 0; i < kNodeCount; ++i) {
    const std::string metrics = cluster.Metrics(NodeName(i));
    CAPTURE(i);
    CHECK(metrics.find("rudderloom_endpoint_ends_total{result=\"dropped\"}") == std::string::npos);
    any_counted = any_counted || metrics.find("result=\"counted\"") != std::string::npos;
  }
  CHECK(any_counted);
  CHECK(cluster.LeaseHolder() == holder);
}

// Guards against a lease holder that can send no orders and keeps the lease.
TEST_CASE("a lease holder cut off from all endpoints serves its callers and gives the lease up") {
  FleetCluster cluster;
  StartAll(cluster);
  const std::string holder = cluster.LeaseHolder();
  REQUIRE(!holder.empty());
  cluster.CutLinks({holder}, LinkCut::kReset);
  cluster.SendAll(MakeRequests("detect", 1'000));
  CHECK(cluster.WaitUntil([&] {
    const std::string now = cluster.LeaseHolder();
    return !now.empty() && now != holder;
  }));
  cluster.RestoreLinks();
  CheckServedDuringCut(cluster, {holder}, LinkCut::kReset);
}

}  // namespace
}  // namespace rudderloom::tests
