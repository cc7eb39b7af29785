/// @file
/// Jittered exponential backoff, so that many processes don't come back at one moment.
#ifndef RUDDERLOOM_BASE_BACKOFF_HPP
#define RUDDERLOOM_BASE_BACKOFF_HPP

#include <algorithm>  // for min
#include <random>     // for mt19937_64, uniform_int_distribution

#include "rudderloom/base/clock.hpp"  // for Duration

namespace rudderloom {

/// @brief Gives ever longer pauses, each drawn evenly from half to the whole of its step.
/// @ingroup base
class Backoff {
 public:
  Backoff(Duration least, Duration most, std::uint64_t seed)
      : least_(least), most_(most), step_(least), random_(seed) {}

  /// @brief The next pause.
  Duration Next() {
    std::uniform_int_distribution<Duration::rep> spread(step_.count() / 2, step_.count());
    const Duration pause(spread(random_));
    step_ = std::min(most_, step_ * 2);
    return pause;
  }

  /// @brief Starts again at the shortest pause, after a success.
  void Reset() { step_ = least_; }

 private:
  Duration least_;
  Duration most_;
  Duration step_;
  std::mt19937_64 random_;
};

}  // namespace rudderloom

#endif
