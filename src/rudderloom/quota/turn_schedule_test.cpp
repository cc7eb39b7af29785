// Load: callers send a small customer's requests through 60 nodes at several times its rate, while
// any of the nodes can ask neither the lease holder nor a relay.
#include "rudderloom/quota/turn_schedule.hpp"

#include <doctest/doctest.h>  // for TEST_CASE
#include <algorithm>          // for max
#include <cstdint>            // for uint32_t
#include <deque>              // for deque
#include <random>             // for mt19937
#include <vector>             // for vector

#include "rudderloom/quota/quota_account.hpp"

namespace rudderloom {
namespace {

constexpr CustomerKey kCustomer = 7;
constexpr std::uint32_t kNodes = 60;
constexpr int kStepMs = 10;
constexpr std::size_t kWindowSteps = 8'000 / kStepMs;
constexpr std::uint64_t kPrompt = 2'400;
const QuotaLimit kLimit{QuotaUnit::kTokens, 40'000, 40'000, 200};
const QuotaBounds kBounds{Duration(8'000), 0.1, 17'000.0};
const QuotaBounds kNoExcess{Duration(8'000), 0.0, 0.0};
constexpr double kHeadroom = 0.1 * 360'000.0 + 17'000.0;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

// Nodes whose last digest is of the time 0; each sees the shared clock with its own error.
std::vector<QuotaAccount> NodesAlone(std::int64_t level,
                                     int max_clock_error_ms,
                                     const QuotaBounds& bounds = kBounds) {
  std::mt19937 random(1);
  std::uniform_int_distribution<int> error(0, max_clock_error_ms);
  std::vector<QuotaAccount> nodes(kNodes, QuotaAccount(bounds));
  for (std::uint32_t i = 0; i < kNodes; ++i) {
    nodes[i].RecordRequest(kCustomer, kLimit, 0, At(0));
    auto snapshot = std::make_shared<QuotaSnapshot>();
    snapshot->made_at = At(0);
    snapshot->balances[kCustomer] = {level, kNodes, 300'000};
    snapshot->turns = {i + 1, kNodes, At(error(random) - 60'000)};
    nodes[i].ApplyDigest(snapshot, At(0));
  }
  return nodes;
}

struct Result {
  std::uint64_t total = 0;
  std::uint64_t most = 0;  // within a window
  std::vector<std::uint64_t> by_node = std::vector<std::uint64_t>(kNodes);
};

// All nodes run all that they may in each step.
Result Saturate(std::vector<QuotaAccount> nodes, std::uint64_t amount, int from_ms, int until_ms) {
  Result result;
  std::deque<std::uint64_t> window;
  std::uint64_t sum = 0;
  for (int ms = from_ms; ms < until_ms; ms += kStepMs) {
    std::uint64_t spent = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      while (nodes[i].Decide(kCustomer, amount, GranterReach::kUnreachable, At(ms)).verdict ==
             QuotaVerdict::kGranted) {
        spent += amount;
        result.by_node[i] += amount;
      }
    }
    result.total += spent;
    sum += spent;
    window.push_back(spent);
    if (window.size() > kWindowSteps) {
      sum -= window.front();
      window.pop_front();
    }
    result.most = std::max(result.most, sum);
  }
  return result;
}

// The failure: each node without a granting node ran one request ahead, 144,000 tokens at once.
TEST_CASE("60 nodes that can ask nobody exceed the rate by three tenths of the overshoot at most") {
  for (const std::uint64_t amount : {700ULL, 2'400ULL, 3'200ULL, 6'000ULL, 10'500ULL}) {
    CAPTURE(amount);
    const Result result = Saturate(NodesAlone(0, 0), amount, 0, 60'000);
    MESSAGE("amount ", amount, ": most in a window ", result.most, ", per second ",
            result.total / 60);
    CHECK(static_cast<double>(result.most) <= 320'000.0 + 0.3 * kHeadroom);
  }
}

TEST_CASE("clocks that differ by the longest answer time add that time at the rate") {
  const Result result = Saturate(NodesAlone(0, 150), kPrompt, 0, 60'000);
  MESSAGE("most in a window ", result.most);
  CHECK(static_cast<double>(result.most) <= 320'000.0 + 0.3 * kHeadroom + 0.15 * 30'000.0);
}

// A smaller share alone would keep the bound, but no request of this size would ever run.
TEST_CASE("requests larger than a share run at about the customer's rate, and at every node") {
  for (const std::uint64_t amount : {1'320ULL, 2'640ULL}) {
    CAPTURE(amount);
    const Result result = Saturate(NodesAlone(0, 0), amount, 0, 60'000);
    CHECK(static_cast<double>(result.total) / 60.0 >= 0.7 * 40'000.0);
  }
  const Result result = Saturate(NodesAlone(0, 0), 10'500, 0, 120'000);
  for (const std::uint64_t spent : result.by_node) {
    CHECK(spent > 0);
  }
}

// The failure: with an empty balance a node ran one more request with each digest that counted the
// one before, while a slow holder answered reports but no asks.
TEST_CASE("nodes that can't ask run nothing beyond their shares while the customer is in debt") {
  const Result result = Saturate(NodesAlone(-200'000, 0), kPrompt, 0, 4'900);
  CHECK(result.total == 0);
  const Result later = Saturate(NodesAlone(-200'000, 0), kPrompt, 5'000, 20'000);
  CHECK(later.total > 0);
}

// The failure: without an allowed overshoot the budgets of all turns were zero, and no request that
// is larger than a share ran.
TEST_CASE("without overshoot and slack, requests as large as the burst run within the bound") {
  constexpr double kBound = 8.0 * 40'000.0 + 40'000.0;
  for (const std::int64_t level : {-40'000, 0, 40'000}) {
    for (const std::uint64_t amount : {200ULL, 2'400ULL, 9'300ULL, 40'000ULL}) {
      CAPTURE(level);
      CAPTURE(amount);
      const Result result = Saturate(NodesAlone(level, 150, kNoExcess), amount, 0, 60'000);
      MESSAGE("level ", level, ", amount ", amount, ": most in a window ", result.most,
              ", per second ", result.total / 60);
      // What was spent before the last digest in the window is the burst less its balance.
      CHECK(static_cast<double>(result.most) <= kBound);
      CHECK(result.total > 0);
      const Result start = Saturate(NodesAlone(level, 150, kNoExcess), amount, 0, 8'000);
      CHECK(static_cast<double>(start.total) + 40'000.0 - static_cast<double>(level) <= kBound);
    }
  }
}

TEST_CASE("a refusal states when a turn admits the request, and a larger one the next grant") {
  std::vector<QuotaAccount> nodes = NodesAlone(0, 0);
  QuotaAccount& account = nodes[3];
  const auto decide = [&](std::uint64_t amount, int ms) {
    return account.Decide(kCustomer, amount, GranterReach::kUnreachable, At(ms));
  };
  const QuotaDecision first = decide(kPrompt, 0);
  REQUIRE(first.verdict == QuotaVerdict::kRefused);
  CHECK(first.in_turn);
  CHECK(first.wait > Duration(0));
  CHECK(first.wait <= kMaxQuotaWait);
  if (first.wait < kMaxQuotaWait) {
    CHECK(decide(kPrompt, static_cast<int>(first.wait.count())).verdict == QuotaVerdict::kGranted);
  }
  const QuotaDecision too_large = decide(20'000, 0);
  CHECK(too_large.verdict == QuotaVerdict::kRefused);
  CHECK_FALSE(too_large.in_turn);
  CHECK(too_large.wait == Duration(1'000));
}

// The failure: all nodes start at once, and each ran one request before it heard of the others.
TEST_CASE("60 nodes that have heard nothing stay within the rate, and run no large request") {
  for (const QuotaBounds& bounds : {kBounds, kNoExcess}) {
    std::vector<QuotaAccount> nodes(kNodes, QuotaAccount(bounds));
    for (QuotaAccount& node : nodes) {
      node.RecordRequest(kCustomer, kLimit, 0, At(0));
    }
    CHECK(Saturate(nodes, kPrompt, 0, 60'000).total == 0);
    const Result result = Saturate(nodes, 100, 60'000, 120'000);
    CHECK(static_cast<double>(result.most) <= 8.0 * 40'000.0 + 40'000.0);
  }
}

TEST_CASE("the budgets of all turns in a time add up, from any time on") {
  const TurnTerms terms = TurnTermsOf(kLimit, kBounds);
  const SilentTurns whole{{1, kNodes}, kNodes, At(0), At(60'000)};
  const double budgets = TurnBudgets(whole, terms, At(-60'000));
  CHECK(budgets == doctest::Approx(60.0 * 30'000.0).epsilon(0.03));
  double parts = 0.0;
  for (int ms = 0; ms < 60'000; ms += 250) {
    parts += TurnBudgets({{1, 20}, kNodes, At(ms), At(ms + 250)}, terms, At(-60'000));
    parts += TurnBudgets({{21, 40}, kNodes, At(ms), At(ms + 250)}, terms, At(-60'000));
  }
  CHECK(parts == doctest::Approx(budgets));
}

TEST_CASE("a node without a position has no turn") {
  const TurnTerms terms = TurnTermsOf(kLimit, kBounds);
  CHECK(TurnAt({0, kNodes, At(0)}, terms, At(100)).cycle == Duration(0));
  CHECK(TurnAt({61, kNodes, At(0)}, terms, At(100)).cycle == Duration(0));
  CHECK(TurnAt({1, 0, At(0)}, terms, At(100)).cycle == Duration(0));
}

TEST_CASE("a node that is given another position has no second turn at once") {
  std::vector<QuotaAccount> nodes = NodesAlone(0, 0);
  QuotaAccount& account = nodes.front();
  std::uint64_t spent = 0;
  for (int ms = 0; ms < 5'000; ms += kStepMs) {
    auto snapshot = std::make_shared<QuotaSnapshot>();
    snapshot->made_at = At(ms);
    snapshot->balances[kCustomer] = {0, kNodes, 300'000};
    const auto position = static_cast<std::uint32_t>((ms / 220) % 60 + 1);
    snapshot->turns = {position, kNodes, At(0)};
    account.ApplyDigest(snapshot, At(ms));
    while (account.Decide(kCustomer, 600, GranterReach::kUnreachable, At(ms)).verdict ==
           QuotaVerdict::kGranted) {
      spent += 600;
    }
  }
  CHECK(static_cast<double>(spent) <= 0.2 * kHeadroom);
}

}  // namespace
}  // namespace rudderloom
