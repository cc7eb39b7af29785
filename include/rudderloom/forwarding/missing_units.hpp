/// @file
/// Models and adapters that requests asked for while no endpoint held them.
#ifndef RUDDERLOOM_FORWARDING_MISSING_UNITS_HPP
#define RUDDERLOOM_FORWARDING_MISSING_UNITS_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/forwarding/dialect.hpp"  // for RequestTerms
#include "rudderloom/placement/demand.hpp"    // for UnitName
#include "rudderloom/routes/route_table.hpp"  // for ServiceSpec

namespace rudderloom {

/// @brief The model that a request asks for and, where it names one, the adapter, which can't be
/// there without its model.
/// @ingroup forwarding
std::vector<UnitName> RequestedUnits(const std::string& service, const RequestTerms& terms);

/// @brief Tells when a missing model or adapter is likely to be there, so that a request waits only
/// where waiting helps. Pure; time is passed in.
/// @ingroup forwarding
class MissingUnits {
 public:
  /// @brief A request asked for it and no endpoint holds it.
  /// @param service Null when nothing is known of it.
  /// @return When it is likely to be there.
  TimePoint Missed(const UnitName& unit, const ServiceSpec* service, TimePoint now);

  /// @brief An endpoint holds it.
  void Found(const UnitName& unit) { since_.erase(unit); }

  /// @brief Forgets what nobody has asked for lately.
  void Trim(TimePoint now);

 private:
  struct Missing {
    TimePoint since;
    TimePoint last_asked;
  };

  std::map<UnitName, Missing> since_;
};

}  // namespace rudderloom

#endif
