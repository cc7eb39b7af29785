#include "rudderloom/routes/route_table.hpp"

#include <algorithm>  // for any_of, find_if, min
#include <cctype>     // for tolower
#include <iterator>   // for distance
#include <utility>    // for move

namespace rudderloom {

namespace {

// Returns the host in lower case, without a port.
std::string NormalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.find(':')));
  for (char& c : normalized) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return normalized;
}

// Prefixes begin with a slash and hosts contain none, so the concatenation is unambiguous.
std::string KeyOf(std::string_view host, std::string_view prefix) {
  return NormalizeHost(host) + std::string(prefix);
}

// A request that comes in the last third of a load can still wait for it.
constexpr double kLoadTimeoutRatio = 1.5;

bool LoadsOutlastCallers(const ServiceSpec& service, const std::vector<Route>& routes) {
  if (!service.engine || service.engine->models.empty()) {
    return false;
  }
  Duration fastest_load = Duration::max();
  for (const ModelSpec& model : service.engine->models) {
    fastest_load = std::min(fastest_load, model.load_time);
  }
  return std::any_of(routes.begin(), routes.end(), [&](const Route& route) {
    const bool leads_there =
        std::any_of(route.shares.begin(), route.shares.end(),
                    [&](const ServiceShare& share) { return share.service == service.name; });
    return leads_there && route.kind == RouteKind::kStream &&
           std::chrono::duration<double>(fastest_load) >=
               kLoadTimeoutRatio * std::chrono::duration<double>(route.timeout);
  });
}

}  // namespace

const ModelSpec* EngineSpec::Find(std::string_view name) const {
  const auto found = std::find_if(models.begin(), models.end(),
                                  [&](const ModelSpec& model) { return model.name == name; });
  return found == models.end() ? nullptr : &*found;
}

RouteTable::RouteTable(std::uint64_t version,
                       std::vector<Route> routes,
                       std::vector<ServiceSpec> services,
                       ClientLimits limits,
                       Callers callers)
    : version_(version),
      routes_(std::move(routes)),
      limits_(limits),
      needs_keys_(callers.need_keys),
      customers_(std::move(callers.customers)) {
  for (ServiceSpec& service : services) {
    services_.emplace(service.name, std::move(service));
  }
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    by_host_and_prefix_.emplace(KeyOf(routes_[i].host, routes_[i].prefix), i);
    for (const ServiceShare& share : routes_[i].shares) {
      priorities_[share.service].insert(routes_[i].priority);
    }
  }
  callers_give_up_before_loads_ =
      std::any_of(services_.begin(), services_.end(),
                  [this](const auto& entry) { return LoadsOutlastCallers(entry.second, routes_); });
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  std::string key = KeyOf(host, path);
  const std::size_t host_length = key.size() - path.size();
  // Prefixes end with a slash, so the longest match ends at the last slash of the path or at an
  // earlier one.
  for (std::size_t slash = key.rfind('/'); slash != std::string::npos && slash >= host_length;
       slash = key.rfind('/')) {
    key.resize(slash + 1);
    const auto found = by_host_and_prefix_.find(key);
    if (found != by_host_and_prefix_.end()) {
      return &routes_[found->second];
    }
    key.resize(slash);
  }
  return nullptr;
}

const ServiceSpec* RouteTable::Service(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

std::uint32_t RouteTable::MoreUrgentPriorities(std::string_view service,
                                               std::uint32_t priority) const {
  const auto found = priorities_.find(service);
  if (found == priorities_.end()) {
    return 0;
  }
  const auto& priorities = found->second;
  return static_cast<std::uint32_t>(
      std::distance(priorities.begin(), priorities.lower_bound(priority)));
}

const std::string& ChooseService(const Route& route, std::uint64_t random) {
  std::uint64_t total = 0;
  for (const ServiceShare& share : route.shares) {
    total += share.weight;
  }
  std::uint64_t remainder = total == 0 ? 0 : random % total;
  for (const ServiceShare& share : route.shares) {
    if (remainder < share.weight) {
      return share.service;
    }
    remainder -= share.weight;
  }
  return route.shares.front().service;
}

}  // namespace rudderloom
