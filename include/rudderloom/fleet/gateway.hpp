/// @file
/// A node that forwards requests for nodes that have lost their own links to endpoints.
#ifndef RUDDERLOOM_FLEET_GATEWAY_HPP
#define RUDDERLOOM_FLEET_GATEWAY_HPP

#include <string>  // for string
#include <vector>  // for vector

namespace rudderloom {

/// @brief How other nodes reach a node that forwards their requests.
/// @ingroup fleet
struct Gateway {
  std::string address;  ///< IP address and port.
  std::string key;      ///< Proves that a request comes from a node; random for each process.
  bool operator==(const Gateway&) const = default;
};

/// @brief Gateways, each once.
/// @ingroup fleet
using GatewayList = std::vector<Gateway>;

/// @brief Number of gateways that are named to a node that needs them. Enough to spread the
/// requests of a zone without links over the other zones.
/// @ingroup fleet
constexpr std::size_t kMaxGateways = 16;

/// @brief Number of gateways that are named to a relay, whose nodes each get their own selection.
/// @ingroup fleet
constexpr std::size_t kMaxRelayedGateways = 48;

/// @brief Returns at most `count` gateways; different ones for different nodes.
/// @param node Name of the node that they are for.
/// @ingroup fleet
GatewayList SelectGateways(const GatewayList& all, const std::string& node, std::size_t count);

}  // namespace rudderloom

#endif
