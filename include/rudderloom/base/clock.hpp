/// @file
/// Time types and clocks. Decision code gets the time as an argument and never reads a clock.
#ifndef RUDDERLOOM_BASE_CLOCK_HPP
#define RUDDERLOOM_BASE_CLOCK_HPP

#include <chrono>   // for time_point, milliseconds
#include <cstdint>  // for int64_t

namespace rudderloom {

/// @brief A monotonic clock that keeps running while the machine is suspended.
///
/// Leases, grants and the validity of received data expire by the clocks of the nodes that issued
/// them. `steady_clock` stops during suspension: a lease holder suspended for 5 s would resume and
/// still consider its 2.5 s lease valid, and send orders concurrently with the next holder.
/// @ingroup base
struct SuspendAwareClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SuspendAwareClock>;
  // Name required by the standard. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// @brief A point in time; must not be compared between processes.
/// @ingroup base
using TimePoint = SuspendAwareClock::time_point;

/// @brief Duration in milliseconds, used by all settings and decisions.
/// @ingroup base
using Duration = std::chrono::milliseconds;

/// @brief Returns the current time. Called only by I/O code; decision code gets it as an argument.
/// @ingroup base
inline TimePoint Now() {
  return SuspendAwareClock::now();
}

/// @brief Returns the wall clock time in seconds since 1970 UTC, for calendar times in
/// declarations.
/// @ingroup base
inline std::int64_t UnixSeconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

/// @brief Returns the whole milliseconds from `from` to `to`; negative when `to` is earlier.
/// @ingroup base
inline Duration Between(TimePoint from, TimePoint to) {
  return std::chrono::duration_cast<Duration>(to - from);
}

}  // namespace rudderloom

#endif
