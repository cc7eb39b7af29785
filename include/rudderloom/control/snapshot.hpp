/// @file
/// An immutable view of the control state for the traffic threads, replaced as a whole.
#ifndef RUDDERLOOM_CONTROL_SNAPSHOT_HPP
#define RUDDERLOOM_CONTROL_SNAPSHOT_HPP

#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <memory>   // for shared_ptr
#include <set>      // for set
#include <string>   // for string
#include <vector>   // for vector

#include "rudderloom/configuration/configuration.hpp"  // for ConfigurationPtr
#include "rudderloom/quarantine/crash_news.hpp"        // for QuarantineListPtr
#include "rudderloom/routing/serving_set.hpp"          // for ServingSet

namespace rudderloom {

/// @brief Endpoint data for routing.
/// @ingroup control
struct EndpointView {
  std::uint32_t id = 0;  ///< Unchanged while the endpoint is known to this process.
  std::string name;
  std::string address;
  std::string instance;  ///< See InstanceOf.
  std::string availability_zone;
  std::uint32_t slots = 1;
  std::uint32_t others_in_flight = 0;  ///< Requests of other entry nodes, as last reported.
};

/// @brief A consistent view. Readers share ownership, so it remains valid while they use it.
/// @ingroup control
struct Snapshot {
  ConfigurationPtr configuration = std::make_shared<const Configuration>();
  std::vector<EndpointView> endpoints;
  std::map<std::string, ServingSet> models;    ///< By name of a model or adapter.
  std::map<std::string, ServingSet> services;  ///< By name of a plain service.
  std::uint32_t live_nodes = 1;                ///< Including this node.
  /// @brief Incarnations of the entry nodes that may be running, including this one; null while the
  /// nodes are not known.
  std::shared_ptr<const std::set<std::string>> running_nodes;
  QuarantineListPtr quarantine;  ///< Requests that crash endpoints; null if there are none.
  bool ready = false;            ///< A configuration is in force and the endpoints are known.
};

/// @brief Shared pointer to an immutable snapshot.
/// @ingroup control
using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace rudderloom

#endif
