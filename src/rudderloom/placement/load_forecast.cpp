#include "rudderloom/placement/load_forecast.hpp"

#include <algorithm>  // for min, equal

namespace rudderloom {

namespace {

constexpr Duration kTolerance{40};

}  // namespace

void AddExpected(LoadForecast& forecast, const UnitName& unit, TimePoint ends_at) {
  const auto [entry, added] = forecast.try_emplace(unit, ends_at);
  entry->second = std::min(entry->second, ends_at);
}

bool NearlyEqual(const LoadForecast& left, const LoadForecast& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const auto& one, const auto& other) {
                      return one.first == other.first && one.second - other.second <= kTolerance &&
                             other.second - one.second <= kTolerance;
                    });
}

LoadTimesLeft TimesLeft(const LoadForecast& forecast, TimePoint made_at) {
  LoadTimesLeft times_left;
  for (const auto& [unit, ends_at] : forecast) {
    times_left.emplace(unit, Between(made_at, ends_at));
  }
  return times_left;
}

LoadForecast ForecastFrom(const LoadTimesLeft& times_left, TimePoint made_at) {
  LoadForecast forecast;
  for (const auto& [unit, time_left] : times_left) {
    forecast.emplace(unit, made_at + time_left);
  }
  return forecast;
}

std::optional<TimePoint> ExpectedAt(const LoadForecastPtr& forecast, const UnitName& unit) {
  if (!forecast) {
    return std::nullopt;
  }
  const auto found = forecast->find(unit);
  return found == forecast->end() ? std::nullopt : std::optional(found->second);
}

}  // namespace rudderloom
