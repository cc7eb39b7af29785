/// @file
/// Time of the last contact with the platform or a peer. Lock-free, for use by any thread.
#ifndef RUDDERLOOM_CONTROL_CONTACT_HPP
#define RUDDERLOOM_CONTROL_CONTACT_HPP

#include <atomic>  // for atomic

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Detects that this node is isolated and may have missed a newer configuration.
/// The age of the last contact is computed on each call, so a process that was suspended detects
/// this on its first call after it resumes.
/// @ingroup control
class ContactMonitor {
 public:
  /// @brief Records that the platform or a peer has responded.
  void RecordContact(TimePoint now) { last_contact_.store(now.time_since_epoch().count()); }

  /// @brief Sets whether other entry nodes are known, which may have a newer configuration.
  void SetPeersKnown(bool known) { peers_known_.store(known); }

  /// @brief Returns true if other nodes are known and the last contact is older than `limit`.
  bool IsStale(TimePoint now, Duration limit) const {
    return peers_known_.load() && TimeSinceContact(now) > limit;
  }

  /// @brief Returns the time since the last contact.
  Duration TimeSinceContact(TimePoint now) const {
    const TimePoint last_contact{TimePoint::duration(last_contact_.load())};
    return Between(last_contact, now);
  }

 private:
  std::atomic<TimePoint::rep> last_contact_{0};
  std::atomic<bool> peers_known_{false};
};

}  // namespace rudderloom

#endif
