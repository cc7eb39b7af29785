/// @file
/// Expected ends of the loads of models and adapters.
#ifndef RUDDERLOOM_PLACEMENT_LOAD_FORECAST_HPP
#define RUDDERLOOM_PLACEMENT_LOAD_FORECAST_HPP

#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"           // for TimePoint
#include "rudderloom/placement/unit_name.hpp"  // for UnitName

namespace rudderloom {

/// @brief Expected ends of loads that the holder of the lease has ordered, or orders once the
/// endpoint accepts another order.
/// @ingroup placement
using LoadForecast = std::map<UnitName, TimePoint>;

/// @brief An immutable forecast.
/// @ingroup placement
using LoadForecastPtr = std::shared_ptr<const LoadForecast>;

/// @brief A forecast as durations from the time when it was made, for transfer to other nodes.
/// @ingroup placement
using LoadTimesLeft = std::map<UnitName, Duration>;

/// @brief Adds an expected end, and keeps the earlier one if the unit has an entry.
/// @ingroup placement
void AddExpected(LoadForecast& forecast, const UnitName& unit, TimePoint ends_at);

/// @brief True when both have the same units, with times that differ within a tolerance.
/// @ingroup placement
bool NearlyEqual(const LoadForecast& left, const LoadForecast& right);

LoadTimesLeft TimesLeft(const LoadForecast& forecast, TimePoint made_at);
LoadForecast ForecastFrom(const LoadTimesLeft& times_left, TimePoint made_at);

/// @brief The expected end of the unit's load; empty if the forecast is null or does not name it.
/// @ingroup placement
std::optional<TimePoint> ExpectedAt(const LoadForecastPtr& forecast, const UnitName& unit);

}  // namespace rudderloom

#endif
