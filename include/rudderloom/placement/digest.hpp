/// @file
/// What the holder of the placement lease tells the other entry nodes.
#ifndef RUDDERLOOM_PLACEMENT_DIGEST_HPP
#define RUDDERLOOM_PLACEMENT_DIGEST_HPP

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/fleet/endpoint_record.hpp"  // for ResidentModel
#include "rudderloom/fleet/fleet_view.hpp"       // for EndpointLoad

namespace rudderloom {

/// @brief What requests may be sent for, by endpoint instance.
/// @ingroup placement
using ServingList = std::map<std::string, std::vector<ResidentModel>>;

/// @brief The same with the version of each change; versions rise also from holder to holder.
/// @ingroup placement
using ServingLog = ChangeLog<std::vector<ResidentModel>>;
using ServingChanges = Changes<std::vector<ResidentModel>>;

/// @brief The holder's word, as one node hears it.
/// @ingroup placement
struct HolderDigest {
  bool holds = false;                     ///< False: the node that was asked holds no lease.
  std::uint64_t epoch = 0;                ///< Of the lease.
  std::uint32_t nodes = 1;                ///< Entry nodes whose counts are fresh, with the holder.
  LoadTable loads;                        ///< Of all nodes but the one that asked.
  std::uint64_t routes_version = 0;       ///< Of the holder's configuration; 0 for none.
  bool standby = false;                   ///< The asking node is one of the first that take over.
  bool renewals_fail = false;             ///< The holder can't renew its lease at present.
  ServingChanges serving;                 ///< That the asking node lacks.
  EndpointChanges endpoints;              ///< That the asking node lacks.
  std::optional<Duration> endpoints_age;  ///< Since the store confirmed the holder's list.
};

}  // namespace rudderloom

#endif
