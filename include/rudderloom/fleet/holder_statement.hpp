/// @file
/// What the holder of the placement lease tells the other nodes, before it knows which one asks.
#ifndef RUDDERLOOM_FLEET_HOLDER_STATEMENT_HPP
#define RUDDERLOOM_FLEET_HOLDER_STATEMENT_HPP

#include <memory>    // for shared_ptr
#include <optional>  // for optional

#include "rudderloom/placement/demand.hpp"  // for DemandBoard
#include "rudderloom/placement/digest.hpp"  // for HolderDigest

namespace rudderloom {

/// @brief From what the holder answers other nodes. Immutable once published.
/// @ingroup fleet
struct HolderStatement {
  HolderDigest common;                           ///< Without what depends on the node that asks.
  LoadSums loads;                                ///< For those of all nodes but the one that asks.
  std::shared_ptr<const ServingLog> serving;     ///< Null when the node holds no lease.
  std::shared_ptr<const EndpointLog> endpoints;  ///< Null when the node holds no lease.
  std::optional<TimePoint> endpoints_confirmed_at;  ///< By the store.
  std::set<std::string> standbys;                   ///< Nodes that are to take over first.
};

/// @brief The digest for the node that sent these counts.
/// @ingroup fleet
HolderDigest DigestFor(const HolderStatement& statement, const NodeCounts& asking, TimePoint now);

}  // namespace rudderloom

#endif
