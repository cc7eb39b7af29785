#include "rudderloom/quota/spending_log.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr CustomerKey kCustomer = 7;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

SpendingTable Spent(std::int64_t amount) {
  return {{kCustomer, {amount, static_cast<std::uint64_t>(amount), 1}}};
}

std::int64_t TakeSpent(SpendingLog& log, int ms) {
  const SpendingTable table = log.Take(At(ms)).table;
  const auto found = table.find(kCustomer);
  return found == table.end() ? 0 : found->second.spent;
}

TEST_CASE("what is told once is not told again, and what did not arrive is") {
  SpendingLog log(1);
  log.CountedSelf(Spent(10));
  CHECK(log.Take(At(0)).table.at(kCustomer).spent == 10);
  CHECK(TakeSpent(log, 1) == 0);
  log.CountedSelf(Spent(5));
  const SpendingReport third = log.Take(At(2));
  CHECK(third.table.at(kCustomer).spent == 5);
  log.Arrived(third.number - 1);
  log.Failed(third.number);
  // The first two had arrived.
  CHECK(TakeSpent(log, 3) == 5);
}

TEST_CASE("a report that was replaced on its way is told with the one that failed after it") {
  SpendingLog log(1);
  log.CountedSelf(Spent(10));
  log.Take(At(0));
  log.CountedSelf(Spent(5));
  const SpendingReport second = log.Take(At(1));
  log.Failed(second.number);
  CHECK(TakeSpent(log, 2) == 15);
}

TEST_CASE("own spending counts as taken in once the holder's balances take in its report") {
  SpendingLog log(100);
  log.CountedSelf(Spent(10));
  const SpendingReport first = log.Take(At(0));
  log.Arrived(first.number);
  CHECK(log.OwnCounted().empty());
  log.Confirmed(17);  // of another life
  CHECK(log.OwnCounted().empty());
  log.Confirmed(first.number);
  CHECK(log.OwnCounted().at(kCustomer) == 10);
}

TEST_CASE("a relay confirms a member's report when the holder has taken in its own") {
  SpendingLog relay(1);
  relay.CountedSelf(Spent(1));
  relay.Counted("m", 40, Spent(10), At(0));
  const SpendingReport first = relay.Take(At(1));
  CHECK(first.table.at(kCustomer) == Spending{11, 11, 2});
  relay.Counted("m", 41, Spent(3), At(2));
  relay.Arrived(first.number);
  relay.Confirmed(first.number);
  CHECK(relay.ReportsCounted().at("m") == 40);
  // The member's own amounts are none of the relay's.
  CHECK(relay.OwnCounted().at(kCustomer) == 1);
  const SpendingReport second = relay.Take(At(3));
  CHECK(second.table.at(kCustomer).spent == 3);
  relay.Confirmed(second.number);
  CHECK(relay.ReportsCounted().at("m") == 41);
}

TEST_CASE("what arrived and is never confirmed is taken for counted after a while") {
  SpendingLog log(1);
  log.CountedSelf(Spent(10));
  log.Arrived(log.Take(At(0)).number);
  log.Take(At(2'000));
  CHECK(log.OwnCounted().empty());
  log.Take(At(3'100));
  CHECK(log.OwnCounted().at(kCustomer) == 10);
}

TEST_CASE("a member that falls silent no longer counts as one where customers ask") {
  SpendingLog relay(1);
  relay.CountedSelf(Spent(1));
  relay.Counted("m", 40, Spent(10), At(0));
  CHECK(relay.Take(At(0)).table.at(kCustomer).nodes == 2);
  CHECK(relay.Take(At(2'500)).table.at(kCustomer).nodes == 1);
}

}  // namespace
}  // namespace rudderloom
