/// @file
/// Detects on one node whether connections failed because their endpoint crashed.
#ifndef RUDDERLOOM_QUARANTINE_CRASH_WATCH_HPP
#define RUDDERLOOM_QUARANTINE_CRASH_WATCH_HPP

#include <deque>   // for deque
#include <map>     // for map
#include <set>     // for set
#include <string>  // for string

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

/// @brief Timeout of the probe whether an endpoint still listens. A machine that is up answers
/// within some milliseconds.
/// @ingroup quarantine
constexpr Duration kProbeTimeout{200};

/// @brief Maximum time between an endpoint's first connection failure and the answer that no
/// process listens, in either order. All connections of a process fail as it exits; it, or a proxy
/// in front of it, may listen for a while longer.
/// @ingroup quarantine
constexpr Duration kCrashWindow{1'500};

/// @brief Collects the requests that were in flight on an endpoint when its process crashed. Does
/// no I/O; time is passed in.
///
/// A failed connection alone proves nothing: resets, faulty answers and overloaded endpoints cause
/// it too. An endpoint has crashed if, at about the same time, its machine answers that no process
/// listens at the address. A machine that doesn't answer at all has lost power or its link, usually
/// along with others, which no request causes. A crash does not count against requests that were
/// sent after the endpoint's first connection failure, nor against requests and prompt parts that
/// this node has recently seen answered completely: one that many callers send is in flight in
/// every crash.
/// @ingroup quarantine
class CrashWatch {
 public:
  /// @brief Records that a connection to the endpoint failed during a request.
  /// @return True if the endpoint should be probed for `kCrashWindow`; once for many requests.
  bool RecordFailure(const std::string& instance,
                     const RequestDigests& request,
                     TimePoint sent_at,
                     TimePoint now);

  /// @brief Records that no process listens at the endpoint's address.
  void Ended(const std::string& instance, TimePoint now);

  /// @brief Records that an endpoint has answered the request completely.
  /// @param list The fleet's suspect and quarantined requests; null if there are none.
  void Answered(const RequestDigests& request, const QuarantineListPtr& list, TimePoint now);

  /// @brief Clears what a new list holds against something that this node has recently seen
  /// answered completely. Nodes that have not may have reported it.
  void Review(const QuarantineList& list, TimePoint now);

  /// @brief Records that an operator has cleared the request.
  void Cleared(const RequestDigest& request) { news_.cleared.insert(request); }

  /// @brief Returns true if there is something to report.
  bool HasObservations() const { return !news_.Empty(); }

  /// @brief Returns the observations since the last call.
  CrashNews Take();

  /// @brief Removes expired state.
  void Trim(TimePoint now);

 private:
  // Created at an endpoint's first connection failure; expires after a while.
  struct Endpoint {
    TimePoint first_failure_at;
    RequestDigests suspects;  // of the requests that failed
    bool crashed = false;
  };

  void AddCrashes(const RequestDigests& suspects, const std::string& instance);
  void RememberAnswered(const RequestDigest& request, TimePoint now);
  bool RecentlyAnswered(const RequestDigest& request, TimePoint now) const;

  std::map<std::string, Endpoint> endpoints_;    // by instance
  std::map<RequestDigest, TimePoint> answered_;  // when it last was
  std::deque<RequestDigest> answered_order_;     // in the order in which they were added
  CrashNews news_;
};

}  // namespace rudderloom

#endif
