#include "rudderloom/dissemination/configuration_log.hpp"

#include <algorithm>  // for find
#include <utility>    // for move

namespace rudderloom {

namespace {

// Connected nodes lag by a few versions at most; all others get the complete configuration.
constexpr std::size_t kMaxRecentVersions = 64;

// Host and prefix identify a route. The concatenation is unambiguous: prefixes begin with a slash
// and hosts contain none.
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
  RecordVersion(version);
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
  RecordVersion(changes.version);
  return true;
}

ConfigurationChanges ConfigurationLog::Since(std::uint64_t seen) const {
  ConfigurationChanges changes;
  if (!current_ || seen >= Version()) {
    return changes;
  }
  // A version that was never installed on this node may contain routes that are unknown to this
  // log; the changes would not remove them from the other node.
  const bool known =
      std::find(recent_versions_.begin(), recent_versions_.end(), seen) != recent_versions_.end();
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

void ConfigurationLog::RecordVersion(std::uint64_t version) {
  recent_versions_.push_back(version);
  if (recent_versions_.size() > kMaxRecentVersions) {
    recent_versions_.pop_front();
  }
}

}  // namespace rudderloom
