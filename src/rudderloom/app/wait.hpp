// Blocking waits of the main thread.
#ifndef RUDDERLOOM_APP_WAIT_HPP
#define RUDDERLOOM_APP_WAIT_HPP

#include <algorithm>  // for max, min

#include "rudderloom/base/clock.hpp"  // for Duration, TimePoint

namespace rudderloom {

constexpr Duration kWaitInterval{20};

// Blocks the calling thread.
void BlockFor(Duration pause);

// Blocks the calling thread until the condition holds or the deadline has passed.
template <class Condition>
void BlockUntil(TimePoint deadline, Condition condition) {
  while (!condition() && Now() < deadline) {
    BlockFor(std::min(kWaitInterval, std::max(Duration(0), Between(Now(), deadline))));
  }
}

}  // namespace rudderloom

#endif
