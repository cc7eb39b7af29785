// A request that ends every endpoint that runs it, sent to one node after the other, while nodes
// that carry the word are killed, started and cut off. Beside it run others that share some of its
// ends.
#include <doctest/doctest.h>  // for TEST_CASE

#include <random>  // for mt19937

#include "fakes/fleet_world.hpp"  // for FleetWorld

namespace rudderloom {
namespace {

using fakes::FleetWorld;
using fakes::FleetWorldOptions;

// By then all nodes must know that three endpoints have ended under a request.
constexpr int kKnownWithin = 3'000;
constexpr int kMostLater = 3;
constexpr int kSentEvery = 60;
constexpr int kBesides = 6;

RequestDigest Request(const std::string& body) {
  return DigestOf(RequestIdentity{"h", "/p/", "", body});
}

// Sends the request to a node each 60 ms, and notes the ends.
class Crashes {
 public:
  Crashes(FleetWorld& world, unsigned seed) : world_(world), random_(seed) {}

  void Play(int milliseconds) {
    for (const int until = world_.Now() + milliseconds; world_.Now() < until;) {
      Send(static_cast<int>(random_() % static_cast<unsigned>(world_.Nodes())));
      world_.Play(kSentEvery);
    }
  }

  void Send(int node) {
    if (!world_.Alive(node) || world_.HoldsBack(node, bad_)) {
      return;
    }
    ends_.push_back({world_.Now(), node});
    const auto endpoint = static_cast<EndpointKey>(ends_.size());
    CrashNews news;
    news.crashes.insert({bad_, endpoint});
    world_.See(node, news);
    // Others that ran there came by other nodes; each of them is tried twice.
    for (int i = 0; i < kBesides; ++i) {
      const auto other = static_cast<int>(random_() % static_cast<unsigned>(world_.Nodes()));
      CrashNews beside;
      beside.crashes.insert({Beside(static_cast<int>(endpoint), i), endpoint});
      beside.crashes.insert({Beside(static_cast<int>(endpoint) - 1, i), endpoint});
      if (world_.Alive(other)) {
        world_.See(other, beside);
      }
    }
  }

  // Ends that came later than all nodes must know, by other nodes than these.
  int Later(const std::set<int>& but) const {
    int later = 0;
    for (const End& end : ends_) {
      const bool late = ends_.size() > 3 && end.at > ends_[2].at + kKnownWithin;
      later += late && !but.contains(end.node) ? 1 : 0;
    }
    return later;
  }

  int Ends() const { return static_cast<int>(ends_.size()); }

  int HeldBackBeside() const {
    int held_back = 0;
    for (int i = 0; i < world_.Nodes(); ++i) {
      for (int end = 0; end <= Ends(); ++end) {
        for (int which = 0; which < kBesides; ++which) {
          held_back += world_.HoldsBack(i, Beside(end, which)) ? 1 : 0;
        }
      }
    }
    return held_back;
  }

  const RequestDigest& Bad() const { return bad_; }

 private:
  struct End {
    int at = 0;
    int node = 0;
  };

  static RequestDigest Beside(int end, int which) {
    return Request(std::to_string(end) + "-" + std::to_string(which));
  }

  FleetWorld& world_;
  std::mt19937 random_;
  const RequestDigest bad_ = Request("bad");
  std::vector<End> ends_;
};

bool AllHoldBack(const FleetWorld& world, const RequestDigest& request) {
  for (int i = 0; i < world.Nodes(); ++i) {
    if (world.Alive(i) && !world.HoldsBack(i, request)) {
      return false;
    }
  }
  return true;
}

FleetWorldOptions Small() {
  FleetWorldOptions options;
  options.nodes = 14;
  options.group_size = 3;
  return options;
}

TEST_CASE("with relays all nodes know within a second, and nothing else is held back") {
  FleetWorldOptions options;
  options.nodes = 96;
  options.group_size = 16;
  FleetWorld world(options);
  world.Play(8'000);
  Crashes crashes(world, 1);
  crashes.Play(1'500);
  CHECK(AllHoldBack(world, crashes.Bad()));
  MESSAGE("ends ", crashes.Ends());
  const int before = crashes.Ends();
  crashes.Play(4'000);
  CHECK(crashes.Ends() == before);
  CHECK(crashes.HeldBackBeside() == 0);
}

TEST_CASE("after all processes died at once the request is held back before nodes count again") {
  for (unsigned seed = 0; seed < 10; ++seed) {
    CAPTURE(seed);
    FleetWorld world(Small());
    world.Play(5'000);
    Crashes crashes(world, seed);
    crashes.Play(2'000);
    for (int i = 0; i < world.Nodes(); ++i) {
      world.Kill(i);
    }
    world.Play(200);
    for (int i = 0; i < world.Nodes(); ++i) {
      world.Start(i);
    }
    crashes.Play(kKnownWithin);
    const int before = crashes.Ends();
    crashes.Play(5'000);
    CHECK(crashes.Ends() == before);
    CHECK(AllHoldBack(world, crashes.Bad()));
  }
}

TEST_CASE("an answer that an endpoint gave whole lets a request go at all nodes") {
  FleetWorld world(Small());
  world.Play(5'000);
  Crashes crashes(world, 1);
  crashes.Play(1'500);
  REQUIRE(AllHoldBack(world, crashes.Bad()));
  CrashNews answered;
  answered.cleared.insert(crashes.Bad());
  world.See(5, answered);
  world.Play(1'500);
  for (int i = 0; i < world.Nodes(); ++i) {
    CHECK_FALSE(world.HoldsBack(i, crashes.Bad()));
  }
}

// One fault and then each other one, at two moments after the first end: nodes in touch send the
// request on at most three times once they must all know of it.
void PlayPairsOf(std::size_t first) {
  constexpr unsigned kSchedulesOfOne = 240;
  const unsigned first_seed = static_cast<unsigned>(first) * kSchedulesOfOne;
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
    for (int whom = 0; whom < 4; ++whom) {
      for (const int pause : {0, 130, 300, 1'200, 2'500}) {
        for (const int ahead : {60, 180, 600}) {
          FleetWorld world(Small());
          world.Play(5'000);
          Crashes crashes(world, first_seed + schedules);
          crashes.Play(ahead);
          const int one = victim(world, whom % 2);
          faults[first](world, one);
          crashes.Play(pause);
          const int other = victim(world, whom / 2);
          faults[second](world, other);
          crashes.Play(8'000);
          CAPTURE(first);
          CAPTURE(second);
          CAPTURE(whom);
          CAPTURE(pause);
          CAPTURE(ahead);
          constexpr std::size_t kCutFromNodes = 3;
          std::set<int> cut;
          if (first == kCutFromNodes) {
            cut.insert(one);
          }
          if (second == kCutFromNodes) {
            cut.insert(other);
          }
          const int later = crashes.Later(cut);
          CHECK(later <= kMostLater);
          CHECK(crashes.HeldBackBeside() == 0);
          most = std::max(most, later);
          ++schedules;
        }
      }
    }
  }
  CHECK(schedules == kSchedulesOfOne);
  MESSAGE("schedules ", schedules, ", at most ", most, " sent on by one schedule");
}

TEST_CASE("any two faults of which the first kills one that carries the word") {
  PlayPairsOf(0);
}

TEST_CASE("any two faults of which the first starts it anew") {
  PlayPairsOf(1);
}

TEST_CASE("any two faults of which the first cuts it from the store") {
  PlayPairsOf(2);
}

TEST_CASE("any two faults of which the first cuts it from the nodes") {
  PlayPairsOf(3);
}

}  // namespace
}  // namespace rudderloom
