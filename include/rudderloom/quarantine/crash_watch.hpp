/// @file
/// Tells connections that broke because their endpoint ended from all others, at one node.
#ifndef RUDDERLOOM_QUARANTINE_CRASH_WATCH_HPP
#define RUDDERLOOM_QUARANTINE_CRASH_WATCH_HPP

#include <deque>     // for deque
#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

/// @brief How long an endpoint's machine may take to answer whether the endpoint still listens. One
/// that is there takes some milliseconds.
/// @ingroup quarantine
constexpr Duration kListeningAnswer{200};

/// @brief Collects which requests were under way at an endpoint when its process ended. Pure; time
/// is passed in.
///
/// A broken connection alone says nothing: resets, faulty answers and full endpoints break them
/// too. An endpoint has ended when, about then, its machine answers that no process listens at its
/// address. A machine that doesn't answer at all has lost its power or its link, together with
/// others, and nothing of that is a request's doing. Nor is an end counted against a request that
/// was sent after the endpoint's first connection broke, or that this node has lately seen answered
/// whole: one that many callers send alike shares the end of every endpoint.
/// @ingroup quarantine
class CrashWatch {
 public:
  /// @brief The endpoint's connection broke under a request.
  /// @return True when it should be asked whether it still listens; once for many requests.
  bool Broke(const std::string& instance,
             const RequestDigest& request,
             TimePoint sent_at,
             TimePoint now);

  /// @brief No process listens at the endpoint's address.
  void Ended(const std::string& instance, TimePoint now);

  /// @brief An endpoint has answered the request whole.
  /// @param list What the fleet holds against requests; null: nothing.
  void Answered(const RequestDigest& request, const QuarantineListPtr& list);

  /// @brief An operator lets the request go.
  void Cleared(const RequestDigest& request) { news_.cleared.insert(request); }

  /// @brief True when there is something to tell.
  bool HasNews() const { return !news_.Empty(); }

  /// @brief What has been seen since the last call.
  CrashNews Take();

  /// @brief Forgets what is over.
  void Trim(TimePoint now);

 private:
  // Since the first of its connections broke; forgotten after a while.
  struct Endpoint {
    TimePoint first_broke_at;
    std::vector<RequestDigest> broke;
    bool ended = false;
    std::optional<TimePoint> asked_at;
  };

  bool Survived(const RequestDigest& request) const { return answered_.contains(request); }

  std::map<std::string, Endpoint> endpoints_;  // by instance
  std::set<RequestDigest> answered_;           // lately
  std::deque<RequestDigest> answered_order_;   // the oldest first
  CrashNews news_;
};

}  // namespace rudderloom

#endif
