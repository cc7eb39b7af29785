#include "rudderloom/quota/spending_log.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr CustomerKey kCustomer = 7;

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::hours(1)) + Duration(milliseconds);
}

SpendingTable MakeSpending(std::int64_t amount) {
  return {{kCustomer, {amount, static_cast<std::uint64_t>(amount), 1}}};
}

std::int64_t TakeSpent(SpendingLog& log, int ms) {
  const SpendingTable table = log.Take(At(ms)).table;
  const auto found = table.find(kCustomer);
  return found == table.end() ? 0 : found->second.spent;
}

TEST_CASE("delivered spending is not sent again, failed reports are") {
  SpendingLog log(1);
  log.RecordOwn(MakeSpending(10));
  CHECK(log.Take(At(0)).table.at(kCustomer).spent == 10);
  CHECK(TakeSpent(log, 1) == 0);
  log.RecordOwn(MakeSpending(5));
  const SpendingReport third = log.Take(At(2));
  CHECK(third.table.at(kCustomer).spent == 5);
  log.MarkDelivered(third.number - 1);
  log.MarkFailed(third.number);
  // The first two were delivered.
  CHECK(TakeSpent(log, 3) == 5);
}

TEST_CASE("an undelivered report is sent again when a later one fails") {
  SpendingLog log(1);
  log.RecordOwn(MakeSpending(10));
  log.Take(At(0));
  log.RecordOwn(MakeSpending(5));
  const SpendingReport second = log.Take(At(1));
  log.MarkFailed(second.number);
  CHECK(TakeSpent(log, 2) == 15);
}

TEST_CASE("own spending counts as included once the holder confirms its report") {
  SpendingLog log(100);
  log.RecordOwn(MakeSpending(10));
  const SpendingReport first = log.Take(At(0));
  log.MarkDelivered(first.number);
  CHECK(log.OwnCounted().empty());
  log.Confirmed(17);  // of an earlier process
  CHECK(log.OwnCounted().empty());
  log.Confirmed(first.number);
  CHECK(log.OwnCounted().at(kCustomer) == 10);
}

TEST_CASE("a relay confirms a member's report after the holder has confirmed its own") {
  SpendingLog relay(1);
  relay.RecordOwn(MakeSpending(1));
  relay.RecordMember("m", 40, MakeSpending(10), At(0));
  const SpendingReport first = relay.Take(At(1));
  CHECK(first.table.at(kCustomer) == Spending{11, 11, 2});
  relay.RecordMember("m", 41, MakeSpending(3), At(2));
  relay.MarkDelivered(first.number);
  relay.Confirmed(first.number);
  CHECK(relay.ReportsCounted().at("m") == 40);
  // The member's spending is not part of the relay's own.
  CHECK(relay.OwnCounted().at(kCustomer) == 1);
  const SpendingReport second = relay.Take(At(3));
  CHECK(second.table.at(kCustomer).spent == 3);
  relay.Confirmed(second.number);
  CHECK(relay.ReportsCounted().at("m") == 41);
}

TEST_CASE("a delivered report without confirmation counts as included after a timeout") {
  SpendingLog log(1);
  log.RecordOwn(MakeSpending(10));
  log.MarkDelivered(log.Take(At(0)).number);
  log.Take(At(2'000));
  CHECK(log.OwnCounted().empty());
  log.Take(At(3'100));
  CHECK(log.OwnCounted().at(kCustomer) == 10);
}

TEST_CASE("a silent member no longer counts as a node that customers use") {
  SpendingLog relay(1);
  relay.RecordOwn(MakeSpending(1));
  relay.RecordMember("m", 40, MakeSpending(10), At(0));
  CHECK(relay.Take(At(0)).table.at(kCustomer).nodes == 2);
  CHECK(relay.Take(At(2'500)).table.at(kCustomer).nodes == 1);
}

}  // namespace
}  // namespace rudderloom
