// Engines of two software versions in one service. What they write doesn't fit together, so a
// stream may go on only at the version that began it.
#include <doctest/doctest.h>  // for TEST_CASE
#include <random>             // for mt19937

#include "process/fleet_cluster.hpp"  // for FleetCluster
#include "process/raw_caller.hpp"     // for RawCaller

namespace rudderloom::tests {
namespace {

constexpr int kNodeCount = 4;
constexpr int kEngineCount = 8;
constexpr int kBatch = 12;  // streams at a time
constexpr Duration kEventTime{40};
// Of all streams of a run.
constexpr int kMaxMixed = 2;

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}

std::string EngineName(int index) {
  return "e" + std::to_string(index);
}

std::string VersionOf(int engine) {
  return engine % 2 == 0 ? "v1" : "v2";
}

std::string StreamRequest(const std::string& id, const std::string& headers = {}) {
  return "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 5000\r\nModel: m\r\nToken-Count: 10,40\r\nPrompt-Prefix: ab:6,cd:4\r\n" +
         headers + "Content-Length: 4\r\n\r\nbody";
}

// A stream of a client, over its attempts.
struct ClientStream {
  std::string began_as;
  std::string taken_up_as;
  std::unique_ptr<RawCaller> connection;
  bool begun = false;
  bool went_on = false;
  std::set<std::string> versions;  // that wrote it
};

class VersionsCluster {
 public:
  explicit VersionsCluster(unsigned seed) : random_(seed) {
    cluster_.Configure(1);
    for (int i = 0; i < kEngineCount; ++i) {
      cluster_.StartEngine(EngineName(i), "m", 16, kEventTime, VersionOf(i));
    }
    for (int i = 0; i < kNodeCount; ++i) {
      cluster_.StartFleetNode(NodeName(i));
    }
    for (int i = 0; i < kNodeCount; ++i) {
      WaitUntilServing(i);
    }
  }

  FleetCluster& Cluster() { return cluster_; }

  void WaitUntilServing(int node) {
    REQUIRE(cluster_.WaitUntil([&] { return cluster_.ReadyStatus(NodeName(node)) == 200; }));
    REQUIRE(cluster_.WaitUntil([&] {
      const std::string id = "warm" + std::to_string(++last_id_);
      return cluster_.Send({NodeName(node), "/stream/x", id, "m"}).status == 200;
    }));
  }

  // Begins streams at all nodes in turn, and reads two events of each.
  std::vector<ClientStream> Begin() {
    std::vector<ClientStream> streams(kBatch);
    int node = 0;
    for (ClientStream& stream : streams) {
      stream.began_as = "s" + std::to_string(++last_id_);
      stream.connection = std::make_unique<RawCaller>(AddressOf(node++ % kNodeCount),
                                                      StreamRequest(stream.began_as));
    }
    for (ClientStream& stream : streams) {
      stream.begun = stream.connection->ReceiveText("id: 2\n");
    }
    return streams;
  }

