/// @file
/// Crash observations that are being reported to the lease holder.
#ifndef RUDDERLOOM_QUARANTINE_CRASH_NEWS_LOG_HPP
#define RUDDERLOOM_QUARANTINE_CRASH_NEWS_LOG_HPP

#include <deque>  // for deque

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

/// @brief Keeps observations while they are repeated in each report, so that they also reach a
/// holder that acquires the lease in the meantime. Does no I/O; time is passed in.
/// @ingroup quarantine
class CrashNewsLog {
 public:
  /// @brief Adds observations; returns false if all of them are already being reported.
  bool Add(const CrashNews& news, TimePoint now);

  /// @brief Returns everything to report at `now`.
  CrashNews Current(TimePoint now);

 private:
  struct Entry {
    CrashNews news;
    TimePoint since;
  };

  std::deque<Entry> entries_;
};

}  // namespace rudderloom

#endif
