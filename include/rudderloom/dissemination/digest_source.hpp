/// @file
/// The state from which a lease holder or a relay builds its digests for other nodes.
#ifndef RUDDERLOOM_DISSEMINATION_DIGEST_SOURCE_HPP
#define RUDDERLOOM_DISSEMINATION_DIGEST_SOURCE_HPP

#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/dissemination/digest.hpp"         // for HolderDigest
#include "rudderloom/dissemination/roster.hpp"         // for Roster
#include "rudderloom/endpoint_limits/permit_book.hpp"  // for PermitBasis
#include "rudderloom/placement/demand.hpp"             // for LoadSums
#include "rudderloom/quota/grant_book.hpp"             // for GrantBasis
#include "rudderloom/quota/turn_table.hpp"             // for TurnSpans

namespace rudderloom {

/// @brief Source data of the digests for all nodes. Immutable once published.
/// @ingroup dissemination
struct DigestSource {
  HolderDigest common;  ///< Without the parts that depend on the asking node.
  TimePoint made_at;    ///< When the holder created it.
  LoadSums loads;       ///< To compute loads without those of the asking node.
  std::shared_ptr<const ServingLog> serving;              ///< Null: omitted from digests.
  std::shared_ptr<const EndpointLog> endpoints;           ///< Null: omitted from digests.
  std::shared_ptr<const ConfigurationLog> configuration;  ///< Null: omitted from digests.
  std::optional<TimePoint> endpoints_confirmed_at;        ///< By the store.
  std::optional<TimePoint> configuration_confirmed_at;    ///< By the store.
  std::map<std::string, std::uint64_t> reports_counted;   ///< By node, see `SpendingLog`.
  std::shared_ptr<const GrantBasis> grants;               ///< Null: unknown to this node.
  TurnSpans turns;                                        ///< Positions of the nodes that report.
  std::shared_ptr<const QuarantineTable> quarantine;      ///< Null: no requests are quarantined.
  LimitTable limits;
  GatewayList gateways;                  ///< As known to this node.
  std::optional<PermitBasis> permits;    ///< Empty: this node grants no permits.
  std::shared_ptr<const Roster> roster;  ///< Null at a relay.
  /// @brief Maximum number of nodes that are answered; others are refused. Empty: unlimited.
  std::optional<std::uint32_t> max_members;
};

/// @brief Builds the digest for the node that sent the counts `asking`.
/// @ingroup dissemination
HolderDigest DigestFor(const DigestSource& statement, const NodeCounts& asking, TimePoint now);

}  // namespace rudderloom

#endif
