// A request that crashes every endpoint that runs it is sent to one node after the other, while
// nodes that relay the holder's digest are killed, restarted and cut off. Other requests run at the
// same time on some of the endpoints that crash.
#include <doctest/doctest.h>  // for TEST_CASE

#include <random>  // for mt19937

#include "fakes/fleet_world.hpp"  // for FleetWorld

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;

// By then all nodes must know that three endpoints have crashed under a request.
constexpr int kKnownWithin = 3'000;
constexpr int kMaxLate = 3;
constexpr int kSendInterval = 60;
constexpr int kOtherRequests = 6;

RequestDigest Request(const std::string& body) {
  return DigestOf(RequestIdentity{"h", "/p/", "", body});
}

// Sends the crashing request to a random node every 60 ms and records the crashes.
class CrashingTraffic {
 public:
  CrashingTraffic(FleetWorld& world, unsigned seed) : world_(world), random_(seed) {}

  void Play(int milliseconds) {
    for (const int until = world_.Now() + milliseconds; world_.Now() < until;) {
      Send(static_cast<int>(random_() % static_cast<unsigned>(world_.Nodes())));
      world_.Play(kSendInterval);
    }
  }

  void Send(int node) {
    if (!world_.Alive(node) || world_.HoldsBack(node, crashing_)) {
      return;
    }
    crashes_.push_back({world_.Now(), node});
    const auto endpoint = static_cast<EndpointKey>(crashes_.size());
    CrashNews news;
    news.crashes.insert({crashing_, endpoint});
    world_.See(node, news);
    // Other requests that ran there came through other nodes; each of them is tried twice.
    for (int i = 0; i < kOtherRequests; ++i) {
      const auto other = static_cast<int>(random_() % static_cast<unsigned>(world_.Nodes()));
      CrashNews other_news;
      other_news.crashes.insert({OtherRequest(static_cast<int>(endpoint), i), endpoint});
      other_news.crashes.insert({OtherRequest(static_cast<int>(endpoint) - 1, i), endpoint});
      if (world_.Alive(other)) {
        world_.See(other, other_news);
      }
    }
  }

  // Counts the crashes after all nodes must know of the request, except those caused through the
  // given nodes.
  int CountLate(const std::set<int>& excluded) const {
    int later = 0;
    for (const Crash& crash : crashes_) {
      const bool late = crashes_.size() > 3 && crash.at > crashes_[2].at + kKnownWithin;
      later += late && !excluded.contains(crash.node) ? 1 : 0;
    }
    return later;
  }

  int Count() const { return static_cast<int>(crashes_.size()); }

  int OthersHeldBack() const {
    int held_back = 0;
    for (int i = 0; i < world_.Nodes(); ++i) {
      for (int crash = 0; crash <= Count(); ++crash) {
        for (int which = 0; which < kOtherRequests; ++which) {
          held_back += world_.HoldsBack(i, OtherRequest(crash, which)) ? 1 : 0;
        }
      }
    }
    return held_back;
  }

  const RequestDigest& CrashingRequest() const { return crashing_; }

 private:
  struct Crash {
    int at = 0;
    int node = 0;
  };

  static RequestDigest OtherRequest(int crash, int which) {
    return Request(std::to_string(crash) + "-" + std::to_string(which));
  }

  FleetWorld& world_;
  std::mt19937 random_;
  const RequestDigest crashing_ = Request("bad");
  std::vector<Crash> crashes_;
};

