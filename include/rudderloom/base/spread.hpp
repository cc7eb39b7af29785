/// @file
/// A number of each node's own, for doing at different times what all would do at once.
#ifndef RUDDERLOOM_BASE_SPREAD_HPP
#define RUDDERLOOM_BASE_SPREAD_HPP

#include <functional>   // for hash
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief From 0 to 1, evenly over names; always the same for one name.
/// @ingroup base
inline double SpreadOf(std::string_view name) {
  constexpr std::size_t kSteps = 1'000;
  return static_cast<double>(std::hash<std::string_view>{}(name) % kSteps) / kSteps;
}

}  // namespace rudderloom

#endif
