// Model test: with any subset of 60 nodes that can't ask, the amount granted within any window
// stays within the bound, and the customer keeps getting its rate. Uses the production classes.
#include <doctest/doctest.h>  // for TEST_CASE
#include <algorithm>          // for max, shuffle
#include <array>              // for array
#include <numeric>            // for iota
#include <random>             // for mt19937

#include "quota_model.hpp"

namespace rudderloom::quota_model {
namespace {

// Returns a fault of randomly chosen nodes.
std::vector<Fault> FaultOfMany(int step, int count, FaultKind kind, std::mt19937& random) {
  std::vector<int> nodes(static_cast<std::size_t>(kSixtyNodes.nodes));
  std::iota(nodes.begin(), nodes.end(), 0);
  std::shuffle(nodes.begin(), nodes.end(), random);
  nodes.resize(static_cast<std::size_t>(count));
  std::vector<Fault> faults;
  faults.reserve(nodes.size());
  for (const int node : nodes) {
    faults.push_back({step, node, kind});
  }
  return faults;
}

constexpr std::array kManyNodesFaults{FaultKind::kAskLost, FaultKind::kGrantLost,
                                      FaultKind::kAnswerToAskLost, FaultKind::kSilent};

// The failure: with a slow holder each of 60 nodes ran a request ahead, and one more with each
// digest that counted the one before.
TEST_CASE("any subset of 60 nodes without asks, answers or reports stays within the bound") {
  std::mt19937 random(1);
  for (const FaultKind kind : kManyNodesFaults) {
    for (const int count : {1, 7, 15, 30, 45, 59, 60}) {
      CAPTURE(static_cast<int>(kind));
      CAPTURE(count);
      Model model(kSixtyNodes);
      const std::uint64_t most = model.Run(FaultOfMany(40, count, kind, random));
      MESSAGE("kind ", static_cast<int>(kind), ", nodes ", count, ": most in a window ", most,
              ", in total ", model.Total());
      CHECK(static_cast<double>(most) <= kSixtyNodes.WindowBound());
      // Two thirds of the rate over the 30 s, 12 s of them with the fault. Lost grants stay booked
      // and use up the rate unless nodes stop asking.
      CHECK(model.Total() >= 800'000);
    }
  }
}

// Cuts off nodes with successive positions, at several steps; returns the most within a window.
std::uint64_t MostWithSuccessiveNodesSilent(const Setup& setup, int count) {
  std::uint64_t highest = 0;
  for (int first = 1; first < setup.nodes; first += 14) {
    for (const int step : {40, 47, 54}) {
      std::vector<Fault> faults;
      for (int i = first; i < std::min(first + count, setup.nodes); ++i) {
        faults.push_back({step, i, FaultKind::kSilent});
      }
      highest = std::max(highest, Model(setup).Run(faults));
    }
  }
  return highest;
}

// The failure: a relay's group has successive positions, so that its turns follow one another. A
// part of the rate in proportion to the number of silent nodes did not cover them: 446,600 tokens
// ran where 413,000 are allowed.
TEST_CASE("nodes with successive turns that are cut off together stay within the bound") {
  // The budgets of turns admit whole numbers of these requests, with little or much left over.
  for (const std::uint64_t request : {1'320ULL, 2'400ULL, 2'640ULL}) {
    for (const int idle_steps : {0, 40, 46}) {
      Setup setup = kSixtyNodes;
      setup.request = request;
      setup.idle_steps = idle_steps;
      std::uint64_t highest = 0;
      for (const int count : {16, 32, 40, 48}) {
        highest = std::max(highest, MostWithSuccessiveNodesSilent(setup, count));
      }
      MESSAGE("requests of ", request, " after ", idle_steps, " idle steps: most in a window ",
              highest, " of ", setup.WindowBound());
      CHECK(static_cast<double>(highest) <= setup.WindowBound());
    }
  }
}

// The failure: nodes that have heard nothing ran one request each, beside the grants of a holder.
TEST_CASE("nodes that start and hear nothing for 12 s stay within the bound beside a holder") {
  Setup setup = kSixtyNodes;
  for (const std::uint64_t request : {100ULL, 2'400ULL}) {
    for (const int count : {1, 30, 59}) {
      std::vector<Fault> faults;
      for (int i = 1; i <= count; ++i) {
        faults.push_back({40, i, FaultKind::kKilled});
        faults.push_back({40, i, FaultKind::kSilent});
      }
      setup.request = request;
      const std::uint64_t most = Model(setup).Run(faults);
      MESSAGE("requests of ", request, ", nodes ", count, ": most in a window ", most);
      CHECK(static_cast<double>(most) <= setup.WindowBound());
    }
    const std::uint64_t most = Model(setup).Run({{40, 0, FaultKind::kAllKilled}});
    CHECK(static_cast<double>(most) <= setup.WindowBound());
  }
}

// The failure: a holder that was cut off from the store lost its lease under load.
TEST_CASE("a change of the holder beside nodes that can't ask stays within the bound") {
  std::mt19937 random(2);
  std::uniform_int_distribution<int> count(0, kSixtyNodes.nodes);
  std::uniform_int_distribution<int> step(30, 70);
  std::uniform_int_distribution<std::size_t> kind(0, kManyNodesFaults.size() - 1);
  std::uint64_t highest = 0;
  for (int i = 0; i < 60; ++i) {
    CAPTURE(i);
    std::vector<Fault> faults =
        FaultOfMany(step(random), count(random), kManyNodesFaults.at(kind(random)), random);
    faults.push_back({step(random), 0, FaultKind::kHolderGone});
    const std::uint64_t most = Model(kSixtyNodes).Run(faults);
    highest = std::max(highest, most);
    CHECK(static_cast<double>(most) <= kSixtyNodes.WindowBound());
  }
  MESSAGE("most in a window: ", highest, " of ", kSixtyNodes.WindowBound());
}

}  // namespace
}  // namespace rudderloom::quota_model
