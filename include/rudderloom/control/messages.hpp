/// @file
/// Typed messages to the control state.
#ifndef RUDDERLOOM_CONTROL_MESSAGES_HPP
#define RUDDERLOOM_CONTROL_MESSAGES_HPP

#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "rudderloom/configuration/configuration.hpp"  // for ConfigurationPtr
#include "rudderloom/membership/endpoint_table.hpp"    // for EndpointSpec
#include "rudderloom/membership/member_table.hpp"      // for NodeState
#include "rudderloom/residency/pool_keeper.hpp"        // for Order

namespace rudderloom::message {

/// @brief A configuration was received from the platform, a peer or an operator.
/// @ingroup control
struct ConfigurationSeen {
  ConfigurationPtr configuration;
};

/// @brief The complete list of endpoints on the platform.
/// @ingroup control
struct EndpointsListed {
  std::vector<EndpointSpec> specs;
};

/// @brief An endpoint was added or changed.
/// @ingroup control
struct EndpointPut {
  EndpointSpec spec;
};

/// @brief An endpoint was deleted from the platform.
/// @ingroup control
struct EndpointRemoved {
  std::string name;
};

/// @brief The complete list of entry nodes on the platform.
/// @ingroup control
struct NodesListed {
  std::vector<NodeState> nodes;
};

/// @brief A pool's object was read or watched. An empty version means that it does not exist.
/// @ingroup control
struct PoolSeen {
  std::string pool;
  PoolRecord record;
  std::optional<StoreRevision> version;
  PoolReadKind sight = PoolReadKind::kWatched;
};

/// @brief Result of a failed read or of a write of a pool's object.
/// @ingroup control
struct PoolCallEnded {
  enum class Result { kWritten, kWriteFailed, kReadFailed };
  std::string pool;
  Result result = Result::kReadFailed;
  StoreRevision version;  ///< Set after a successful write.
};

/// @brief Result of one attempt to send an order.
/// @ingroup control
struct OrderEnded {
  Order order;
  OrderOutcome outcome = OrderOutcome::kUnknown;
};

/// @brief Result of polling the load of an endpoint.
/// @ingroup control
struct EndpointPolled {
  std::string name;
  std::string address;               ///< Address that was polled.
  std::optional<LoadReport> report;  ///< Empty without a valid response.
};

/// @brief A heartbeat or heartbeat response from a peer.
/// @ingroup control
struct HeartbeatReceived {
  NodeState state;
  std::vector<NodeDigest> digests;
};

/// @brief An endpoint announced in a response that it is shutting down.
/// @ingroup control
struct EndpointAnnouncedLeaving {
  std::string endpoint_and_incarnation;
};

/// @brief A sample of the requests in flight and waiting.
/// @ingroup control
struct TrafficSampled {
  std::map<std::string, std::uint32_t> in_flight;  ///< By endpoint.
  std::map<std::string, std::uint32_t> demand;     ///< Running or waiting, by name.
  CrashNews crash_news;                            ///< Crashes observed since the last sample.
};

/// @brief Periodic timer event.
/// @ingroup control
struct Tick {};

/// @brief A graceful shutdown begins.
/// @ingroup control
struct StopRequested {};

/// @brief Any message to the control state.
/// @ingroup control
using Any = std::variant<ConfigurationSeen,
                         EndpointsListed,
                         EndpointPut,
                         EndpointRemoved,
                         NodesListed,
                         PoolSeen,
                         PoolCallEnded,
                         OrderEnded,
                         EndpointPolled,
                         HeartbeatReceived,
                         EndpointAnnouncedLeaving,
                         TrafficSampled,
                         Tick,
                         StopRequested>;

}  // namespace rudderloom::message

#endif
