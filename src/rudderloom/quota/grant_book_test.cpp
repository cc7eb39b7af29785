#include "rudderloom/quota/grant_book.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr CustomerKey kCustomer = 7;
const QuotaLimit kLimit{QuotaUnit::kTokens, 1'000, 2'000, 200};
const QuotaBounds kBounds{Duration(8'000), 0.0, 0.0};

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

GrantBasis MakeBasis(std::int64_t level, std::uint64_t counted) {
  GrantBasis basis;
  basis.made_at = At(0);
  basis.valid_until = At(3'000);
  basis.balances[kCustomer] = {level, 60, 0};
  basis.limits[kCustomer] = kLimit;
  basis.counted = counted;
  return basis;
}

std::uint64_t GrantUntilRefused(GrantBook& book, const GrantBasis& basis, TimePoint now) {
  std::uint64_t granted = 0;
  while (book.Ask({kCustomer, 300}, basis, now).verdict == SpendVerdict::kGranted) {
    granted += 300;
  }
  return granted;
}

TEST_CASE("sixty concurrently asking nodes get the part of the balance that is not shared") {
  GrantBook book(kBounds);
  // 1,500 of 2,000, and an overdraft of one request.
  CHECK(GrantUntilRefused(book, MakeBasis(2'000, 0), At(0)) == 1'800);
}

TEST_CASE("grants included in a newer balance are not deducted again") {
  GrantBook book(kBounds);
  GrantUntilRefused(book, MakeBasis(2'000, 0), At(0));
  // Five of the six grants, of 300 each, are in the balance; the sixth is outstanding.
  CHECK(GrantUntilRefused(book, MakeBasis(500, 5), At(0)) == 300);
}

TEST_CASE("the wait time of a refusal ends when the next request may run") {
  GrantBook book(kBounds);
  const GrantBasis basis = MakeBasis(-500, 0);
  const SpendAnswer refused = book.Ask({kCustomer, 300}, basis, At(0));
  CHECK(refused.verdict == SpendVerdict::kRefused);
  CHECK(refused.wait == Duration(500));
  CHECK(book.Ask({kCustomer, 300}, basis, At(500)).verdict == SpendVerdict::kGranted);
}

TEST_CASE("no decision is given for an unknown customer or if the lease may have expired") {
  GrantBook book(kBounds);
  CHECK(book.Ask({kCustomer, 1}, MakeBasis(2'000, 0), At(3'000)).verdict ==
        SpendVerdict::kUndecided);
  CHECK(book.Ask({kCustomer + 1, 1}, MakeBasis(2'000, 0), At(0)).verdict ==
        SpendVerdict::kUndecided);
  GrantBasis later = MakeBasis(2'000, 0);
  later.valid_from = At(100);
  CHECK(book.Ask({kCustomer, 1}, later, At(99)).verdict == SpendVerdict::kUndecided);
  CHECK(book.Ask({kCustomer, 1}, later, At(100)).verdict == SpendVerdict::kGranted);
}

TEST_CASE("an unknown customer starts with a full, partial or empty balance, as assumed") {
  GrantBasis basis = MakeBasis(0, 0);
  basis.balances.clear();
  basis.unknown_since = At(0);
  const auto granted = [&](AssumedBalance unknown, int ms) {
    GrantBook book(kBounds);
    basis.assumed = unknown;
    return GrantUntilRefused(book, basis, At(ms));
  };
  CHECK(granted(AssumedBalance::kFull, 0) == 1'800);
  CHECK(granted(AssumedBalance::kQuarter, 0) == 600);
  CHECK(granted(AssumedBalance::kEmpty, 0) == 300);
  CHECK(granted(AssumedBalance::kEmpty, 1'000) == 900);
}

TEST_CASE("without a holder, relays grant their fraction of the balance") {
  GrantBook book(kBounds);
  GrantBasis basis = MakeBasis(2'000, 0);
  basis.fraction = 0.25;
  // 375, and an overdraft of one request.
  CHECK(GrantUntilRefused(book, basis, At(0)) == 600);
}

TEST_CASE("a stale balance does not grow beyond the maximum balance") {
  GrantBook book(kBounds);
  CHECK(GrantUntilRefused(book, MakeBasis(2'000, 0), At(2'900)) == 1'800);
}

}  // namespace
}  // namespace rudderloom
