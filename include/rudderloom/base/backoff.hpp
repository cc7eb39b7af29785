/// @file
/// Jittered exponential backoff, so that many processes do not retry at the same moment.
#ifndef RUDDERLOOM_BASE_BACKOFF_HPP
#define RUDDERLOOM_BASE_BACKOFF_HPP

#include <algorithm>  // for min
#include <random>     // for mt19937_64, uniform_int_distribution

#include "rudderloom/base/clock.hpp"  // for Duration

namespace rudderloom {

/// @brief Generates growing pauses, each drawn uniformly from half to the whole of its step.
/// @ingroup base
class Backoff {
 public:
  Backoff(Duration min, Duration max, std::uint64_t seed)
      : min_(min), max_(max), step_(min), random_(seed) {}

  /// @brief Returns the next pause and doubles the step, up to the maximum.
  Duration Next() {
    std::uniform_int_distribution<Duration::rep> distribution(step_.count() / 2, step_.count());
    const Duration pause(distribution(random_));
    step_ = std::min(max_, step_ * 2);
    return pause;
  }

  /// @brief Returns to the shortest step; called after a success.
  void Reset() { step_ = min_; }

 private:
  Duration min_;
  Duration max_;
  Duration step_;
  std::mt19937_64 random_;
};

}  // namespace rudderloom

#endif
