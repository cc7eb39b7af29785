// A part of a prompt that crashes every engine that begins to answer a request with it.
//
// Guards against a quarantine that knows requests by their whole content only: no two requests with
// such a part are alike, so each of them counts one crash, and engines go on crashing.
#include <doctest/doctest.h>  // for TEST_CASE

#include <algorithm>   // for count_if
#include <functional>  // for function
#include <set>         // for set

#include "process/fleet_cluster.hpp"  // for FleetCluster
#include "rudderloom/http/pause.hpp"  // for PauseFor

namespace rudderloom::tests {
namespace {

constexpr int kNodeCount = 4;
constexpr int kEngineCount = 10;
constexpr Duration kRestartDelay{1'500};
constexpr Duration kPollInterval{20};
// Time until every node must know of the part, and how many of its requests may be sent after that.
constexpr Duration kPropagationLimit{3'000};
constexpr int kMaxLateCrashes = 3;
constexpr std::size_t kCrashesUntilKnown = 5;
constexpr double kCrashingPerSecond = 12.0;
constexpr double kSoundPerSecond = 40.0;
constexpr int kPlaySeconds = 14;
// The stated bound; all are served while no engine crashes.
constexpr double kMinServedShare = 0.5;

const std::string kFirstPart = "a0:6";           // in all prompts
const std::string kCrashingParts = "bad1,bad2";  // as engines know them

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}

// Engines that end when they begin to answer a prompt with a crashing part, and start again as new
// instances after a delay.
class CrashingEngines {
 public:
  explicit CrashingEngines(FleetCluster& cluster) : cluster_(cluster), engines_(kEngineCount) {
    cluster_.CrashEnginesOn(kCrashingParts);
    for (Engine& engine : engines_) {
      StartNext(engine);
    }
  }

  // Records crashes and restarts crashed engines, for as long as the cluster runs.
  Awaitable<void> Run() {
    while (true) {
      Poll();
      co_await PauseFor(cluster_.Context(), kPollInterval);
    }
  }

  Awaitable<void> AwaitCrashes(std::size_t count) {
    while (crash_times_.size() < count) {
      co_await PauseFor(cluster_.Context(), kPollInterval);
    }
  }

  int Count() const { return static_cast<int>(crash_times_.size()); }

  // Crashes later than every node had to know of the part.
  int CountLate() const {
    if (crash_times_.size() < kCrashesUntilKnown) {
      return 0;
    }
    const TimePoint known_at = crash_times_[kCrashesUntilKnown - 1] + kPropagationLimit;
    return static_cast<int>(std::count_if(crash_times_.begin(), crash_times_.end(),
                                          [&](TimePoint crash) { return crash > known_at; }));
  }

 private:
  struct Engine {
    std::string instance;
    TimePoint down_since;
  };

  void Poll() {
    for (Engine& engine : engines_) {
      const bool down = engine.down_since != TimePoint();
      if (!down && cluster_.At(engine.instance).Wait(Duration(0)) != -1) {
        engine.down_since = Now();
        crash_times_.push_back(Now());
      } else if (down && Now() - engine.down_since >= kRestartDelay) {
        StartNext(engine);
      }
    }
  }

  void StartNext(Engine& engine) {
    engine.instance = "e" + std::to_string(started_++);
    engine.down_since = TimePoint();
    cluster_.StartEngine(engine.instance, "m");
  }

  FleetCluster& cluster_;
  std::vector<Engine> engines_;
  std::vector<TimePoint> crash_times_;
  int started_ = 0;
};

// Requests at an even rate to the given nodes in turn. `prompt` returns all parts
// but the last, which no other request has.
std::vector<FleetRequest> MakeRequests(const std::string& name,
                                       double per_second,
                                       const std::vector<std::string>& nodes,
                                       const std::function<std::string(int)>& prompt) {
  std::vector<FleetRequest> calls;
  const int count = static_cast<int>(per_second * kPlaySeconds);
  for (int i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    FleetRequest call{nodes[static_cast<std::size_t>(i) % nodes.size()], "/stream/" + number,
                      name + number, "m",
                      Duration(static_cast<Duration::rep>(1'000.0 * i / per_second))};
    call.body = name + number;
    call.prompt = prompt(i) + "," + std::to_string(1'000'000 + i) + ":4";
    calls.push_back(std::move(call));
  }
  return calls;
}

// Sound requests have the first part, and one of five others that crashing ones have too.
std::string SoundPrompt(int number) {
  return kFirstPart + ",50" + std::to_string(number % 5) + ":20";
}

std::string CrashingPrompt(int number, const std::string& part, bool is_first) {
  const std::string crashing = part + ":10";
  return is_first ? crashing + "," + SoundPrompt(number) : SoundPrompt(number) + "," + crashing;
}

enum class Killed { kNone, kHolder, kAll };

struct Scenario {
  std::vector<std::string> crashing_parts{"bad1"};
  bool is_first = false;  // the crashing part is the first of its prompts
  Killed killed = Killed::kNone;
};

struct Outcome {
  int crashes = 0;
  int late_crashes = 0;
  double served_share = 0.0;  // of the sound requests of the second half
};

class CrashingParts {
 public:
  CrashingParts() : engines_(cluster_) {
    cluster_.Configure(1);
    for (int i = 0; i < kNodeCount; ++i) {
      StartNode(NodeName(i));
    }
    cluster_.Spawn(engines_.Run());
  }

  // From now on requests also go to this node.
  void StartNode(const std::string& name) {
    cluster_.StartFleetNode(name);
    REQUIRE(cluster_.WaitUntil([&] { return cluster_.ReadyStatus(name) == 200; }));
    REQUIRE(cluster_.WaitUntil([&] {
      return cluster_.Send({name, "/stream/x", "warm-" + name, "m"}).status == 200;
    }));
    nodes_.push_back(name);
  }

  Outcome Play(const Scenario& scenario) {
    const std::string play = "play" + std::to_string(++plays_) + "-";
    std::vector<FleetRequest> calls =
        MakeRequests(play + "sound", kSoundPerSecond, nodes_, SoundPrompt);
    const std::size_t sound_count = calls.size();
    const auto part_count = static_cast<double>(scenario.crashing_parts.size());
    for (const std::string& part : scenario.crashing_parts) {
      const auto crashing =
          MakeRequests(play + part, kCrashingPerSecond / part_count, nodes_,
                       [&](int i) { return CrashingPrompt(i, part, scenario.is_first); });
      calls.insert(calls.end(), crashing.begin(), crashing.end());
    }
    const std::set<std::string> killed = KillNodes(scenario.killed);
    const auto responses = cluster_.SendAll(calls);
    Outcome outcome{engines_.Count(), engines_.CountLate()};
    int measured = 0;
    int served = 0;
    for (std::size_t i = sound_count / 2; i < sound_count; ++i) {
      if (!killed.contains(calls[i].node)) {
        const Response& response = responses.at(calls[i].id);
        ++measured;
        served += response.body == ExpectedStream(calls[i].id, "m") ? 1 : 0;
      }
    }
    outcome.served_share = static_cast<double>(served) / measured;
    MESSAGE("crashes " << outcome.crashes << ", late " << outcome.late_crashes
                       << ", share of sound requests served " << outcome.served_share);
    return outcome;
  }

 private:
  // Kills nodes while the first crashes are being counted. Returns those that stay down.
  std::set<std::string> KillNodes(Killed killed) {
    if (killed == Killed::kHolder) {
      const std::string holder = cluster_.LeaseHolder();
      REQUIRE(!holder.empty());
      cluster_.Spawn(KillLater({holder}));
      return {holder};
    }
    if (killed == Killed::kAll) {
      cluster_.Spawn(KillLater(nodes_));
    }
    return {};
  }

  Awaitable<void> KillLater(std::vector<std::string> nodes) {
    co_await engines_.AwaitCrashes(kCrashesUntilKnown);
    for (const std::string& node : nodes) {
      cluster_.At(node).Kill();
    }
    if (nodes.size() > 1) {
      for (const std::string& node : nodes) {
        cluster_.StartFleetNode(node);
      }
    }
  }

  FleetCluster cluster_;
  CrashingEngines engines_;
  std::vector<std::string> nodes_;
  int plays_ = 0;
};

void Check(const Outcome& outcome) {
  CHECK(outcome.crashes > 0);
  CHECK(outcome.late_crashes <= kMaxLateCrashes);
  CHECK(outcome.served_share >= kMinServedShare);
}

TEST_CASE("prompts with a part that crashes engines are soon quarantined on every node") {
  CrashingParts fleet;
  Check(fleet.Play({}));
}

TEST_CASE("prompts with one of two parts that crash engines are soon quarantined") {
  CrashingParts fleet;
  Check(fleet.Play({.crashing_parts = {"bad1", "bad2"}}));
}

TEST_CASE("a part that crashes engines is quarantined when the lease holder is killed") {
  CrashingParts fleet;
  Check(fleet.Play({.killed = Killed::kHolder}));
}

TEST_CASE("a part that crashes engines stays quarantined when all nodes are killed") {
  CrashingParts fleet;
  Check(fleet.Play({.killed = Killed::kAll}));
}

TEST_CASE("the first part of prompts that crashes engines is quarantined") {
  CrashingParts fleet;
  Check(fleet.Play({.is_first = true}));
}

TEST_CASE("a node that starts later knows the part that crashes engines") {
  CrashingParts fleet;
  fleet.Play({});
  fleet.StartNode("late");
  Check(fleet.Play({}));
}

}  // namespace
}  // namespace rudderloom::tests
