/// @file
/// News of crashes on their way to the holder of the lease.
#ifndef RUDDERLOOM_QUARANTINE_NEWS_LOG_HPP
#define RUDDERLOOM_QUARANTINE_NEWS_LOG_HPP

#include <deque>  // for deque

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

/// @brief Keeps news for as long as they are to be told with each report, so that they also reach a
/// holder that takes the lease in the meantime. Pure; time is passed in.
/// @ingroup quarantine
class NewsLog {
 public:
  /// @brief Takes news; false when all of them are being told already.
  bool Add(const CrashNews& news, TimePoint now);

  /// @brief Everything that is to be told now.
  CrashNews Current(TimePoint now);

 private:
  struct Told {
    CrashNews news;
    TimePoint since;
  };

  std::deque<Told> told_;
};

}  // namespace rudderloom

#endif
