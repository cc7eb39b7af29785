/// @file
/// Tracks models and adapters that were requested while no endpoint held them.
#ifndef RUDDERLOOM_FORWARDING_MISSING_UNITS_HPP
#define RUDDERLOOM_FORWARDING_MISSING_UNITS_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/forwarding/header_codec.hpp"  // for RequestMetadata
#include "rudderloom/placement/demand.hpp"         // for UnitName
#include "rudderloom/routes/route_table.hpp"       // for ServiceSpec

namespace rudderloom {

/// @brief Returns the model that a request needs and, if named, its adapter. An adapter is only
/// resident together with its model.
/// @ingroup forwarding
std::vector<UnitName> RequestedUnits(const std::string& service, const RequestMetadata& terms);

/// @brief Estimates when a missing model or adapter becomes resident, so that requests wait only if
/// that helps. The time is passed in.
/// @ingroup forwarding
class MissingUnits {
 public:
  /// @brief Records a request for a unit that no endpoint holds.
  /// @param service Null if the service is unknown.
  /// @return When the unit is expected to be resident.
  TimePoint RecordMissing(const UnitName& unit, const ServiceSpec* service, TimePoint now);

  /// @brief Records that an endpoint holds the unit.
  void MarkResident(const UnitName& unit) { missing_.erase(unit); }

  /// @brief Drops units that have not been requested lately.
  void Trim(TimePoint now);

 private:
  struct Missing {
    TimePoint since;
    TimePoint last_asked;
  };

  std::map<UnitName, Missing> missing_;
};

}  // namespace rudderloom

#endif
