// Scenario: 60 nodes, a customer that uses a few of them, and requests larger than a node's equal
// share of one second.
#include "rudderloom/quota/quota_account.hpp"

#include <doctest/doctest.h>  // for TEST_CASE
#include <optional>           // for optional

namespace rudderloom {
namespace {

constexpr CustomerKey kCustomer = 7;
// The smallest customer and a request of typical size.
const QuotaLimit kLimit{QuotaUnit::kTokens, 29'000, 29'000, 200};
const QuotaBounds kBounds{Duration(8'000), 0.1, 110'000.0};
constexpr std::uint64_t kRequest = 9'300;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

QuotaSnapshotPtr MakeSnapshot(std::int64_t level,
                              std::uint32_t nodes,
                              std::uint64_t asked,
                              int made_at) {
  auto snapshot = std::make_shared<QuotaSnapshot>();
  snapshot->made_at = At(made_at);
  snapshot->balances[kCustomer] = {level, nodes, asked};
  return snapshot;
}

// One request on a node that can't ask the holder; returns the wait time if refused.
std::optional<Duration> SpendAlone(QuotaAccount& account,
                                   const QuotaLimit& limit,
                                   std::uint64_t amount,
                                   TimePoint now) {
  account.RecordRequest(kCustomer, limit, amount, now);
  const QuotaDecision decision = account.Decide(kCustomer, amount, GranterReach::kUnreachable, now);
  return decision.verdict == QuotaVerdict::kGranted ? std::nullopt : std::optional(decision.wait);
}

// One request on a node that can ask the holder.
QuotaVerdict SpendOrAsk(QuotaAccount& account, std::uint64_t amount, TimePoint now) {
  account.RecordRequest(kCustomer, kLimit, amount, now);
  return account.Decide(kCustomer, amount, GranterReach::kReachable, now).verdict;
}

// 60 nodes that admit one request each beyond their shares exceed a small customer's bound.
TEST_CASE("a node without data admits no request beyond its small share") {
  QuotaAccount account(kBounds);
  CHECK(SpendAlone(account, kLimit, kRequest, At(0)));
  CHECK(SpendAlone(account, kLimit, kRequest, At(100)));
  // 1/64 of the rate, for two seconds.
  CHECK(SpendAlone(account, kLimit, 910, At(2'000)));
  CHECK_FALSE(SpendAlone(account, kLimit, 900, At(2'000)));
}

TEST_CASE("requests larger than the node's share are asked for, small ones are not") {
  QuotaAccount account(kBounds);
  account.ApplyDigest(MakeSnapshot(90'000, 60, 15'000, 0), At(0));
  // 1/120 of a quarter of the balance, plus a part by local demand.
  CHECK(SpendOrAsk(account, 100, At(0)) == QuotaVerdict::kGranted);
  CHECK(SpendOrAsk(account, kRequest, At(0)) == QuotaVerdict::kAsk);
}

TEST_CASE("after a refusal by the holder, requests are briefly refused without asking") {
  QuotaAccount account(kBounds);
  account.ApplyDigest(MakeSnapshot(-5'000, 60, 90'000, 0), At(0));
  CHECK(SpendOrAsk(account, kRequest, At(0)) == QuotaVerdict::kAsk);
  account.RefusedByGranter(kCustomer, Duration(700), At(10));
  CHECK(SpendOrAsk(account, kRequest, At(200)) == QuotaVerdict::kRefused);
  CHECK(SpendOrAsk(account, kRequest, At(311)) == QuotaVerdict::kAsk);
}

TEST_CASE("the shared part of a balance is divided among the nodes that the customer uses") {
  QuotaAccount account(kBounds);
  account.RecordRequest(kCustomer, kLimit, 0, At(0));
  account.ApplyDigest(MakeSnapshot(60'000, 4, 0, 0), At(0));
  // A quarter of the balance is shared. One half of it is divided equally among four nodes, the
  // other half by demand, which is all on this node.
  account.RecordRequest(kCustomer, kLimit, 1, At(0));
  account.ApplyDigest(MakeSnapshot(60'000, 4, 0, 0), At(0));
  std::uint64_t granted = 0;
  while (SpendOrAsk(account, 100, At(0)) == QuotaVerdict::kGranted) {
    granted += 100;
  }
  CHECK(granted >= 9'300);
  CHECK(granted <= 9'400);
}

TEST_CASE("spending that is not included in a balance is deducted from it") {
  QuotaAccount account(kBounds);
  account.RecordRequest(kCustomer, kLimit, 1, At(0));
  account.ApplyDigest(MakeSnapshot(8 * kRequest, 1, 0, 0), At(0));
  CHECK_FALSE(SpendAlone(account, kLimit, kRequest, At(0)));
  account.ApplyDigest(MakeSnapshot(4 * kRequest - 8, 1, 0, 0), At(0));
  CHECK(SpendAlone(account, kLimit, kRequest, At(0)));
  auto later = std::make_shared<QuotaSnapshot>(*MakeSnapshot(4 * kRequest, 1, 0, 1));
  later->counted[kCustomer] = kRequest;
  account.ApplyDigest(later, At(1));
  CHECK(SpendOrAsk(account, kRequest, At(1)) == QuotaVerdict::kGranted);
}

TEST_CASE("the wait time of a refusal over the limit is accurate") {
  QuotaAccount account(kBounds);
  account.RecordRequest(kCustomer, kLimit, 60'000, At(0));
  account.ApplyDigest(MakeSnapshot(0, 1, 12'000, 0), At(0));
  auto wait = SpendAlone(account, kLimit, kRequest, At(1'100));
  REQUIRE_FALSE(wait);
  while (!wait) {
    wait = SpendAlone(account, kLimit, kRequest, At(1'100));
  }
  CHECK(*wait > Duration(100));
  const int ms = 1'100 + static_cast<int>(wait->count());
  CHECK(SpendAlone(account, kLimit, kRequest, At(ms - 10)));
  CHECK_FALSE(SpendAlone(account, kLimit, kRequest, At(ms + 1)));
}

TEST_CASE("without further digests a node keeps its share of the rate") {
  QuotaAccount account(kBounds);
  account.RecordRequest(kCustomer, kLimit, 0, At(0));
  account.ApplyDigest(MakeSnapshot(0, 2, 0, 0), At(0));
  std::uint64_t granted = 0;
  for (int ms = 2'000; ms < 12'000; ms += 10) {
    granted += SpendAlone(account, kLimit, 100, At(ms)) ? 0 : 100;
  }
  // A quarter of the rate, for one of two nodes without demand: 87,000 in twelve seconds, less what
  // exceeds the maximum balance before the first request.
  CHECK(granted >= 85'000);
  CHECK(granted <= 88'000);
}

QuotaSnapshotPtr OnlyNodeSnapshot(std::int64_t level) {
  auto snapshot = std::make_shared<QuotaSnapshot>(*MakeSnapshot(level, 1, 0, 0));
  snapshot->turns = {1, 1, At(-60'000)};
  return snapshot;
}

// Spends as much as possible alone for a time, and returns the total.
std::uint64_t Saturate(QuotaAccount& account, std::uint64_t amount, int until_ms) {
  std::uint64_t spent = 0;
  for (int ms = 0; ms < until_ms; ms += 10) {
    while (!SpendAlone(account, kLimit, amount, At(ms))) {
      spent += amount;
    }
  }
  return spent;
}

// The failure: the only node of a small deployment refused every request larger than a share while
// it could not renew its lease.
TEST_CASE("a node that was told to be the only one spends the whole limit, within the bound") {
  for (const QuotaBounds& bounds : {kBounds, QuotaBounds{Duration(8'000), 0.0, 0.0}}) {
    for (const std::uint64_t amount : {std::uint64_t{100}, kRequest, std::uint64_t{29'000}}) {
      CAPTURE(bounds.slack);
      CAPTURE(amount);
      QuotaAccount account(bounds);
      account.RecordRequest(kCustomer, kLimit, 0, At(0));
      account.ApplyDigest(OnlyNodeSnapshot(MaxBalance(kLimit, bounds)), At(0));
      const std::uint64_t spent = Saturate(account, amount, 8'000);
      const double allowed = 8.0 * 29'000.0 + 29'000.0;
      CHECK(static_cast<double>(spent) <= allowed + AllowedExcess(kLimit, bounds));
      CHECK(static_cast<double>(spent) >= allowed - 29'000.0);
    }
  }
}

TEST_CASE("the only node states when the whole limit admits a request, and continues from debt") {
  QuotaAccount account({Duration(8'000), 0.0, 0.0});
  account.RecordRequest(kCustomer, kLimit, 0, At(0));
  account.ApplyDigest(OnlyNodeSnapshot(-14'500), At(0));
  CHECK(SpendAlone(account, kLimit, 14'500, At(0)) == Duration(1'000));
  CHECK_FALSE(SpendAlone(account, kLimit, 14'500, At(1'000)));
  // More than the burst: by a grant only.
  CHECK(SpendAlone(account, kLimit, 29'001, At(1'000)) == Duration(1'000));
}

// Deployments whose settings state no window are served as before.
TEST_CASE("where no window is enforced a node that can ask nobody runs one request ahead") {
  QuotaBounds bounds = kBounds;
  bounds.enforced = false;
  QuotaAccount account(bounds);
  CHECK_FALSE(SpendAlone(account, kLimit, kRequest, At(0)));
  const auto wait = SpendAlone(account, kLimit, kRequest, At(100));
  REQUIRE(wait);
  // 9,300 tokens at 1/64 of the rate.
  CHECK(*wait > Duration(20'000));
  CHECK(*wait < Duration(21'000));
  account.Unanswered(kCustomer, At(200));
  CHECK(SpendOrAsk(account, kRequest, At(201)) == QuotaVerdict::kAsk);
}

TEST_CASE("refused requests are refunded, and the remaining spending is reported once") {
  QuotaAccount account(kBounds);
  account.RecordRequest(kCustomer, kLimit, 1, At(0));
  account.ApplyDigest(MakeSnapshot(8 * kRequest, 1, 0, 0), At(0));
  CHECK_FALSE(SpendAlone(account, kLimit, kRequest, At(0)));
  CHECK(SpendAlone(account, kLimit, kRequest, At(1)));
  account.Refund(kCustomer, kRequest);
  CHECK_FALSE(SpendAlone(account, kLimit, 500, At(2)));
  const SpendingTable reported = account.Take(At(3));
  CHECK(reported.at(kCustomer) == Spending{500, 2 * kRequest + 501, 1});
  CHECK(account.Take(At(4)).at(kCustomer) == Spending{0, 0, 1});
  CHECK(account.Take(At(11'000)).empty());
}

TEST_CASE("a lower limit applies from the next request on") {
  QuotaAccount account(kBounds);
  account.ApplyDigest(MakeSnapshot(900'000, 1, 0, 0), At(0));
  QuotaLimit limit = kLimit;
  limit.per_second = 600'000;
  limit.burst = 600'000;
  CHECK_FALSE(SpendAlone(account, limit, kRequest, At(0)));
  std::uint64_t granted = 0;
  while (!SpendAlone(account, kLimit, kRequest, At(1))) {
    granted += kRequest;
  }
  CHECK(granted <= static_cast<std::uint64_t>(MaxBalance(kLimit, kBounds)) + kRequest);
}

}  // namespace
}  // namespace rudderloom
