/// @file
/// What a holder of the lease, or a relay, answers other nodes, before it knows which one asks.
#ifndef RUDDERLOOM_DISSEMINATION_STATEMENT_HPP
#define RUDDERLOOM_DISSEMINATION_STATEMENT_HPP

#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/dissemination/digest.hpp"         // for HolderDigest
#include "rudderloom/dissemination/roster.hpp"         // for Roster
#include "rudderloom/endpoint_limits/permit_book.hpp"  // for PermitBasis
#include "rudderloom/placement/demand.hpp"             // for LoadSums
#include "rudderloom/quota/grant_book.hpp"             // for GrantBasis

namespace rudderloom {

/// @brief From what other nodes are answered. Immutable once published.
/// @ingroup dissemination
struct Statement {
  HolderDigest common;                           ///< Without what depends on the node that asks.
  TimePoint made_at;                             ///< By the holder.
  LoadSums loads;                                ///< For those of all nodes but the one that asks.
  std::shared_ptr<const ServingLog> serving;     ///< Null: not told.
  std::shared_ptr<const EndpointLog> endpoints;  ///< Null: not told.
  std::shared_ptr<const ConfigurationLog> configuration;  ///< Null: not told.
  std::optional<TimePoint> endpoints_confirmed_at;        ///< By the store.
  std::optional<TimePoint> configuration_confirmed_at;    ///< By the store.
  std::map<std::string, std::uint64_t> reports_counted;   ///< By node: see `SpendingLog`.
  std::shared_ptr<const GrantBasis> grants;               ///< Null: this node can't say.
  std::shared_ptr<const QuarantineTable> quarantine;      ///< Null: there is none.
  LimitTable limits;
  std::optional<PermitBasis> permits;    ///< Empty: this node hands out none.
  std::shared_ptr<const Roster> roster;  ///< Null at a relay.
  /// @brief Most nodes that are answered with more than a refusal; empty: any number.
  std::optional<std::uint32_t> most_members;
};

/// @brief The digest for the node that sent these counts.
/// @ingroup dissemination
HolderDigest DigestFor(const Statement& statement, const NodeCounts& asking, TimePoint now);

}  // namespace rudderloom

#endif
