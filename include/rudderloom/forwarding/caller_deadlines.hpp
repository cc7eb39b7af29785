/// @file
/// Learns how long the callers of each route wait, and from that how long a retried request has
/// already waited.
#ifndef RUDDERLOOM_FORWARDING_CALLER_DEADLINES_HPP
#define RUDDERLOOM_FORWARDING_CALLER_DEADLINES_HPP

#include <functional>  // for less
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string

#include "rudderloom/base/clock.hpp"          // for Duration, TimePoint
#include "rudderloom/routes/route_table.hpp"  // for RouteTable

namespace rudderloom {

/// @brief The remaining times that requests state, by route.
///
/// A client that is refused retries with a new id and its remaining time, so a request with clearly
/// less remaining time than is usual on its route has already been waiting. The usual time is the
/// longest one that at least a quarter of the recent requests state. Each refused client retries
/// once, so at least half of the requests are first attempts, and a few requests with very long
/// deadlines do not make all others look retried. Requests count half after `kDeadlineHalfLife`, so
/// that a changed deadline is learned.
///
/// Bounded by the routes of the configuration; time is passed in. Owned by the traffic thread.
/// @ingroup forwarding
class CallerDeadlines {
 public:
  /// @brief Returns how long the client has waited before this attempt, and records its remaining
  /// time. Zero if the difference is less than a tenth of the usual time, or if that is not known.
  /// @param remaining As the client states it; empty if it does not.
  Duration WaitedBefore(const std::string& route, std::optional<Duration> remaining, TimePoint now);

  /// @brief Returns the usual remaining time of first attempts; empty if too few requests stated
  /// one lately, or no length of time is usual.
  std::optional<Duration> UsualTime(const std::string& route, TimePoint now) const;

  /// @brief Drops routes that the configuration does not have.
  void Trim(const RouteTable& routes);

  /// @brief Number of routes with recorded times.
  std::size_t Size() const { return routes_.size(); }

 private:
  // Recent requests whose remaining times are nearly equal, as decaying sums.
  struct Group {
    double requests = 0.0;
    double milliseconds = 0.0;
  };
  struct Times {
    std::map<int, Group> groups;  // by the logarithm of the remaining time
    TimePoint decayed_at;
  };

  static double DecaySince(TimePoint then, TimePoint now);
  static void Decay(Times& times, TimePoint now);
  static std::optional<Duration> UsualOf(const Times& times, double decay);

  std::map<std::string, Times, std::less<>> routes_;
};

/// @brief Time after which a request counts half.
/// @ingroup forwarding
constexpr Duration kDeadlineHalfLife{4'000};

}  // namespace rudderloom

#endif
