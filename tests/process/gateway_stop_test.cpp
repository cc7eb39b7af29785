// Gateways that end, stop, are suspended or lose their own links while they relay answers.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>  // for all_of
#include <csignal>    // for SIGTERM, SIGSTOP, SIGCONT

#include "process/fleet_cluster.hpp"  // for FleetCluster
#include "process/raw_caller.hpp"     // for RawCaller

namespace rudderloom::tests {
namespace {

// The node whose links are cut, and the nodes that forward its requests.
constexpr const char* kNode = "n0";
constexpr const char* kGateway = "n1";
constexpr const char* kOtherGateway = "n2";
constexpr int kCallersPerKind = 6;
constexpr Duration kWork{1'000};
constexpr Duration kEventTime{150};  // eight events a stream
constexpr Duration kUnderway{400};   // all requests are with an endpoint by then
constexpr Duration kAnswerTime{12'000};
constexpr int kLongAnswerBytes = 8 * 1024 * 1024;

// A client with a connection that has already carried an answer.
struct KeptCaller {
  std::string path;
  std::string id;
  std::unique_ptr<RawCaller> connection;
  Received received;
};

// The bodies differ: requests that look alike are not sent again once they may have caused crashes.
std::string BytesOf(const std::string& path, const std::string& id) {
  const std::string body = "body " + id;
  const std::string model =
      path == "/stream/x" ? "Model: m\r\nToken-Count: 10,40\r\nPrompt-Prefix: ab:6,cd:4\r\n" : "";
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 8000\r\n" + model + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

class Relaying {
 public:
  explicit Relaying(const std::vector<std::string>& nodes) {
    cluster.UseLinkProxies();
    cluster.SetRouteTimeout(Duration(10'000));
    // The requests that find the cut out are sent again too.
    constexpr double kManyRetries = 1'000.0;
    cluster.SetRetryExtra(kManyRetries);
    cluster.Configure(1);
    for (const char* service : {"d1", "d2", "d3"}) {
      PlainServiceOptions options;
      options.slots = 16;
      options.work = kWork;
      cluster.StartPlainService(service, options);
    }
    constexpr int kSlots = 8;
    for (const char* engine : {"e1", "e2", "e3"}) {
      cluster.StartEngine(engine, "m,n", kSlots, kEventTime);
    }
    for (const std::string& node : nodes) {
      cluster.StartFleetNode(node);
    }
    for (const std::string& node : nodes) {
      REQUIRE(cluster.WaitUntil([&] { return cluster.ReadyStatus(node) == 200; }));
      REQUIRE(cluster.WaitUntil([&] {
        return cluster.Send({node, "/safe/x", "warm" + node, ""}).status == 200 &&
               cluster.Send({node, "/stream/x", "warms" + node, "m"}).status == 200;
      }));
    }
  }

  // Opens connections to the node and carries a first request over each.
  void OpenConnections(const std::vector<std::string>& paths) {
    for (const std::string& path : paths) {
      for (int i = 0; i < kCallersPerKind; ++i) {
        const std::string id = path.substr(1, 2) + std::to_string(i);
        const std::string address = cluster.At(kNode).Address();
        callers.push_back(
            {path, id, std::make_unique<RawCaller>(address, BytesOf("/safe/x", "first" + id)), {}});
      }
    }
    for (KeptCaller& caller : callers) {
      const Received first = caller.connection->Receive(kAnswerTime);
      REQUIRE(first.complete);
      REQUIRE(first.response.status == 200);
    }
  }

  // Cuts the node's links and waits until it has seen that, and each of these gateways has
  // forwarded a request.
  void CutNode(const std::vector<std::string>& gateways) {
    cluster.CutLinks({kNode}, LinkCut::kReset);
    int count = 0;
    REQUIRE(cluster.WaitUntil([&] {
      std::vector<FleetRequest> calls;
      for (int i = 0; i < 4; ++i) {
        const std::string id = "probe" + std::to_string(count++);
        calls.push_back({kNode, "/safe/x", id, "", Duration(0), "body " + id});
      }
      cluster.SendAll(calls);
      const bool cut_off =
          cluster.Metrics(kNode).find("rudderloom_endpoints_reachable 0") != std::string::npos;
      return cut_off &&
             std::all_of(gateways.begin(), gateways.end(), [&](const std::string& gateway) {
               return cluster.MetricSum(gateway, "rudderloom_gateway_requests_total") > 0;
             });
    }));
  }

  void SendAll() {
    for (KeptCaller& caller : callers) {
      caller.connection->Send(BytesOf(caller.path, caller.id));
    }
    cluster.Sleep(kUnderway);
  }

  void ReceiveAll() {
    for (KeptCaller& caller : callers) {
      caller.received = caller.connection->Receive(kAnswerTime);
    }
    runs = cluster.RunCounts();
  }

  int CountStatus(const std::string& path, unsigned status) const {
    int count = 0;
    for (const KeptCaller& caller : callers) {
      count += caller.path == path && caller.received.response.status == status ? 1 : 0;
    }
    return count;
  }

  // Each answer is whole and belongs to its request; what must run once has.
  void CheckAnswers() {
    for (const KeptCaller& caller : callers) {
      CAPTURE(caller.id);
      INFO(caller.received.Text());
      CHECK(caller.received.complete);
      const Response& response = caller.received.response;
      if (caller.path == "/once/x") {
        CHECK((response.status == 200 || response.status == 502));
        CHECK(runs[caller.id] == 1);
      } else {
        CHECK(response.status == 200);
      }
      if (response.status == 200) {
        const bool stream = caller.path == "/stream/x";
        CHECK(response.body ==
              (stream ? ExpectedStream(caller.id, "m") : "{\"id\":\"" + caller.id + "\"}"));
      }
    }
  }

  // The node has closed none of the connections.
  void CheckConnectionsServe() {
    for (const KeptCaller& caller : callers) {
      caller.connection->Send(BytesOf("/safe/x", "last" + caller.id));
    }
    for (const KeptCaller& caller : callers) {
      CAPTURE(caller.id);
      const Received last = caller.connection->Receive(kAnswerTime);
      CHECK(last.complete);
      CHECK(last.response.status == 200);
    }
  }

  FleetCluster cluster;
  std::vector<KeptCaller> callers;
  std::map<std::string, std::int64_t> runs;
};

const std::vector<std::string>& AllPaths() {
  static const std::vector<std::string> paths{"/once/x", "/safe/x", "/stream/x"};
  return paths;
}

// Guards against a planned stop that cuts what the process forwards for another node.
TEST_CASE("a gateway that is stopped finishes the answers that it relays") {
  Relaying relaying({kNode, kGateway});
  relaying.OpenConnections(AllPaths());
  relaying.CutNode({kGateway});
  relaying.SendAll();
  relaying.cluster.At(kGateway).Signal(SIGTERM);
  relaying.ReceiveAll();
  relaying.CheckAnswers();
  CHECK(relaying.CountStatus("/once/x", 200) == kCallersPerKind);
  CHECK(relaying.cluster.At(kGateway).Wait(Duration(8'000)) == 0);
}

// Guards against connections closed without an answer, and against a second run.
TEST_CASE("requests under way through a gateway that is killed are answered") {
  Relaying relaying({kNode, kGateway, kOtherGateway});
  relaying.OpenConnections(AllPaths());
  relaying.CutNode({kGateway, kOtherGateway});
  relaying.SendAll();
  relaying.cluster.At(kGateway).Kill();
  relaying.ReceiveAll();
  relaying.CheckAnswers();
  // Some were under way through this gateway.
  CHECK(relaying.CountStatus("/once/x", 502) > 0);
  relaying.CheckConnectionsServe();
}

TEST_CASE("requests under way through a gateway that loses its own links are answered") {
  Relaying relaying({kNode, kGateway, kOtherGateway});
  relaying.OpenConnections(AllPaths());
  relaying.CutNode({kGateway, kOtherGateway});
  relaying.SendAll();
  relaying.cluster.CutLinks({kNode, kGateway}, LinkCut::kReset);
  relaying.ReceiveAll();
  relaying.CheckAnswers();
  CHECK(relaying.CountStatus("/once/x", 502) > 0);
  relaying.CheckConnectionsServe();
}

TEST_CASE("requests under way through a gateway whose links fall silent are answered") {
  Relaying relaying({kNode, kGateway, kOtherGateway});
  relaying.OpenConnections(AllPaths());
  relaying.CutNode({kGateway, kOtherGateway});
  relaying.SendAll();
  relaying.cluster.CutLinks({kNode, kGateway}, LinkCut::kSilent);
  relaying.cluster.Sleep(Duration(3'000));
  relaying.cluster.RestoreLinks();
  relaying.ReceiveAll();
  relaying.CheckAnswers();
  relaying.CheckConnectionsServe();
}

TEST_CASE("requests under way through a gateway that is suspended are answered") {
  Relaying relaying({kNode, kGateway, kOtherGateway});
  relaying.OpenConnections(AllPaths());
  relaying.CutNode({kGateway, kOtherGateway});
  relaying.SendAll();
  relaying.cluster.At(kGateway).Signal(SIGSTOP);
  relaying.cluster.Sleep(Duration(3'000));
  relaying.cluster.At(kGateway).Signal(SIGCONT);
  relaying.ReceiveAll();
  relaying.CheckAnswers();
  CHECK(relaying.CountStatus("/once/x", 200) == kCallersPerKind);
  relaying.CheckConnectionsServe();
}

TEST_CASE("a node that is stopped answers what runs through a gateway") {
  Relaying relaying({kNode, kGateway, kOtherGateway});
  relaying.OpenConnections(AllPaths());
  relaying.CutNode({kGateway, kOtherGateway});
  relaying.SendAll();
  relaying.cluster.At(kNode).Signal(SIGTERM);
  relaying.ReceiveAll();
  relaying.CheckAnswers();
  CHECK(relaying.CountStatus("/once/x", 200) == kCallersPerKind);
  CHECK(relaying.cluster.At(kNode).Wait(Duration(8'000)) == 0);
}

// Answers of more than a node keeps are relayed as they arrive, as far as the clients read.
void SendLongRequests(Relaying& relaying, const std::vector<std::string>& gateways) {
  relaying.OpenConnections({"/once/x"});
  relaying.CutNode(gateways);
  for (const char* service : {"d1", "d2", "d3"}) {
    relaying.cluster.SetFaults(service,
                               {{"long_answers", 1'000}, {"answer_bytes", kLongAnswerBytes}});
  }
  relaying.SendAll();
  relaying.cluster.Sleep(kWork);
}

TEST_CASE("long answers through a gateway that is stopped are whole") {
  Relaying relaying({kNode, kGateway});
  SendLongRequests(relaying, {kGateway});
  relaying.cluster.At(kGateway).Signal(SIGTERM);
  relaying.cluster.Sleep(kUnderway);
  relaying.ReceiveAll();
  for (const KeptCaller& caller : relaying.callers) {
    CAPTURE(caller.id);
    CHECK(caller.received.complete);
    CHECK(caller.received.response.body.size() == kLongAnswerBytes);
    CHECK(relaying.runs[caller.id] == 1);
  }
  CHECK(relaying.cluster.At(kGateway).Wait(Duration(8'000)) == 0);
}

// Guards against a part of an answer that looks whole.
TEST_CASE("long answers through a gateway that is killed are cut visibly") {
  Relaying relaying({kNode, kGateway});
  SendLongRequests(relaying, {kGateway});
  relaying.cluster.At(kGateway).Kill();
  relaying.cluster.Sleep(kUnderway);
  relaying.ReceiveAll();
  for (const KeptCaller& caller : relaying.callers) {
    CAPTURE(caller.id);
    CHECK(caller.received.header);
    CHECK(!caller.received.complete);
    CHECK(caller.received.response.body.size() < kLongAnswerBytes);
    CHECK(relaying.runs[caller.id] == 1);
  }
  CHECK(relaying.cluster.ReadyStatus(kNode) == 200);
}

}  // namespace
}  // namespace rudderloom::tests
