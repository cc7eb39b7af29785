#include "rudderloom/placement/load_forecast.hpp"

#include <algorithm>  // for min, equal

namespace rudderloom {

namespace {

constexpr Duration kTolerance{40};
constexpr std::uint32_t kCountTolerance = 3;

bool WithinTolerance(const ExpectedLoad& left, const ExpectedLoad& right) {
  return left.ends_at - right.ends_at <= kTolerance && right.ends_at - left.ends_at <= kTolerance &&
         left.waiting <= right.waiting + kCountTolerance &&
         right.waiting <= left.waiting + kCountTolerance;
}

}  // namespace

void AddExpected(LoadForecast& forecast, const UnitName& unit, TimePoint ends_at) {
  ExpectedLoad& load = forecast.try_emplace(unit, ExpectedLoad{ends_at, 0}).first->second;
  load.ends_at = std::min(load.ends_at, ends_at);
}

bool NearlyEqual(const LoadForecast& left, const LoadForecast& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const auto& one, const auto& other) {
                      return one.first == other.first && WithinTolerance(one.second, other.second);
                    });
}

LoadsDue LoadsDueFrom(const LoadForecast& forecast, TimePoint made_at) {
  LoadsDue due;
  for (const auto& [unit, load] : forecast) {
    due[unit] = {Between(made_at, load.ends_at), load.waiting};
  }
  return due;
}

LoadForecast ForecastFrom(const LoadsDue& due, TimePoint made_at) {
  LoadForecast forecast;
  for (const auto& [unit, load] : due) {
    forecast[unit] = {made_at + load.time_left, load.waiting};
  }
  return forecast;
}

std::optional<ExpectedLoad> FindExpected(const LoadForecastPtr& forecast, const UnitName& unit) {
  if (!forecast) {
    return std::nullopt;
  }
  const auto found = forecast->find(unit);
  return found == forecast->end() ? std::nullopt : std::optional(found->second);
}

}  // namespace rudderloom
