// Nodes that restart while engines of two software versions serve, or one of them has gone. A
// stream that its client takes up afterwards may go on only at the version that began it.
#include <doctest/doctest.h>  // for TEST_CASE

#include <csignal>  // for SIGTERM
#include <map>      // for map

#include "process/version_streams.hpp"  // for VersionsCluster

namespace rudderloom::tests {
namespace {

constexpr int kNodeCount = 4;
constexpr int kEnginesOfVersion = 4;
constexpr int kStreams = 32;
// A check of a version is void with fewer streams that began at it.
constexpr int kMinBegunAtVersion = 4;
// From the requests of the streams to the kill. Nodes may store what they know of streams several
// times a second rather than with each stream.
constexpr Duration kBegunBeforeKill{1'500};
constexpr Duration kEventTime{200};  // a stream takes 1.6 s: it still runs when the node is killed
constexpr Duration kStopTimeout{10'000};
// A node that has just started may need about a second until it knows the lease holder.
constexpr int kAttempts = 3;
constexpr Duration kReturnDelay{2'000};  // of a version's engines, after the nodes
// From the first engine of the next version to the end of the former ones.
constexpr Duration kLeavesAfter{1'000};
constexpr Duration kWholeHistory{3'600'000};  // longer than any test
// From the signal to the streams that begin at stopping nodes. These accept requests for 2.6 s.
constexpr Duration kBeginAfterStop{500};

enum class How { kKill, kStop };

// What must become of the streams of a version. None may be mixed with another.
enum class Expect {
  kGoOn,     // as often as new streams begin, or at least half as often
  kRefused,  // all, with 503: the version has gone
  kEither,   // the version goes or comes while nodes start
};

const std::map<std::string, Expect> kFirstGone{{"v1", Expect::kRefused}, {"v2", Expect::kGoOn}};

struct VersionCounts {
  int begun = 0;
  int went_on = 0;
  int refused = 0;
  int mixed = 0;
};

// Streams of one run, from their beginning until their clients have taken them up.
class RestartRun : public VersionsCluster {
 public:
  explicit RestartRun(unsigned seed, const std::vector<std::string>& versions = {"v1", "v2"})
      : VersionsCluster(seed, kNodeCount, kEventTime) {
    for (const std::string& version : versions) {
      StartEngines(version);
    }
    StartNodes();
    begun_at_ = Now();
    streams_ = Begin(kStreams);
  }

  void StartEngines(const std::string& version) {
    for (int i = 0; i < kEnginesOfVersion; ++i) {
      StartEngine(version);
    }
  }

  void WaitForKillTime() {
    const TimePoint kill_at = begun_at_ + kBegunBeforeKill;
    if (Now() < kill_at) {
      Cluster().Sleep(Between(Now(), kill_at));
    }
  }

  // Clients drop their streams, all engines of the version are killed, and the nodes learn it.
  void RemoveVersion(const std::string& version) {
    Drop(streams_);
    WaitForKillTime();
    KillVersion(version);
    WaitUntilUnlisted();
  }

  // Another version replaces `former`, which leaves a second later. Streams run on meanwhile.
  void Replace(const std::string& former, const std::string& next) {
    StartEngines(next);
    Cluster().Sleep(kLeavesAfter);
    StopVersion(former);
    WaitForKillTime();
    Drop(streams_);
    WaitUntilUnlisted();
  }

  // The store comes back without anything that was ever written to it.
  void LoseStore() { Cluster().SetFaults("store", {{"restore_ms", kWholeHistory.count()}}); }

  void End(const std::vector<int>& nodes, How how) {
    for (const int node : nodes) {
      Node(node).Signal(how == How::kKill ? SIGKILL : SIGTERM);
    }
    for (const int node : nodes) {
      REQUIRE(Node(node).Wait(kStopTimeout) != -1);
    }
  }

  void Restart(const std::vector<int>& nodes, How how) {
    End(nodes, how);
    for (const int node : nodes) {
      StartNode(node);
    }
    WaitUntilAllReady();
  }

  void RestartAll(How how) { Restart(AllNodes(), how); }

  // Replaces the streams by ones that begin at these nodes after they have been told to stop, half
  // of them on new connections, and that clients drop before the nodes end.
  void BeginAtStoppingNodes(const std::vector<int>& nodes) {
    WaitForKillTime();
    Drop(streams_);
    streams_ = Connect(kStreams / 2, nodes);
    for (const int node : nodes) {
      Node(node).Signal(SIGTERM);
    }
    Cluster().Sleep(kBeginAfterStop);
    for (ClientStream& stream : Connect(kStreams / 2, nodes)) {
      streams_.push_back(std::move(stream));
    }
    Begin(streams_);
    Drop(streams_);
  }

  int LeaseHolder() {
    std::string holder;
    REQUIRE(Cluster().WaitUntil([&] {
      holder = Cluster().LeaseHolder();
      return !holder.empty();
    }));
    return std::stoi(holder.substr(1));
  }

  // Waits until nodes that were told to stop have ended, and starts them.
  void StartAfterEnd(const std::vector<int>& nodes) {
    for (const int node : nodes) {
      REQUIRE(Node(node).Wait(kStopTimeout) != -1);
    }
    for (const int node : nodes) {
      StartNode(node);
    }
    WaitUntilAllReady();
  }

  // The version goes while the first node has ended.
  void RestartOneAfterAnother(How how, const std::string& version) {
    WaitForKillTime();
    End({0}, how);
    RemoveVersion(version);
    StartNode(0);
    WaitUntilAllReady();
    for (int i = 1; i < kNodeCount; ++i) {
      Restart({i}, how);
    }
  }

  void WaitUntilAllReady() {
    for (int i = 0; i < kNodeCount; ++i) {
      WaitUntilReady(i);
    }
  }

  // Clients take all streams up at these nodes, at any if empty.
  void TakeUpAndCheck(const std::map<std::string, Expect>& expected,
                      const std::vector<int>& nodes = {}) {
    TakeUp(streams_, {.nodes = nodes, .attempts = kAttempts});
    RecordRuns(streams_);
    int all_begun = 0;
    for (const auto& [version, expect] : expected) {
      all_begun += Count(version).begun;
    }
    CHECK(all_begun > kStreams / 2);
    for (const auto& [version, expect] : expected) {
      const VersionCounts counts = Count(version);
      MESSAGE(version << ": began " << counts.begun << ", went on " << counts.went_on
                      << ", refused " << counts.refused << ", mixed " << counts.mixed);
      CHECK(counts.begun >= kMinBegunAtVersion);
      CHECK(counts.mixed == 0);
      if (expect == Expect::kGoOn) {
        CHECK(2 * counts.went_on * kStreams >= counts.begun * all_begun);
      } else if (expect == Expect::kRefused) {
        CHECK(counts.refused == counts.begun);
      }
    }
  }

 private:
  VersionCounts Count(const std::string& version) const {
    VersionCounts counts;
    for (const ClientStream& stream : streams_) {
      if (stream.begun && stream.began_at == version) {
        ++counts.begun;
        counts.went_on += stream.went_on ? 1 : 0;
        counts.refused += stream.refused ? 1 : 0;
        counts.mixed += stream.versions.size() > 1 ? 1 : 0;
      }
    }
    return counts;
  }

  std::vector<ClientStream> streams_;
  TimePoint begun_at_;
};

// Guards against a restarted node that takes the version that serves for the only one ever.
TEST_CASE("streams taken up at a node that was killed and restarted stay at their version") {
  RestartRun run(1);
  run.RemoveVersion("v1");
  run.Restart({1}, How::kKill);
  run.TakeUpAndCheck(kFirstGone, {1});
}

// Guards against a node that knows no stream's start after a planned stop and asks nobody.
TEST_CASE("streams taken up at a node that was stopped and restarted stay at their version") {
  RestartRun run(2);
  run.RemoveVersion("v1");
  run.Restart({1}, How::kStop);
  run.TakeUpAndCheck(kFirstGone, {1});
}

// Guards against versions and starts that are lost node by node while a deployment goes on.
TEST_CASE("streams stay at their version while nodes are stopped and restarted one after another") {
  RestartRun run(3);
  run.RestartOneAfterAnother(How::kStop, "v1");
  run.TakeUpAndCheck(kFirstGone);
}

// Guards against versions and starts that are handed on only in a planned stop.
TEST_CASE("streams stay at their version while nodes are killed and restarted one after another") {
  RestartRun run(4);
  run.RestartOneAfterAnother(How::kKill, "v1");
  run.TakeUpAndCheck(kFirstGone);
}

// Guards against versions and starts that only the processes of the nodes remember.
TEST_CASE("streams stay at their version after all nodes are killed at once") {
  RestartRun run(5);
  run.RemoveVersion("v1");
  run.RestartAll(How::kKill);
  run.TakeUpAndCheck(kFirstGone);
}

// Guards against nodes that stop together and hand what they know to nobody.
TEST_CASE("streams stay at their version after all nodes are stopped at once") {
  RestartRun run(6);
  run.RemoveVersion("v1");
  run.RestartAll(How::kStop);
  run.TakeUpAndCheck(kFirstGone);
}

// Guards against streams that are refused although their version still serves.
TEST_CASE("streams of both versions go on after all nodes are killed at once") {
  RestartRun run(7);
  run.WaitForKillTime();
  run.RestartAll(How::kKill);
  run.TakeUpAndCheck({{"v1", Expect::kGoOn}, {"v2", Expect::kGoOn}});
}

// Guards against starting nodes that see a version for so short a time that they don't count it.
TEST_CASE("streams whose engines end while all nodes restart stay at their version") {
  RestartRun run(8);
  run.WaitForKillTime();
  run.End(run.AllNodes(), How::kKill);
  run.StartNode(0);
  run.StartNode(1);
  run.KillVersion("v1");
  run.StartNode(2);
  run.StartNode(3);
  run.WaitUntilAllReady();
  run.TakeUpAndCheck({{"v1", Expect::kEither}, {"v2", Expect::kGoOn}});
}

// Guards against nodes that decide on a stream's version by what they saw first after their start.
TEST_CASE("streams whose engines return after all nodes have restarted stay at their version") {
  RestartRun run(9);
  run.RemoveVersion("v1");
  run.RestartAll(How::kKill);
  run.Cluster().Sleep(kReturnDelay);
  run.StartEngines("v1");
  run.TakeUpAndCheck({{"v1", Expect::kEither}, {"v2", Expect::kGoOn}});
}

// Guards against nodes that refuse all streams after a restart to be on the safe side.
TEST_CASE("streams of the only version go on after all nodes are killed at once") {
  RestartRun run(10, {"v1"});
  run.WaitForKillTime();
  run.RestartAll(How::kKill);
  run.TakeUpAndCheck({{"v1", Expect::kGoOn}});
}

// Guards against starts that stopping nodes keep to themselves while one version serves.
TEST_CASE("streams of the only version go on if another appears while all nodes are stopped") {
  RestartRun run(13, {"v1"});
  run.WaitForKillTime();
  run.End(run.AllNodes(), How::kStop);
  run.StartEngines("v2");
  for (const int node : run.AllNodes()) {
    run.StartNode(node);
  }
  run.WaitUntilAllReady();
  run.TakeUpAndCheck({{"v1", Expect::kGoOn}});
}

// Guards against streams of the only version that nobody knows once all nodes have been killed, as
// starts are recorded only while several versions serve.
TEST_CASE("streams of the only version go on if another appears while all nodes are killed") {
  RestartRun run(14, {"v1"});
  run.WaitForKillTime();
  run.End(run.AllNodes(), How::kKill);
  run.StartEngines("v2");
  for (const int node : run.AllNodes()) {
    run.StartNode(node);
  }
  run.WaitUntilAllReady();
  run.TakeUpAndCheck({{"v1", Expect::kGoOn}});
}

// Guards against the same for the streams of a single node.
TEST_CASE("streams of the only version go on if another appears after their node was killed") {
  RestartRun run(15, {"v1"});
  run.WaitForKillTime();
  run.Restart({0, 1}, How::kKill);
  run.StartEngines("v2");
  run.Cluster().Sleep(kBegunBeforeKill);
  run.TakeUpAndCheck({{"v1", Expect::kGoOn}});
}

// Guards against starts that nobody saves because the stopping holder has given the lease up.
TEST_CASE("streams that begin while all nodes stop go on after the nodes have restarted") {
  RestartRun run(11);
  run.BeginAtStoppingNodes(run.AllNodes());
  run.StartAfterEnd(run.AllNodes());
  run.TakeUpAndCheck({{"v1", Expect::kGoOn}, {"v2", Expect::kGoOn}});
}

// Guards against starts that a stopping holder keeps to itself and doesn't tell the next holder.
TEST_CASE("streams that begin at a stopping lease holder go on after it has restarted") {
  RestartRun run(12);
  run.WaitForKillTime();
  const int holder = run.LeaseHolder();
  run.BeginAtStoppingNodes({holder});
  run.StartAfterEnd({holder});
  run.TakeUpAndCheck({{"v1", Expect::kGoOn}, {"v2", Expect::kGoOn}});
}

// Guards against streams of a version that began while it was the only one, and that go on at its
// successor once no process is left that knew both.
TEST_CASE("streams of a replaced version are refused after all nodes are stopped at once") {
  RestartRun run(16, {"v1"});
  run.Replace("v1", "v1.1");
  run.RestartAll(How::kStop);
  run.TakeUpAndCheck({{"v1", Expect::kRefused}});
}

// Guards against the same if no process could hand on what it knew.
TEST_CASE("streams of a replaced version are refused after all nodes are killed at once") {
  RestartRun run(17, {"v1"});
  run.Replace("v1", "v1.1");
  run.RestartAll(How::kKill);
  run.TakeUpAndCheck({{"v1", Expect::kRefused}});
}

// Guards against nodes that conclude from an empty store, or from settings that were left over from
// the first start, that nothing has served before.
TEST_CASE("streams stay at their version if the store is lost and all nodes start as the first") {
  RestartRun run(18);
  run.RemoveVersion("v1");
  run.End(run.AllNodes(), How::kKill);
  run.LoseStore();
  run.StartAsFirst();
  for (const int node : run.AllNodes()) {
    run.StartNode(node);
  }
  run.WaitUntilAllReady();
  run.TakeUpAndCheck({{"v1", Expect::kRefused}, {"v2", Expect::kEither}});
}

}  // namespace
}  // namespace rudderloom::tests
