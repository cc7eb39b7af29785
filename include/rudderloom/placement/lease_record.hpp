/// @file
/// The stored record of the placement lease, which permits its holder to send orders to endpoints.
#ifndef RUDDERLOOM_PLACEMENT_LEASE_RECORD_HPP
#define RUDDERLOOM_PLACEMENT_LEASE_RECORD_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t
#include <map>             // for map
#include <optional>        // for optional
#include <set>             // for set
#include <string>          // for string

#include "rudderloom/customers/customer.hpp"                // for CustomerKey
#include "rudderloom/placement/order_scope.hpp"             // for OrderScopes
#include "rudderloom/quarantine/request_digest.hpp"         // for RequestDigest
#include "rudderloom/stream_versions/service_versions.hpp"  // for VersionsByService

namespace rudderloom {

/// @brief Balances of customers that have used most of their permitted overspend.
/// @ingroup placement
using LowBalances = std::map<CustomerKey, std::int64_t>;

/// @brief The lease record stored in the platform.
/// @ingroup placement
struct LeaseRecord {
  std::string holder;  ///< Address on which the holder listens for peers; identifies the machine.
  std::string incarnation;  ///< Identifies the holder's process.
  std::uint64_t epoch = 0;  ///< Increases with each new holder; the fencing token of its orders.
  std::uint64_t renewals = 0;
  bool released = false;  ///< The holder has released the lease and sends no more orders.
  OrderScopes own;        ///< The only endpoints that the holder sends orders to.
  OrderScopes inherited;  ///< Endpoints to which former holders may recently have sent orders.
  LowBalances low_balances = {};  ///< At the time of this write.
  /// @brief Quarantined requests, which are sent to no endpoint; read by a new holder that has not
  /// been told of any.
  std::set<RequestDigest> quarantined = {};
  /// @brief Era of the store when the holder wrote this record. If it differs from the store's
  /// current era, the record comes from an older copy. Empty if written by an earlier version of
  /// this program, which has no eras.
  std::optional<std::uint64_t> era = {};
  /// @brief True if former holders may recently have sent orders to any endpoint, because their
  /// announcements were lost.
  bool inherited_all = false;
  /// @brief Software versions that have served lately, which a new holder may not have seen. Empty
  /// if the holder doesn't know what served before it started, or is an earlier version of this
  /// program.
  std::optional<VersionsByService> software_versions = {};
  /// @brief Versions at which streams began whose start no node knows, see `UnrecordedVersions`;
  /// for nodes that have not heard of the holder. Empty if the holder or one of its nodes is an
  /// earlier version of this program.
  std::optional<VersionOfService> unrecorded_versions = {};
  bool operator==(const LeaseRecord&) const = default;
};

boost::json::object ToJson(const LeaseRecord& record);
LeaseRecord LeaseRecordFromJson(const boost::json::object& object);

}  // namespace rudderloom

#endif
