/// @file
/// Expected ends of the loads of models and adapters.
#ifndef RUDDERLOOM_PLACEMENT_LOAD_FORECAST_HPP
#define RUDDERLOOM_PLACEMENT_LOAD_FORECAST_HPP

#include <cstdint>   // for uint32_t
#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"           // for TimePoint
#include "rudderloom/placement/unit_name.hpp"  // for UnitName

namespace rudderloom {

/// @brief Expected end of the load of a model or adapter, and the requests that wait for it.
/// @ingroup placement
struct ExpectedLoad {
  TimePoint ends_at;
  std::uint32_t waiting = 0;  ///< Requests waiting on all nodes, as last counted.
};

/// @brief An expected load with its remaining time, counted from when the forecast was made, for
/// transfer to other nodes.
/// @ingroup placement
struct LoadDue {
  Duration time_left{0};
  std::uint32_t waiting = 0;  ///< As in ExpectedLoad.
  bool operator==(const LoadDue&) const = default;
};

/// @brief Expected ends of loads that the holder of the lease has ordered, or orders once the
/// endpoint accepts another order.
/// @ingroup placement
using LoadForecast = std::map<UnitName, ExpectedLoad>;

/// @brief An immutable forecast.
/// @ingroup placement
using LoadForecastPtr = std::shared_ptr<const LoadForecast>;

/// @brief A forecast as durations from the time when it was made, for transfer to other nodes.
/// @ingroup placement
using LoadsDue = std::map<UnitName, LoadDue>;

/// @brief Adds an expected end, and keeps the earlier one if the unit has an entry.
/// @ingroup placement
void AddExpected(LoadForecast& forecast, const UnitName& unit, TimePoint ends_at);

/// @brief True when both have the same units, and times and counts differ within a tolerance.
/// @ingroup placement
bool NearlyEqual(const LoadForecast& left, const LoadForecast& right);

LoadsDue LoadsDueFrom(const LoadForecast& forecast, TimePoint made_at);
LoadForecast ForecastFrom(const LoadsDue& due, TimePoint made_at);

/// @brief The expected load of the unit; empty if the forecast is null or has no entry for it.
/// @ingroup placement
std::optional<ExpectedLoad> FindExpected(const LoadForecastPtr& forecast, const UnitName& unit);

}  // namespace rudderloom

#endif
