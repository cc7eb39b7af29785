/// @file
/// How late the control thread does its work.
#ifndef RUDDERLOOM_FLEET_CONTROL_LAG_HPP
#define RUDDERLOOM_FLEET_CONTROL_LAG_HPP

#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Tells whether this process has the processor time for what it does, from how late its
/// timer's ticks are handled: a tick waits for the processor and behind all messages before it.
/// Pure: time is passed in.
/// @ingroup fleet
class ControlLag {
 public:
  /// @brief A tick is handled. Ticks come in the order in which they were due.
  void Handled(TimePoint due, TimePoint now);

  /// @brief The mean lag of the ticks of the last seconds.
  Duration Mean() const;

  /// @brief The work is late all the time, not only for a moment: each decision is by now too old.
  bool Overloaded() const;

 private:
  double mean_milliseconds_ = 0.0;
  std::optional<TimePoint> last_due_;
};

}  // namespace rudderloom

#endif
