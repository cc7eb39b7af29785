// Load: 60 nodes, a customer whose callers come by a few of them, requests larger than a node's
// equal share of a second.
#include "rudderloom/quota/quota_account.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr CustomerKey kCustomer = 7;
// A customer of the smallest size, a request of the usual one.
const QuotaLimit kLimit{QuotaUnit::kTokens, 29'000, 29'000, 200};
const QuotaBounds kBounds{Duration(8'000), 0.1, 110'000.0};
constexpr std::uint64_t kRequest = 9'300;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

QuotaWordPtr Word(std::int64_t level, std::uint32_t nodes, std::uint64_t asked, int made_at) {
  auto word = std::make_shared<QuotaWord>();
  word->made_at = At(made_at);
  word->balances[kCustomer] = {level, nodes, asked};
  return word;
}

TEST_CASE("a node that has heard nothing lets one request run at once, and then a small share") {
  QuotaAccount account(kBounds);
  CHECK_FALSE(account.Spend(kCustomer, kLimit, kRequest, At(0)));
  const auto wait = account.Spend(kCustomer, kLimit, kRequest, At(100));
  REQUIRE(wait);
  // 9,300 tokens at a 64th of the rate.
  CHECK(*wait > Duration(20'000));
  CHECK(*wait < Duration(21'000));
}

TEST_CASE("customers inside their limit are never refused, whichever node they come by") {
  QuotaAccount account(kBounds);
  // Two requests a second where 3.1 are inside the limit, all at this node.
  int refused = 0;
  double level = static_cast<double>(MostAhead(kLimit, kBounds));
  std::int64_t spent = 0;
  for (int ms = 0; ms < 20'000; ms += 500) {
    auto word = std::make_shared<QuotaWord>();
    word->made_at = At(ms);
    word->balances[kCustomer] = {static_cast<std::int64_t>(level), 1, 18'600};
    word->counted[kCustomer] = spent;
    account.Heard(word, At(ms));
    if (account.Spend(kCustomer, kLimit, kRequest, At(ms))) {
      ++refused;
    } else {
      spent += kRequest;
      level -= kRequest;
    }
    level = std::min(level + 14'500.0, static_cast<double>(MostAhead(kLimit, kBounds)));
  }
  CHECK(refused == 0);
}

TEST_CASE("a told balance is shared among the nodes where the customer asks") {
  QuotaAccount account(kBounds);
  account.Spend(kCustomer, kLimit, 0, At(0));
  account.Heard(Word(60'000, 4, 0, 0), At(0));
  // A half goes to all alike, an eighth to each of four; the other half by what each is asked for,
  // and this one is asked for all of it.
  account.Spend(kCustomer, kLimit, 1, At(0));
  account.Heard(Word(60'000, 4, 0, 0), At(0));
  std::uint64_t granted = 0;
  while (!account.Spend(kCustomer, kLimit, 1'000, At(0))) {
    granted += 1'000;
  }
  CHECK(granted >= 37'000);
  CHECK(granted <= 39'000);
}

TEST_CASE("what a word does not take in yet is taken off its balance") {
  QuotaAccount account(kBounds);
  account.Spend(kCustomer, kLimit, kRequest, At(0));
  account.Heard(Word(kRequest - 1, 1, kRequest, 0), At(0));
  CHECK(account.Spend(kCustomer, kLimit, kRequest, At(0)));
  auto later = std::make_shared<QuotaWord>(*Word(kRequest, 1, kRequest, 1));
  later->counted[kCustomer] = kRequest;
  account.Heard(later, At(1));
  CHECK_FALSE(account.Spend(kCustomer, kLimit, kRequest, At(1)));
}

TEST_CASE("over the limit the wait that is told is true") {
  QuotaAccount account(kBounds);
  account.Spend(kCustomer, kLimit, kRequest, At(0));
  account.Heard(Word(-20'000, 1, 100'000, 0), At(0));
  const auto wait = account.Spend(kCustomer, kLimit, kRequest, At(0));
  REQUIRE(wait);
  const int ms = static_cast<int>(wait->count());
  CHECK(account.Spend(kCustomer, kLimit, 0, At(ms - 10)));
  CHECK_FALSE(account.Spend(kCustomer, kLimit, 0, At(ms + 1)));
}

TEST_CASE("words that stay away leave a node its share of the rate") {
  QuotaAccount account(kBounds);
  account.Spend(kCustomer, kLimit, 0, At(0));
  account.Heard(Word(0, 2, 0, 0), At(0));
  std::uint64_t granted = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    granted += account.Spend(kCustomer, kLimit, 100, At(ms)) ? 0 : 100;
  }
  // A quarter for one of two nodes that had asked for nothing: 72,500 in ten seconds.
  CHECK(granted >= 72'000);
  CHECK(granted <= 73'000);
}

TEST_CASE("refused requests give back what they took, and the rest is told once") {
  QuotaAccount account(kBounds);
  CHECK_FALSE(account.Spend(kCustomer, kLimit, kRequest, At(0)));
  CHECK(account.Spend(kCustomer, kLimit, kRequest, At(1)));
  account.GiveBack(kCustomer, kRequest);
  CHECK_FALSE(account.Spend(kCustomer, kLimit, 500, At(2)));
  const SpendingTable told = account.Take(At(3));
  CHECK(told.at(kCustomer) == Spending{500, 2 * kRequest + 500, 1});
  CHECK(account.Take(At(4)).at(kCustomer) == Spending{0, 0, 1});
  CHECK(account.Take(At(11'000)).empty());
}

TEST_CASE("a lower limit holds from the next request on") {
  QuotaAccount account(kBounds);
  account.Heard(Word(900'000, 1, 0, 0), At(0));
  QuotaLimit limit = kLimit;
  limit.per_second = 600'000;
  limit.burst = 600'000;
  CHECK_FALSE(account.Spend(kCustomer, limit, kRequest, At(0)));
  std::uint64_t granted = 0;
  while (!account.Spend(kCustomer, kLimit, kRequest, At(1))) {
    granted += kRequest;
  }
  CHECK(granted <= static_cast<std::uint64_t>(MostAhead(kLimit, kBounds)) + kRequest);
}

}  // namespace
}  // namespace rudderloom
