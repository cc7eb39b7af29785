/// @file
/// Endpoints that serve one model, adapter or service, with a precomputed table for prefix
/// affinity.
#ifndef RUDDERLOOM_ROUTING_SERVING_SET_HPP
#define RUDDERLOOM_ROUTING_SERVING_SET_HPP

#include <cstdint>  // for uint32_t
#include <string>   // for string
#include <vector>   // for vector

namespace rudderloom {

/// @brief Endpoints that serve one model, adapter or service.
/// @ingroup routing
struct ServingSet {
  std::string unit;  ///< `name@version` to request from the endpoint; empty for a service.
  std::vector<std::uint32_t> endpoints;  ///< Indices into the snapshot's list.
  std::vector<std::uint32_t> affinity;   ///< Maps hash buckets to positions in `endpoints`.
  std::vector<std::uint32_t> near;  ///< Positions of endpoints in this node's availability zone.
};

/// @brief Builds the affinity table by rendezvous hashing over the endpoints' names, so that adding
/// or removing an endpoint remaps only its own share of prefixes.
/// @param names Names of the endpoints, in the order of `endpoints`.
/// @ingroup routing
std::vector<std::uint32_t> BuildAffinity(const std::vector<std::string>& names);

}  // namespace rudderloom

#endif
