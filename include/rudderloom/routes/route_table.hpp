/// @file
/// Routes requests to services and describes the services: one complete configuration.
#ifndef RUDDERLOOM_ROUTES_ROUTE_TABLE_HPP
#define RUDDERLOOM_ROUTES_ROUTE_TABLE_HPP

#include <cstdint>      // for uint32_t, uint64_t
#include <map>          // for map
#include <memory>       // for shared_ptr
#include <optional>     // for optional
#include <set>          // for set
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "rudderloom/base/clock.hpp"          // for Duration
#include "rudderloom/customers/customer.hpp"  // for CustomerTable

namespace rudderloom {

/// @brief Whether a request may run again after a failed attempt.
/// @ingroup routes
enum class RouteKind {
  kRepeatable,  ///< May run more than once.
  kOnce,        ///< Runs at most once for each attempt by the client.
  kStream,      ///< Responds with server-sent events; runs once unless the route is resumable.
};

/// @brief A service and its weight in a route that is split between several.
/// @ingroup routes
struct ServiceShare {
  std::string service;
  std::uint32_t weight = 1;
  bool operator==(const ServiceShare&) const = default;
};

/// @brief How requests for one host and path prefix are served.
/// @ingroup routes
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kOnce;
  Duration timeout{30'000};       ///< Longest time for which a request is held.
  Duration goal{1'000};           ///< Latency goal; responses within it have the highest value.
  Duration longest_pause{1'000};  ///< Longest gap between events of a stream that is on time.
  Duration patience{30'000};      ///< Clients disconnect after receiving nothing for this time.
  std::uint32_t priority = 0;     ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;
  bool resumable = false;
  bool is_public = false;  ///< Callers need no API key.
  std::vector<ServiceShare> shares;

  /// @brief True when a request that may already have run may be sent again.
  bool Repeatable() const {
    return kind == RouteKind::kRepeatable || (kind == RouteKind::kStream && resumable);
  }
  bool operator==(const Route&) const = default;
};

/// @brief A model that the endpoints of a service may load.
/// @ingroup routes
struct ModelSpec {
  std::string name;
  std::uint64_t memory_mb = 0;
  Duration load_time{0};       ///< From the weight store.
  Duration disk_load_time{0};  ///< From the endpoint's own disk.
  std::uint64_t adapter_memory_mb = 0;
  Duration memory_load_time{0};  ///< From the endpoint's host memory.
  bool operator==(const ModelSpec&) const = default;
};

/// @brief Capacity of one model engine of a service, and the load rate of the weight store.
/// @ingroup routes
struct EngineSpec {
  std::uint32_t slots = 1;
  std::uint64_t token_capacity = 0;  ///< Tokens of prompts and responses that its memory holds.
  std::uint64_t memory_mb = 0;       ///< For weights and adapters together.
  std::uint32_t adapter_slots = 0;
  double loads_per_second = 1.0;  ///< Of the weight store, over all endpoints.
  std::vector<ModelSpec> models;

  /// @brief Returns the model with this name; null when there is none.
  const ModelSpec* Find(std::string_view name) const;
  bool operator==(const EngineSpec&) const = default;
};

/// @brief A service that requests are sent to.
/// @ingroup routes
struct ServiceSpec {
  std::string name;
  std::uint32_t max_connections = 0;  ///< Per endpoint, over all callers; 0 means no limit.
  std::optional<EngineSpec> engine;   ///< Empty for a service without a model engine.
  bool operator==(const ServiceSpec&) const = default;
};

/// @brief Limits on the memory and time of a client's connection.
/// @ingroup routes
struct ClientLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_time{5'000};
  Duration idle_time{60'000};
  bool operator==(const ClientLimits&) const = default;
};

/// @brief The customers, and whether callers need a key.
/// @ingroup routes
struct Callers {
  bool need_keys = false;  ///< On every route that isn't public.
  std::vector<Customer> customers;
};

/// @brief One complete configuration. Immutable once it is in force.
/// @ingroup routes
class RouteTable {
 public:
  RouteTable(std::uint64_t version,
             std::vector<Route> routes,
             std::vector<ServiceSpec> services,
             ClientLimits limits,
             Callers callers = {});

  /// @brief Returns the route of this host with the longest matching prefix; null if there is none.
  /// @param host May carry a port, which is ignored; letter case is ignored too.
  /// @param target Path of the request; a query is ignored.
  const Route* Find(std::string_view host, std::string_view target) const;

  /// @brief Returns the service with this name; null when there is none.
  const ServiceSpec* Service(std::string_view name) const;

  /// @brief Returns how many priorities of routes to the service are more urgent than `priority`.
  std::uint32_t MoreUrgentPriorities(std::string_view service, std::uint32_t priority) const;

  /// @brief True when callers give up before another copy of a model can be loaded: for some
  /// service, the fastest load from the weight store takes much longer than the shortest timeout of
  /// the stream routes to it.
  bool CallersGiveUpBeforeLoads() const { return callers_give_up_before_loads_; }

  std::uint64_t Version() const { return version_; }
  const std::vector<Route>& Routes() const { return routes_; }
  const std::map<std::string, ServiceSpec, std::less<>>& Services() const { return services_; }
  const ClientLimits& Limits() const { return limits_; }

  /// @brief True when callers of routes that aren't public need a key.
  bool NeedsKeys() const { return needs_keys_; }
  const CustomerTable& Customers() const { return customers_; }

 private:
  std::uint64_t version_;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSpec, std::less<>> services_;
  std::map<std::string, std::size_t, std::less<>> by_host_and_prefix_;
  std::map<std::string, std::set<std::uint32_t>, std::less<>> priorities_;  // by service
  ClientLimits limits_;
  bool needs_keys_ = false;
  bool callers_give_up_before_loads_ = false;
  CustomerTable customers_;
};

/// @brief The configuration in force; null before the first is known.
/// @ingroup routes
using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// @brief Chooses a service of a route in proportion to the weights.
/// @param random A uniformly distributed number.
/// @ingroup routes
const std::string& ChooseService(const Route& route, std::uint64_t random);

}  // namespace rudderloom

#endif
