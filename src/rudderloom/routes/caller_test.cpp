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

TEST_CASE("a key is required unless the route is public or the table requires none") {
  const RouteTable table = MakeTable(true, {MakeCustomer("a", "k1")});
  const RouteTable keyless_table = MakeTable(false, {});
  Route route;
  Route public_route;
  public_route.is_public = true;
  CHECK(IdentifyCaller(table, route, DigestOf("k1")).customer->name == "a");
  CHECK(IdentifyCaller(table, route, DigestOf("k2")).standing == CallerStatus::kUnknown);
  CHECK(IdentifyCaller(table, route, std::nullopt).standing == CallerStatus::kUnknown);
  CHECK(IdentifyCaller(table, public_route, std::nullopt).standing == CallerStatus::kAnonymous);
  CHECK(IdentifyCaller(table, public_route, DigestOf("k1")).customer == nullptr);
  CHECK(IdentifyCaller(keyless_table, route, DigestOf("k1")).standing == CallerStatus::kAnonymous);
}

TEST_CASE("without customers, no key is accepted on a route that requires one") {
  const RouteTable table = MakeTable(true, {});
  CHECK(IdentifyCaller(table, Route(), DigestOf("k1")).standing == CallerStatus::kUnknown);
}

TEST_CASE("a customer's priority overrides its route's priority") {
  Customer customer = MakeCustomer("a", "k1");
  Route route;
  route.priority = 2;
  CHECK(PriorityOf({CallerStatus::kCustomer, &customer}, route) == 2);
  customer.priority = 0;
  CHECK(PriorityOf({CallerStatus::kCustomer, &customer}, route) == 0);
  CHECK(PriorityOf({}, route) == 2);
}

}  // namespace
}  // namespace rudderloom
