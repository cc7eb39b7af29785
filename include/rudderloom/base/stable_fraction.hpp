/// @file
/// A stable number per name, used to spread the actions of many nodes over time.
#ifndef RUDDERLOOM_BASE_STABLE_FRACTION_HPP
#define RUDDERLOOM_BASE_STABLE_FRACTION_HPP

#include <functional>   // for hash
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Maps a name to a number from 0 to below 1; evenly distributed, the same for equal names.
/// @ingroup base
inline double StableFraction(std::string_view name) {
  constexpr std::size_t kSteps = 1'000;
  return static_cast<double>(std::hash<std::string_view>{}(name) % kSteps) / kSteps;
}

}  // namespace rudderloom

#endif
