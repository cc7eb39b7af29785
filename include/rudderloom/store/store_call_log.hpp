/// @file
/// Logs how many calls a node makes to the store.
#ifndef RUDDERLOOM_STORE_STORE_CALL_LOG_HPP
#define RUDDERLOOM_STORE_STORE_CALL_LOG_HPP

#include <cstdint>      // for uint64_t
#include <map>          // for map
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Counts calls by verb and kind, and logs them as a `store_calls` line every few seconds
/// while calls are made. Calls are charged individually. The log lines of all nodes can be added up
/// to find the causes of high call rates, which only show in the fleet as a whole.
/// @ingroup store
class StoreCallLog {
 public:
  /// @brief Counts a completed call.
  void Count(std::string_view verb, std::string_view kind, TimePoint now);

 private:
  void Log();

  std::map<std::string, std::uint64_t> calls_;  // by verb and kind, since the last log line
  TimePoint logged_at_;
};

}  // namespace rudderloom

#endif
