/// @file
/// What an endpoint publishes about itself, in the platform's list and in its reports.
#ifndef RUDDERLOOM_FLEET_ENDPOINT_RECORD_HPP
#define RUDDERLOOM_FLEET_ENDPOINT_RECORD_HPP

#include <cstdint>   // for uint32_t, uint64_t
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/change_log.hpp"      // for ChangeLog
#include "rudderloom/base/clock.hpp"           // for Duration
#include "rudderloom/base/store_revision.hpp"  // for StoreRevision

namespace rudderloom {

/// @brief A model that is loaded on an endpoint, with its loaded adapters.
/// @ingroup fleet
struct ResidentModel {
  std::string name;
  std::uint64_t version = 0;
  std::set<std::string> adapters;
  bool operator==(const ResidentModel&) const = default;
};

/// @brief Weights that an endpoint keeps in addition to its loaded models, and can load without the
/// weight store.
/// @ingroup fleet
struct LocalWeights {
  std::set<std::string> in_memory;
  std::set<std::string> on_disk;
  bool operator==(const LocalWeights&) const = default;

  bool Has(const std::string& model) const {
    return in_memory.contains(model) || on_disk.contains(model);
  }
};

/// @brief Returns the name of one instance of an endpoint: its listed name and, where known, its
/// start time, as an endpoint that restarts under the same name has lost all earlier state.
/// @param born Start time by the endpoint's own clock, in milliseconds; 0 when unknown.
/// @ingroup fleet
std::string InstanceName(const std::string& id, std::uint64_t born);

/// @brief One instance of an endpoint, as the platform lists it.
/// @ingroup fleet
struct EndpointRecord {
  std::string instance;  ///< Its `InstanceName`, which changes with each start of the process.
  std::string id;        ///< The name under which it is listed and addressed.
  std::uint64_t born = 0;
  std::string service;
  std::string address;  ///< IP address and port; may be reassigned to another endpoint later.
  std::string availability_zone;
  std::string software_version;  ///< Empty: not known. Of the endpoint's software, not of weights.
  std::uint32_t slots = 1;
  bool leaving = false;
  std::uint64_t orders_taken = 0;  ///< Number of orders accepted since the process started.
  std::vector<ResidentModel> models;
  bool includes_models =
      true;  ///< False: `orders_taken` and `models` are not set; they are sent separately.
  bool operator==(const EndpointRecord&) const = default;
};

/// @brief The platform's list by instance, with the store's revision of each change. Its records
/// carry no models: these change with each order, and the lease holder sends the models that
/// requests may use to all nodes anyway.
/// @ingroup fleet
using EndpointLog = ChangeLog<EndpointRecord, StoreRevision>;
using EndpointChanges = Changes<EndpointRecord, StoreRevision>;

/// @brief A model engine's answer to a report call; its contents are about 100 ms old.
/// @ingroup fleet
struct EngineReport {
  std::uint64_t born = 0;  ///< Start time of the answering instance; 0 when unknown.
  std::vector<ResidentModel> models;
  LocalWeights local_weights;
  std::set<std::string> pending_adapters;  ///< Adapters being loaded, as `model/adapter`.
  bool busy = false;                       ///< An order is being carried out.
  std::uint64_t orders_taken = 0;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::uint64_t tokens_used = 0;
};

/// @brief Returns the model of this name, or null when it is not among `models`.
/// @ingroup fleet
const ResidentModel* FindModel(const std::vector<ResidentModel>& models, const std::string& name);

}  // namespace rudderloom

#endif
