#include "rudderloom/base/clock.hpp"

#include <ctime>  // for clock_gettime

namespace rudderloom {

SuspendAwareClock::time_point SuspendAwareClock::now() noexcept {
  timespec since_boot{};
  clock_gettime(CLOCK_BOOTTIME, &since_boot);
  return time_point(std::chrono::seconds(since_boot.tv_sec) +
                    std::chrono::nanoseconds(since_boot.tv_nsec));
}

}  // namespace rudderloom
