/// @file
/// Everything that the control state is told, as typed messages.
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

/// @brief A configuration from the platform, a peer or an operator's change.
/// @ingroup control
struct ConfigurationSeen {
  ConfigurationPtr configuration;
};

/// @brief The platform's whole list of endpoints.
/// @ingroup control
struct EndpointsListed {
  std::vector<EndpointSpec> specs;
};

/// @brief One endpoint of a watch event.
/// @ingroup control
struct EndpointPut {
  EndpointSpec spec;
};

/// @brief One endpoint left the platform's list.
/// @ingroup control
struct EndpointRemoved {
  std::string name;
};

/// @brief The platform's whole list of entry nodes.
/// @ingroup control
struct NodesListed {
  std::vector<NodeState> nodes;
};

/// @brief A pool's object as read or watched; an empty version means that there is none.
/// @ingroup control
struct PoolSeen {
  std::string pool;
  PoolRecord record;
  std::optional<StoreRevision> version;
  PoolSight sight = PoolSight::kWatched;
};

/// @brief Outcome of a read or write of a pool's object.
/// @ingroup control
struct PoolCallEnded {
  enum class Result { kWritten, kWriteFailed, kReadFailed };
  std::string pool;
  Result result = Result::kReadFailed;
  StoreRevision version;  ///< After a write that took effect.
};

/// @brief Outcome of sending an order once.
/// @ingroup control
struct OrderEnded {
  Order order;
  OrderOutcome outcome = OrderOutcome::kUnknown;
};

/// @brief Outcome of asking an endpoint for its load.
/// @ingroup control
struct EndpointPolled {
  std::string name;
  std::string address;               ///< That was asked.
  std::optional<LoadReport> report;  ///< Empty: no answer.
};

/// @brief A heartbeat or the answer to one.
/// @ingroup control
struct PeerHeard {
  NodeState state;
  std::vector<NodeDigest> digests;
};

/// @brief An endpoint said in an answer that it is leaving.
/// @ingroup control
struct LeavingSaid {
  std::string endpoint_and_incarnation;
};

/// @brief What traffic runs and what waits, sampled.
/// @ingroup control
struct TrafficSampled {
  std::map<std::string, std::uint32_t> in_flight;  ///< By endpoint.
  std::map<std::string, std::uint32_t> demand;     ///< Running or waiting, by name.
  CrashNews crash_news;                            ///< Seen since the last sample.
};

/// @brief Time passed.
/// @ingroup control
struct Tick {};

/// @brief A planned stop begins.
/// @ingroup control
struct StopAsked {};

/// @brief Any of them.
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
                         PeerHeard,
                         LeavingSaid,
                         TrafficSampled,
                         Tick,
                         StopAsked>;

}  // namespace rudderloom::message

#endif