TEST_CASE("with relays all nodes quarantine the request within a second, and no other request") {
  FleetWorldOptions options;
  options.nodes = 96;
  options.group_size = 16;
  FleetWorld world(options);
  world.Play(8'000);
  CrashingTraffic crashes(world, 1);
  crashes.Play(1'500);
  CHECK(world.AllHoldBack(crashes.CrashingRequest()));
  MESSAGE("crashes ", crashes.Count());
  const int before = crashes.Count();
  crashes.Play(4'000);
  CHECK(crashes.Count() == before);
  CHECK(crashes.OthersHeldBack() == 0);
}

TEST_CASE("after all processes were killed the quarantine is restored without new counting") {
  for (unsigned seed = 0; seed < 10; ++seed) {
    CAPTURE(seed);
    FleetWorld world(fakes::SmallFleet());
    world.Play(5'000);
    CrashingTraffic crashes(world, seed);
    crashes.Play(2'000);
    for (int i = 0; i < world.Nodes(); ++i) {
      world.Kill(i);
    }
    world.Play(200);
    for (int i = 0; i < world.Nodes(); ++i) {
      world.Start(i);
    }
    crashes.Play(kKnownWithin);
    const int before = crashes.Count();
    crashes.Play(5'000);
    CHECK(crashes.Count() == before);
    CHECK(world.AllHoldBack(crashes.CrashingRequest()));
  }
}

TEST_CASE("an answer that is complete ends the quarantine at all nodes") {
  FleetWorld world(fakes::SmallFleet());
  world.Play(5'000);
  CrashingTraffic crashes(world, 1);
  crashes.Play(1'500);
  REQUIRE(world.AllHoldBack(crashes.CrashingRequest()));
  CrashNews answered;
  answered.cleared.insert(crashes.CrashingRequest());
  world.See(5, answered);
  world.Play(1'500);
  for (int i = 0; i < world.Nodes(); ++i) {
    CHECK_FALSE(world.HoldsBack(i, crashes.CrashingRequest()));
  }
}

// Injects one fault and then each other one, at two moments after the first crash: connected nodes
// send the request at most three more times once all of them must know of it.
void PlayFaultPairs(std::size_t first) {
  constexpr unsigned kSchedulesPerFault = 240;
  const unsigned first_seed = static_cast<unsigned>(first) * kSchedulesPerFault;
  using Fault = void (*)(FleetWorld&, int);
  const std::vector<Fault> faults{
      [](FleetWorld& world, int node) { world.Kill(node); },
      [](FleetWorld& world, int node) { world.Start(node); },
      [](FleetWorld& world, int node) { world.CutFromStore(node, true); },
      [](FleetWorld& world, int node) { world.CutFromNodes(node, true); },
  };
  const auto victim = [](const FleetWorld& world, int which) {
    if (which == 0) {
      return world.Holder().value_or(0);
    }
    for (int i = 0; i < world.Nodes(); ++i) {
      if (world.Alive(i) && world.Holder() != i && world.ReportsTo(i) > 0) {
        return i;
      }
    }
    return 1;
  };
  unsigned schedules = 0;
  int most = 0;
  for (std::size_t second = 0; second < faults.size(); ++second) {
    for (int victims = 0; victims < 4; ++victims) {
      for (const int pause : {0, 130, 300, 1'200, 2'500}) {
        for (const int lead_time : {60, 180, 600}) {
          FleetWorld world(fakes::SmallFleet());
          world.Play(5'000);
          CrashingTraffic crashes(world, first_seed + schedules);
          crashes.Play(lead_time);
          const int first_victim = victim(world, victims % 2);
          faults[first](world, first_victim);
          crashes.Play(pause);
          const int second_victim = victim(world, victims / 2);
          faults[second](world, second_victim);
          crashes.Play(8'000);
          CAPTURE(first);
          CAPTURE(second);
          CAPTURE(victims);
          CAPTURE(pause);
          CAPTURE(lead_time);
          constexpr std::size_t kCutFromNodes = 3;
          std::set<int> cut;
          if (first == kCutFromNodes) {
            cut.insert(first_victim);
          }
          if (second == kCutFromNodes) {
            cut.insert(second_victim);
          }
          const int later = crashes.CountLate(cut);
          CHECK(later <= kMaxLate);
          CHECK(crashes.OthersHeldBack() == 0);
          most = std::max(most, later);
          ++schedules;
        }
      }
    }
  }
  CHECK(schedules == kSchedulesPerFault);
  MESSAGE("schedules ", schedules, ", at most ", most, " sent on by one schedule");
}

TEST_CASE("any two faults of which the first kills a holder or relay") {
  PlayFaultPairs(0);
}

TEST_CASE("any two faults of which the first restarts it") {
  PlayFaultPairs(1);
}

TEST_CASE("any two faults of which the first cuts it from the store") {
  PlayFaultPairs(2);
}

TEST_CASE("any two faults of which the first cuts it from the nodes") {
  PlayFaultPairs(3);
}

}  // namespace
}  // namespace rudderloom
