/// @file
/// Limits the rate of loads from the weight store to the deployment's maximum.
#ifndef RUDDERLOOM_PLACEMENT_LOAD_PACER_HPP
#define RUDDERLOOM_PLACEMENT_LOAD_PACER_HPP

#include <deque>  // for deque

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Purpose of a load.
/// @ingroup placement
enum class LoadClass {
  kRequested,    ///< The model is being requested now.
  kSpeculative,  ///< It is not being requested; such loads may use only part of the window.
};

/// @brief Counts load starts in a sliding window. Pure; time is passed in. A load whose order was
/// not answered may start later, so it is counted again until its outcome is known.
/// @ingroup placement
class LoadPacer {
 public:
  LoadPacer(Duration window, double overshoot) : window_(window), overshoot_(overshoot) {}

  /// @brief Counts load starts that a former holder may have made.
  void AssumeStarted(std::size_t count, TimePoint at);

  /// @brief Returns true if one more load may start now, in addition to `pending` loads that are
  /// about to start.
  bool MayStart(double loads_per_second,
                std::size_t pending,
                LoadClass load_class,
                TimePoint now) const;

  void Started(TimePoint now);

 private:
  Duration window_;
  double overshoot_;
  std::deque<TimePoint> starts_;
};

}  // namespace rudderloom

#endif
