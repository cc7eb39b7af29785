/// @file
/// Single requests that may run although a part of their prompt is quarantined.
#ifndef RUDDERLOOM_QUARANTINE_QUARANTINE_TRIALS_HPP
#define RUDDERLOOM_QUARANTINE_QUARANTINE_TRIALS_HPP

#include <map>  // for map

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/quarantine/crash_news.hpp"  // for QuarantineListPtr

namespace rudderloom {

/// @brief Schedules trials of quarantined parts. Does no I/O; time is passed in.
///
/// A part that was blamed by chance, as it came with the cause three times, can only be released by
/// a complete answer, and no request with it runs any more. Only the lease holder makes trials:
/// each trial of a cause costs an endpoint, so all nodes together must make few.
/// @ingroup quarantine
class QuarantineTrials {
 public:
  /// @brief Follows the list; called for each view.
  /// @param list Null if nothing is quarantined, or if this node does not hold the lease.
  void Follow(const QuarantineListPtr& list, TimePoint now);

  /// @brief Returns true if a request may run in which nothing else is quarantined. The next one
  /// may after a longer time.
  bool Take(const RequestDigest& part, TimePoint now);

 private:
  struct Schedule {
    TimePoint next_at;
    Duration pause{0};
  };

  std::map<RequestDigest, Schedule> parts_;
  QuarantineListPtr list_;
};

}  // namespace rudderloom

#endif
