/// @file
/// The current instance of each endpoint that the platform lists.
#ifndef RUDDERLOOM_FLEET_INSTANCE_TRACKER_HPP
#define RUDDERLOOM_FLEET_INSTANCE_TRACKER_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/fleet/endpoint_record.hpp"  // for EndpointRecord

namespace rudderloom {

/// @brief Converts changes of the platform's entries, which are keyed by endpoint name, into
/// changes of instances. An endpoint that restarts under its name is a new instance; a late entry
/// of an earlier instance is dropped. Pure.
/// @ingroup fleet
class InstanceTracker {
 public:
  /// @brief Replaces all state with a complete list.
  void Reset(const std::vector<EndpointRecord>& records);

  /// @brief Records a written entry.
  void Put(EndpointRecord record);

  /// @brief Records that an entry was removed or no longer describes a usable endpoint.
  void Remove(const std::string& id);

  /// @brief Returns the changes since the last call.
  EndpointChanges TakeChanges();

 private:
  struct KnownInstance {
    std::string instance;
    std::uint64_t born = 0;
  };

  void EndInstance(const std::string& instance);

  std::map<std::string, KnownInstance> by_id_;
  std::map<std::string, EndpointRecord> put_;  // by instance
  std::vector<std::string> gone_;              // instances
};

}  // namespace rudderloom

#endif
