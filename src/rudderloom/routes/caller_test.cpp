#include "rudderloom/routes/caller.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

Customer MakeCustomer(const std::string& name, const std::string& key) {
  Customer customer;
  customer.name = name;
  customer.keys = {DigestOf(key)};
  return customer;
}

RouteTable MakeTable(bool need_keys, std::vector<Customer> customers) {
  return {1, {}, {}, {}, {need_keys, std::move(customers)}};
}

TEST_CASE("a route asks for a key unless it is public or there are no customers") {
  const RouteTable table = MakeTable(true, {MakeCustomer("a", "k1")});
  const RouteTable open = MakeTable(false, {});
  Route route;
  Route shown;
  shown.is_public = true;
  CHECK(IdentifyCaller(table, route, DigestOf("k1")).customer->name == "a");
  CHECK(IdentifyCaller(table, route, DigestOf("k2")).standing == CallerStanding::kUnknown);
  CHECK(IdentifyCaller(table, route, std::nullopt).standing == CallerStanding::kUnknown);
  CHECK(IdentifyCaller(table, shown, std::nullopt).standing == CallerStanding::kAnybody);
  CHECK(IdentifyCaller(table, shown, DigestOf("k1")).customer == nullptr);
  CHECK(IdentifyCaller(open, route, DigestOf("k1")).standing == CallerStanding::kAnybody);
}

TEST_CASE("customers that are all gone leave routes that ask for keys closed") {
  const RouteTable table = MakeTable(true, {});
  CHECK(IdentifyCaller(table, Route(), DigestOf("k1")).standing == CallerStanding::kUnknown);
}

TEST_CASE("a customer's rank comes before its route's") {
  Customer customer = MakeCustomer("a", "k1");
  Route route;
  route.priority = 2;
  CHECK(PriorityOf({CallerStanding::kCustomer, &customer}, route) == 2);
  customer.priority = 0;
  CHECK(PriorityOf({CallerStanding::kCustomer, &customer}, route) == 0);
  CHECK(PriorityOf({}, route) == 2);
}

}  // namespace
}  // namespace rudderloom
