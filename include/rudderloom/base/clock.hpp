/// @file
/// Time as the decision code sees it: always passed in, never read.
#ifndef RUDDERLOOM_BASE_CLOCK_HPP
#define RUDDERLOOM_BASE_CLOCK_HPP

#include <chrono>   // for time_point, milliseconds
#include <cstdint>  // for int64_t

namespace rudderloom {

/// @brief Never goes back, and goes on while the machine is suspended.
///
/// Leases, grants and the age of what others told end by the clocks of those who gave them. By
/// `steady_clock`, which stands still meanwhile, a holder of the lease that was suspended for 5 s
/// would take its lease of 2.5 s for valid as it wakes, and send orders beside the next holder.
/// @ingroup base
struct SuspendAwareClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SuspendAwareClock>;
  // The standard's name. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// @brief A moment of this process; never compared between processes.
/// @ingroup base
using TimePoint = SuspendAwareClock::time_point;

/// @brief Length of time used by all settings and decisions, in milliseconds.
/// @ingroup base
using Duration = std::chrono::milliseconds;

/// @brief The present moment. Only shells call this; decisions take it as an argument.
/// @ingroup base
inline TimePoint Now() {
  return SuspendAwareClock::now();
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
