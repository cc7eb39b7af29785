/// @file
/// Measures how late the control thread handles its timer ticks.
#ifndef RUDDERLOOM_FLEET_CONTROL_LAG_HPP
#define RUDDERLOOM_FLEET_CONTROL_LAG_HPP

#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Detects a shortage of processor time from the delay with which timer ticks are handled: a
/// tick waits for the processor and behind all messages queued before it. Pure: time is passed in.
/// @ingroup fleet
class ControlLag {
 public:
  /// @brief Records a handled tick. Ticks must be passed in the order in which they were due.
  void RecordTick(TimePoint due, TimePoint now);

  /// @brief Returns the mean lag of the ticks of the last seconds.
  Duration Mean() const;

  /// @brief Returns true when the lag is sustained rather than momentary, so that every decision
  /// rests on outdated data.
  bool Overloaded() const;

 private:
  double mean_milliseconds_ = 0.0;
  std::optional<TimePoint> last_due_;
};

}  // namespace rudderloom

#endif
