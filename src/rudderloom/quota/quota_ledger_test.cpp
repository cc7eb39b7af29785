#include "rudderloom/quota/quota_ledger.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr CustomerKey kCustomer = 7;
const QuotaLimit kLimit{QuotaUnit::kTokens, 1'000, 500, 200};
const QuotaBounds kBounds{Duration(8'000), 0.0, 0.0};
const QuotaLimits kLimits{{kCustomer, kLimit}};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

SpendingTable MakeSpending(std::int64_t amount) {
  return {{kCustomer, {amount, 10, 2}}};
}

std::int64_t LevelOf(const QuotaLedger& ledger, int ms) {
  return ledger.Balances(At(ms)).at(kCustomer).level;
}

TEST_CASE("a balance refills at the rate up to the burst and may be overdrawn") {
  QuotaLedger ledger(kBounds);
  ledger.Begin({}, AssumedBalance::kFull, At(0));
  ledger.Update(MakeSpending(900), kLimits, At(0));
  CHECK(LevelOf(ledger, 0) == -400);
  ledger.Update({}, kLimits, At(600));
  CHECK(LevelOf(ledger, 600) == 200);
  ledger.Update({}, kLimits, At(5'000));
  CHECK(LevelOf(ledger, 5'000) == 500);
}

TEST_CASE("a new holder continues from the last balances and starts unknown customers at zero") {
  QuotaLedger ledger(kBounds);
  ledger.Begin({{{kCustomer, {-300, 1, 0}}}, At(0)}, AssumedBalance::kEmpty, At(500));
  ledger.Update(MakeSpending(0), kLimits, At(500));
  CHECK(LevelOf(ledger, 500) == 200);
  ledger.Begin({}, AssumedBalance::kEmpty, At(500));
  ledger.Update(MakeSpending(0), kLimits, At(500));
  CHECK(LevelOf(ledger, 500) == 0);
}

TEST_CASE("the debt of a customer is limited to one window") {
  QuotaLedger ledger(kBounds);
  ledger.Begin({}, AssumedBalance::kFull, At(0));
  ledger.Update(MakeSpending(100'000), kLimits, At(0));
  ledger.Update({}, kLimits, At(1));
  CHECK(LevelOf(ledger, 1) >= -8'000);
}

TEST_CASE("a lowered limit caps the balance, and a customer without a limit is removed") {
  QuotaLedger ledger(kBounds);
  ledger.Begin({}, AssumedBalance::kFull, At(0));
  ledger.Update(MakeSpending(0), kLimits, At(0));
  ledger.Update({}, {{kCustomer, {QuotaUnit::kTokens, 10, 50, 200}}}, At(1));
  CHECK(LevelOf(ledger, 1) == 50);
  ledger.Update({}, {}, At(2));
  CHECK(ledger.Balances(At(2)).empty());
}

TEST_CASE("a balance includes the demand per second and the number of nodes") {
  QuotaLedger ledger(kBounds);
  ledger.Begin({}, AssumedBalance::kFull, At(0));
  for (int ms = 0; ms < 30'000; ms += 100) {
    ledger.Update({{kCustomer, {0, 300, 5}}}, kLimits, At(ms));
  }
  const CustomerBalance balance = ledger.Balances(At(30'000)).at(kCustomer);
  CHECK(balance.nodes == 5);
  CHECK(balance.asked_per_second > 2'900);
  CHECK(balance.asked_per_second < 3'100);
}

}  // namespace
}  // namespace rudderloom
