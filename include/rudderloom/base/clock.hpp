/// @file
/// Time as the decision code sees it: always passed in, never read.
#ifndef RUDDERLOOM_BASE_CLOCK_HPP
#define RUDDERLOOM_BASE_CLOCK_HPP

#include <chrono>   // for steady_clock, milliseconds
#include <cstdint>  // for int64_t

namespace rudderloom {

/// @brief A monotonic moment of this process; never compared between processes.
/// @ingroup base
using TimePoint = std::chrono::steady_clock::time_point;

/// @brief Length of time used by all settings and decisions, in milliseconds.
/// @ingroup base
using Duration = std::chrono::milliseconds;

/// @brief The present moment. Only shells call this; decisions take it as an argument.
/// @ingroup base
inline TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// @brief Wall clock, in seconds since 1970 UTC, for what operators declare by the calendar.
/// @ingroup base
inline std::int64_t UnixSeconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

/// @brief Whole milliseconds from `from` to `to`; negative when `to` is earlier.
/// @ingroup base
inline Duration Between(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<Duration>(to - from);
}

}  // namespace rudderloom

#endif
