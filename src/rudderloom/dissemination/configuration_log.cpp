#include "rudderloom/dissemination/configuration_log.hpp"

#include <algorithm>  // for find
#include <utility>    // for move

namespace rudderloom {

namespace {

// Nodes that are in touch are a few versions behind at most; all others get the whole.
constexpr std::size_t kVersionsKept = 64;

// A configuration has one route for a host and prefix; prefixes begin with a slash, hosts hold
// none.
std::map<std::string, Route> RoutesByKey(const RouteTable& table) {
  std::map<std::string, Route> routes;
  for (const Route& route : table.Routes()) {
    routes.emplace(route.host + route.prefix, route);
  }
  return routes;
}

std::map<std::string, ServiceSpec> ServicesByName(const RouteTable& table) {
  return {table.Services().begin(), table.Services().end()};
}

std::map<std::string, Customer> CustomersByName(const RouteTable& table) {
  std::map<std::string, Customer> customers;
  for (const Customer& customer : table.Customers().All()) {
    customers.emplace(customer.name, customer);
  }
  return customers;
}

}  // namespace

bool ConfigurationLog::Offer(RouteTablePtr table) {
  if (!table || table->Version() <= Version()) {
    return false;
  }
  const std::uint64_t version = table->Version();
  if (current_) {
    routes_.Update(RoutesByKey(*table), version);
    services_.Update(ServicesByName(*table), version);
    customers_.Update(CustomersByName(*table), version);
  } else {
    routes_.Replace(RoutesByKey(*table), version);
    services_.Replace(ServicesByName(*table), version);
    customers_.Replace(CustomersByName(*table), version);
  }
  current_ = std::move(table);
  Remember(version);
  return true;
}

bool ConfigurationLog::Apply(const ConfigurationChanges& changes) {
  if (changes.version <= Version()) {
    return false;
  }
  if (changes.since != 0 && changes.since != Version()) {
    return false;
  }
  routes_.Apply(changes.routes);
  services_.Apply(changes.services);
  customers_.Apply(changes.customers);
  current_ = std::make_shared<const RouteTable>(changes.version, routes_.Values(),
                                                services_.Values(), changes.limits,
                                                Callers{changes.need_keys, customers_.Values()});
  Remember(changes.version);
  return true;
}

ConfigurationChanges ConfigurationLog::Since(std::uint64_t seen) const {
  ConfigurationChanges changes;
  if (!current_ || seen >= Version()) {
    return changes;
  }
  // A version that was never in force here may hold routes that this log has not heard of, so
  // nothing would tell the other node to drop them.
  const bool known = std::find(versions_.begin(), versions_.end(), seen) != versions_.end();
  const std::uint64_t from = known ? seen : 0;
  changes.version = Version();
  changes.routes = routes_.Since(from);
  changes.services = services_.Since(from);
  changes.customers = customers_.Since(from);
  changes.need_keys = current_->NeedsKeys();
  changes.limits = current_->Limits();
  const bool whole = changes.routes.whole && changes.services.whole && changes.customers.whole;
  changes.since = whole ? 0 : from;
  return changes;
}

void ConfigurationLog::Remember(std::uint64_t version) {
  versions_.push_back(version);
  if (versions_.size() > kVersionsKept) {
    versions_.pop_front();
  }
}

}  // namespace rudderloom
