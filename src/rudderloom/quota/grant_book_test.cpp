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

GrantBasis Basis(std::int64_t level, std::uint64_t counted) {
  GrantBasis basis;
  basis.made_at = At(0);
  basis.valid_until = At(3'000);
  basis.balances[kCustomer] = {level, 60, 0};
  basis.limits[kCustomer] = kLimit;
  basis.counted = counted;
  return basis;
}

std::uint64_t GrantedAtOnce(GrantBook& book, const GrantBasis& basis, TimePoint now) {
  std::uint64_t granted = 0;
  while (book.Ask({kCustomer, 300}, basis, now).verdict == SpendVerdict::kGranted) {
    granted += 300;
  }
  return granted;
}

TEST_CASE("sixty nodes that ask at once get what the balance holds beside the shares") {
  GrantBook book(kBounds);
  // 1,500 of 2,000, and one request ahead.
  CHECK(GrantedAtOnce(book, Basis(2'000, 0), At(0)) == 1'800);
}

TEST_CASE("what a newer balance takes in is not taken off it again") {
  GrantBook book(kBounds);
  GrantedAtOnce(book, Basis(2'000, 0), At(0));
  // Five of the six grants, of 300 each, are in the balance: the sixth is outstanding.
  CHECK(GrantedAtOnce(book, Basis(500, 5), At(0)) == 300);
}

TEST_CASE("the wait that a refusal tells is when the next request may run") {
  GrantBook book(kBounds);
  const GrantBasis basis = Basis(-500, 0);
  const SpendAnswer refused = book.Ask({kCustomer, 300}, basis, At(0));
  CHECK(refused.verdict == SpendVerdict::kRefused);
  CHECK(refused.wait == Duration(500));
  CHECK(book.Ask({kCustomer, 300}, basis, At(500)).verdict == SpendVerdict::kGranted);
}

TEST_CASE("a holder whose lease may have passed on, or that doesn't know a customer, can't say") {
  GrantBook book(kBounds);
  CHECK(book.Ask({kCustomer, 1}, Basis(2'000, 0), At(3'000)).verdict == SpendVerdict::kCantSay);
  CHECK(book.Ask({kCustomer + 1, 1}, Basis(2'000, 0), At(0)).verdict == SpendVerdict::kCantSay);
  GrantBasis later = Basis(2'000, 0);
  later.valid_from = At(100);
  CHECK(book.Ask({kCustomer, 1}, later, At(99)).verdict == SpendVerdict::kCantSay);
  CHECK(book.Ask({kCustomer, 1}, later, At(100)).verdict == SpendVerdict::kGranted);
}

TEST_CASE("a customer that nobody knows of has all, a part or nothing to spend, as assumed") {
  GrantBasis basis = Basis(0, 0);
  basis.balances.clear();
  basis.unknown_since = At(0);
  const auto granted = [&](UnknownBalance unknown, int ms) {
    GrantBook book(kBounds);
    basis.unknown = unknown;
    return GrantedAtOnce(book, basis, At(ms));
  };
  CHECK(granted(UnknownBalance::kWhole, 0) == 1'800);
  CHECK(granted(UnknownBalance::kQuarter, 0) == 600);
  CHECK(granted(UnknownBalance::kEmpty, 0) == 300);
  CHECK(granted(UnknownBalance::kEmpty, 1'000) == 900);
}

TEST_CASE("relays that grant while there is no holder grant their parts of the balance") {
  GrantBook book(kBounds);
  GrantBasis basis = Basis(2'000, 0);
  basis.part = 0.25;
  // 375, and one request ahead.
  CHECK(GrantedAtOnce(book, basis, At(0)) == 600);
}

TEST_CASE("a stale balance grants no more than a customer may be ahead") {
  GrantBook book(kBounds);
  CHECK(GrantedAtOnce(book, Basis(2'000, 0), At(2'900)) == 1'800);
}

}  // namespace
}  // namespace rudderloom
