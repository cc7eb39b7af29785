/// @file
/// Tells connections that broke because their endpoint ended from all others, at one node.
#ifndef RUDDERLOOM_QUARANTINE_CRASH_WATCH_HPP
#define RUDDERLOOM_QUARANTINE_CRASH_WATCH_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

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
/// others, and nothing of that is a request's doing.
/// @ingroup quarantine
class CrashWatch {
 public:
  /// @brief The endpoint's connection broke under a request.
  /// @return True when it should be asked whether it still listens; once for many requests.
  bool Broke(const std::string& instance, const RequestDigest& request, TimePoint now);

  /// @brief No process listens at the endpoint's address.
  void Ended(const std::string& instance, TimePoint now);

  /// @brief An endpoint has answered the request whole, or an operator lets it go.
  void Cleared(const RequestDigest& request) { news_.cleared.insert(request); }

  /// @brief True when there is something to tell.
  bool HasNews() const { return !news_.Empty(); }

  /// @brief What has been seen since the last call.
  CrashNews Take();

  /// @brief Forgets what is over.
  void Trim(TimePoint now);

 private:
  struct Break {
    RequestDigest request;
    TimePoint at;
  };
  struct Endpoint {
    std::vector<Break> breaks;
    TimePoint ended_at;
    TimePoint asked_at;
  };

  std::map<std::string, Endpoint> endpoints_;  // by instance
  CrashNews news_;
};

}  // namespace rudderloom

#endif
