/// @file
/// When this process last heard from the platform or a peer; read by every thread without locks.
#ifndef RUDDERLOOM_CONTROL_CONTACT_HPP
#define RUDDERLOOM_CONTROL_CONTACT_HPP

#include <atomic>  // for atomic

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Tells whether the configuration in force may have been overtaken unnoticed.
/// A process that was frozen sees at its first look that its contact is old.
/// @ingroup control
class Contact {
 public:
  /// @brief The platform or a peer answered just now.
  void Heard(TimePoint now) { heard_.store(now.time_since_epoch().count()); }

  /// @brief Other entry nodes are known, so that one of them may know more.
  void SetPeersKnown(bool known) { peers_known_.store(known); }

  /// @brief True when nothing was heard for longer than `limit` although others are there.
  bool Lost(TimePoint now, Duration limit) const {
    return peers_known_.load() && Silence(now) > limit;
  }

  /// @brief Time since something was heard.
  Duration Silence(TimePoint now) const {
    const TimePoint heard{TimePoint::duration(heard_.load())};
    return Between(heard, now);
  }

 private:
  std::atomic<TimePoint::rep> heard_{0};
  std::atomic<bool> peers_known_{false};
};

}  // namespace rudderloom

#endif
