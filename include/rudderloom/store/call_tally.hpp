/// @file
/// Tells in the log which calls a node makes to the store.
#ifndef RUDDERLOOM_STORE_CALL_TALLY_HPP
#define RUDDERLOOM_STORE_CALL_TALLY_HPP

#include <cstdint>      // for uint64_t
#include <map>          // for map
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Counts calls by verb and kind, and logs one `store_calls` line for each few seconds in
/// which there were any. Each call has its price, and what makes many of them is seen only over the
/// whole fleet: the lines of all nodes add up to that.
/// @ingroup store
class CallTally {
 public:
  /// @brief Takes one call, when it ends.
  void Count(std::string_view verb, std::string_view kind, TimePoint now);

 private:
  void Log();

  std::map<std::string, std::uint64_t> calls_;  // by verb and kind, since the last line
  TimePoint logged_at_;
};

}  // namespace rudderloom

#endif
