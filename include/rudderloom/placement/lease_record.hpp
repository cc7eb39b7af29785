/// @file
/// What the platform keeps of the lease on ordering endpoints.
#ifndef RUDDERLOOM_PLACEMENT_LEASE_RECORD_HPP
#define RUDDERLOOM_PLACEMENT_LEASE_RECORD_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t
#include <map>             // for map
#include <optional>        // for optional
#include <set>             // for set
#include <string>          // for string

#include "rudderloom/customers/customer.hpp"         // for CustomerKey
#include "rudderloom/placement/order_scope.hpp"      // for OrderScopes
#include "rudderloom/quarantine/request_digest.hpp"  // for RequestDigest

namespace rudderloom {

/// @brief Balances of customers that have spent most of what they may be ahead.
/// @ingroup placement
using LowBalances = std::map<CustomerKey, std::int64_t>;

/// @brief What the platform keeps of the lease.
/// @ingroup placement
struct LeaseRecord {
  std::string holder;       ///< Address where the holder hears its peers; names the machine.
  std::string incarnation;  ///< Of the holder's process.
  std::uint64_t epoch = 0;  ///< Grows with each new holder; the fencing token of its orders.
  std::uint64_t renewals = 0;
  bool released = false;          ///< The holder stopped and sends no order any more.
  OrderScopes own;                ///< The holder sends orders to these endpoints only.
  OrderScopes inherited;          ///< Former holders may have ordered these a short while ago.
  LowBalances low_balances = {};  ///< As of this write.
  /// @brief Requests that are sent to no endpoint, for a holder that has heard of none.
  std::set<RequestDigest> quarantined = {};
  /// @brief Of the store, as the holder knew it when it wrote this. Another one than the store's
  /// own tells that the record comes from an older copy. Nothing: written by an earlier version of
  /// this program, which knows of no eras.
  std::optional<std::uint64_t> era = {};
  /// @brief Former holders may have ordered any endpoint a short while ago: what they announced is
  /// lost.
  bool inherited_all = false;
  bool operator==(const LeaseRecord&) const = default;
};

boost::json::object ToJson(const LeaseRecord& record);
LeaseRecord LeaseRecordFromJson(const boost::json::object& object);

}  // namespace rudderloom

#endif
