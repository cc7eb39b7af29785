/// @file
/// What traffic sees of the control state: immutable, replaced as a whole.
#ifndef RUDDERLOOM_CONTROL_SNAPSHOT_HPP
#define RUDDERLOOM_CONTROL_SNAPSHOT_HPP

#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <memory>   // for shared_ptr
#include <string>   // for string
#include <vector>   // for vector

#include "rudderloom/configuration/configuration.hpp"  // for ConfigurationPtr
#include "rudderloom/quarantine/crash_news.hpp"        // for QuarantineListPtr
#include "rudderloom/routing/serving_set.hpp"          // for ServingSet

namespace rudderloom {

/// @brief One endpoint as traffic needs it.
/// @ingroup control
struct EndpointView {
  std::uint32_t id = 0;  ///< Stable while the endpoint is known to this process.
  std::string name;
  std::string address;
  std::string incarnation;
  std::string availability_zone;
  std::uint32_t slots = 1;
  std::uint32_t others_in_flight = 0;  ///< Requests of the other entry nodes, as last heard.
};

/// @brief One consistent view; traffic keeps it for as long as it needs it.
/// @ingroup control
struct Snapshot {
  ConfigurationPtr configuration = std::make_shared<const Configuration>();
  std::vector<EndpointView> endpoints;
  std::map<std::string, ServingSet> models;    ///< By name of a model or adapter.
  std::map<std::string, ServingSet> services;  ///< By name of a plain service.
  std::uint32_t live_nodes = 1;                ///< With this one.
  QuarantineListPtr quarantine;  ///< Requests that end the endpoints that run them; null: none.
  bool ready = false;            ///< A configuration is in force and the endpoints are known.
};

/// @brief A snapshot that nobody changes any more.
/// @ingroup control
using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace rudderloom

#endif