  // Drops the connections and takes the streams up, each at a node drawn at random.
  void TakeUp(std::vector<ClientStream>& streams, int first_node = 0) {
    for (ClientStream& stream : streams) {
      RecordBeginning(stream);
    }
    std::uniform_int_distribution<int> nodes(first_node, kNodeCount - 1);
    for (ClientStream& stream : streams) {
      stream.taken_up_as = "t" + std::to_string(++last_id_);
      const std::string headers = "Last-Event-Id: 2\r\nResumes: " + stream.began_as + "\r\n";
      stream.connection = std::make_unique<RawCaller>(AddressOf(nodes(random_)),
                                                      StreamRequest(stream.taken_up_as, headers));
    }
    for (ClientStream& stream : streams) {
      const Received rest = stream.connection->Receive(Duration(6'000));
      stream.went_on = rest.complete && rest.response.status == 200;
      stream.connection.reset();
    }
  }

  // Reads the streams to their end without an attempt of the client's own.
  void Finish(std::vector<ClientStream>& streams) {
    for (ClientStream& stream : streams) {
      const Received rest = stream.connection->Receive(Duration(6'000));
      stream.went_on = rest.complete;
      RecordStamp(stream, rest);
      stream.connection.reset();
    }
  }

  // Adds what the live engines tell of which streams they ran.
  void RecordRuns(std::vector<ClientStream>& streams) {
    for (int i = 0; i < kEngineCount; ++i) {
      if (ended_.contains(i)) {
        continue;
      }
      const boost::json::object runs = cluster_.Stats(EngineName(i)).at("runs").as_object();
      for (ClientStream& stream : streams) {
        if (runs.contains(stream.began_as) || runs.contains(stream.taken_up_as)) {
          stream.versions.insert(VersionOf(i));
        }
      }
    }
  }

  void KillEngine(int engine) {
    cluster_.At(EngineName(engine)).Kill();
    ended_.insert(engine);
  }

 private:
  std::string AddressOf(int node) { return cluster_.At(NodeName(node)).Address(0); }

  void RecordBeginning(ClientStream& stream) {
    RecordStamp(stream, stream.connection->Receive(Duration(1)));
    stream.connection.reset();
  }

  static void RecordStamp(ClientStream& stream, const Received& received) {
    const std::string stamp = received.response.Header("Server-Stamp");
    if (stamp.size() > 1) {
      stream.versions.insert(VersionOf(std::stoi(stamp.substr(1))));
    }
  }

  FleetCluster cluster_;
  std::mt19937 random_;
  std::set<int> ended_;
  int last_id_ = 0;
};

struct Counts {
  int begun = 0;
  int went_on = 0;
  int mixed = 0;

  void Add(const std::vector<ClientStream>& streams) {
    for (const ClientStream& stream : streams) {
      begun += stream.begun ? 1 : 0;
      went_on += stream.begun && stream.went_on ? 1 : 0;
      mixed += stream.begun && stream.went_on && stream.versions.size() > 1 ? 1 : 0;
    }
  }

  void Check(int sent) const {
    MESSAGE("begun " << begun << " of " << sent << ", went on " << went_on << ", mixed " << mixed);
    CHECK(mixed <= kMaxMixed);
    // Streams go on at least half as often as new ones begin.
    CHECK(2 * went_on * sent >= begun * begun);
    CHECK(begun > sent / 2);
  }
};

// Guards against clients that get the rest of a stream from another software version.
TEST_CASE("a stream that its client takes up goes on only at the version that began it") {
  constexpr int kBatches = 15;
  VersionsCluster fleet(1);
  Counts counts;
  for (int i = 0; i < kBatches; ++i) {
    auto streams = fleet.Begin();
    fleet.TakeUp(streams);
    fleet.RecordRuns(streams);
    counts.Add(streams);
  }
  counts.Check(kBatches * kBatch);
}

// Guards against a node that goes on at another version within one answer.
TEST_CASE("a stream whose engine is killed goes on only at the version that began it") {
  VersionsCluster fleet(2);
  Counts counts;
  constexpr int kKills = 4;
  for (int i = 0; i < kKills; ++i) {
    auto streams = fleet.Begin();
    fleet.KillEngine(i);
    fleet.Finish(streams);
    fleet.RecordRuns(streams);
    counts.Add(streams);
  }
  counts.Check(kKills * kBatch);
}

// Guards against versions that only the node knows that began the stream.
TEST_CASE("a stream whose node is killed goes on only at the version that began it") {
  VersionsCluster fleet(3);
  Counts counts;
  constexpr int kKills = 5;
  for (int i = 0; i < kKills; ++i) {
    auto streams = fleet.Begin();
    fleet.Cluster().At(NodeName(0)).Kill();
    fleet.TakeUp(streams, 1);
    fleet.RecordRuns(streams);
    counts.Add(streams);
    fleet.Cluster().StartFleetNode(NodeName(0));
    fleet.WaitUntilServing(0);
  }
  counts.Check(kKills * kBatch);
}

// Guards against versions that are known only to the lease holder.
TEST_CASE("streams go on only at the version that began them while the lease holder is killed") {
  VersionsCluster fleet(4);
  Counts counts;
  constexpr int kKills = 3;
  for (int i = 0; i < kKills; ++i) {
    std::string holder;
    REQUIRE(fleet.Cluster().WaitUntil([&] {
      holder = fleet.Cluster().LeaseHolder();
      return !holder.empty();
    }));
    auto streams = fleet.Begin();
    fleet.Cluster().At(holder).Kill();
    fleet.Cluster().StartFleetNode(holder);
    const int node = std::stoi(holder.substr(1));
    REQUIRE(fleet.Cluster().WaitUntil(
        [&] { return fleet.Cluster().ReadyStatus(NodeName(node)) == 200; }));
    fleet.TakeUp(streams);
    fleet.RecordRuns(streams);
    counts.Add(streams);
    fleet.WaitUntilServing(node);
  }
  counts.Check(kKills * kBatch);
}

}  // namespace
}  // namespace rudderloom::tests
