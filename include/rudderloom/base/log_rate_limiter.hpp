/// @file
/// Limits the number of log lines of one kind per second.
#ifndef RUDDERLOOM_BASE_LOG_RATE_LIMITER_HPP
#define RUDDERLOOM_BASE_LOG_RATE_LIMITER_HPP

#include <cstdint>  // for uint64_t

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Allows a number of lines per one-second window and counts the excess. Performs no I/O.
/// @ingroup base
class LogRateLimiter {
 public:
  explicit LogRateLimiter(std::uint64_t lines_per_second) : limit_(lines_per_second) {}

  /// @brief True when one more line may be written now.
  bool Allows(TimePoint now) {
    constexpr Duration kWindow{1'000};
    if (now - window_start_ >= kWindow) {
      window_start_ = now;
      used_ = 0;
    }
    if (used_ < limit_) {
      ++used_;
      return true;
    }
    ++dropped_;
    return false;
  }

  /// @brief Returns the number of lines dropped since the last call.
  std::uint64_t TakeDropped() {
    const std::uint64_t dropped = dropped_;
    dropped_ = 0;
    return dropped;
  }

 private:
  std::uint64_t limit_;
  TimePoint window_start_;
  std::uint64_t used_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace rudderloom

#endif
