// Distribution of limits from the observing node to all others.
#include "rudderloom/endpoint_limits/limit_exchange.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr EndpointKey kEndpoint = 7;

TimePoint At(int milliseconds) {
  return kStart + Duration(milliseconds);
}

SentLimits Limited(double requests_per_second, int age = 0) {
  return {{kEndpoint, {requests_per_second, Duration(age)}}};
}

SentLimits Ended(int age = 0) {
  return {{kEndpoint, {std::nullopt, Duration(age)}}};
}

bool IsLimited(const LimitExchange& exchange) {
  const EndpointLimitsPtr& limits = exchange.ForTraffic();
  return limits && limits->contains(kEndpoint) && limits->at(kEndpoint).requests_per_second;
}

TEST_CASE("an observation is sent to the holder immediately, and its table to nodes that lack it") {
  LimitExchange node;
  LimitExchange holder;
  holder.Begin(3);
  CHECK(holder.Table(At(0)).version == 0);
  CHECK(node.Observed(Limited(2.0), At(0)));
  CHECK(holder.Observed(node.ToReport(At(30)), At(35)));
  LimitExchange other;
  const LimitTable table = holder.Table(At(50));
  CHECK(table.version != other.Version());
  other.Received(table, At(50));
  CHECK(other.Version() == table.version);
  CHECK(other.TakeChanged());
  CHECK(IsLimited(other));
  // It is repeated in the reports for some seconds, but no longer counts as new.
  CHECK(!holder.Observed(node.ToReport(At(300)), At(305)));
  CHECK(node.ToReport(At(5'000)).empty());
}

TEST_CASE("the table version of an unchanged limit is raised once a second") {
  LimitExchange holder;
  holder.Begin(1);
  holder.Observed(Limited(2.0), At(0));
  const std::uint64_t version = holder.Version();
  holder.Observed(Limited(2.0), At(400));
  CHECK(holder.Version() == version);
  holder.Observed(Limited(2.0), At(1'100));
  CHECK(holder.Version() > version);
}

// Guards against nodes that keep an ended limit, or mistake an older observation for a newer one.
TEST_CASE("older observations do not revive an ended limit") {
  LimitExchange holder;
  holder.Begin(1);
  holder.Observed(Limited(2.0), At(0));
  const std::uint64_t limited = holder.Version();
  CHECK(holder.Observed(Ended(), At(1'000)));
  CHECK(holder.Version() > limited);
  CHECK(!IsLimited(holder));
  holder.Observed(Limited(2.0, 500), At(1'200));
  CHECK(!IsLimited(holder));
  holder.Expire([](EndpointKey) { return true; }, At(12'000));
  CHECK(holder.ForTraffic() == nullptr);
  CHECK(holder.Table(At(12'000)).version == 0);
}

// Guards against a new holder that reuses table versions of its predecessor.
TEST_CASE("the next holder's table has a new version and keeps the known limits") {
  LimitExchange former;
  former.Begin(1);
  former.Observed(Limited(2.0), At(0));
  LimitExchange next;
  next.Received(former.Table(At(10)), At(10));
  const std::uint64_t before = next.Version();
  next.Begin(2);
  CHECK(next.Version() > before);
  CHECK(next.Table(At(20)).limits.at(kEndpoint).requests_per_second == 2.0);
  next.End();
  next.Observed(Limited(9.0), At(100));
  CHECK(next.Version() > before);
  CHECK(IsLimited(next));
}

TEST_CASE("endpoints that are no longer listed are removed") {
  LimitExchange node;
  node.Observed(Limited(2.0), At(0));
  CHECK(node.TakeChanged());
  node.Expire([](EndpointKey) { return false; }, At(100));
  CHECK(node.TakeChanged());
  CHECK(node.ForTraffic() == nullptr);
  CHECK(node.ToReport(At(100)).empty());
}

}  // namespace
}  // namespace rudderloom
