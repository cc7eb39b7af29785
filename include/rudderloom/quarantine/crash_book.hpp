/// @file
/// Fleet-wide detection of requests that crash endpoints.
#ifndef RUDDERLOOM_QUARANTINE_CRASH_BOOK_HPP
#define RUDDERLOOM_QUARANTINE_CRASH_BOOK_HPP

#include <map>  // for map
#include <set>  // for set

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

/// @brief Number of endpoint crashes after which a request is quarantined. This is the lowest
/// number that a harmless request rarely reaches: node and client together try it two to four
/// times.
/// @ingroup quarantine
inline constexpr std::size_t kCrashesToQuarantine = 3;

/// @brief Counts endpoint crashes per request and quarantines the requests that cause them. Does no
/// I/O; time is passed in.
///
/// When an endpoint crashes, all requests that it ran become suspects, one of them the cause. The
/// suspects with the most crashes are considered causes first, and explain their crashes. Only
/// unexplained crashes count against the others. The result thus does not depend on the order of
/// the reports, and a request that ran beside the cause in three crashes is released after the
/// cause's fourth crash. A request that any endpoint has answered completely is no suspect any
/// more. The lease holder's book is authoritative; all other nodes have a copy, to which they add
/// their own observations.
/// @ingroup quarantine
class CrashBook {
 public:
  /// @brief Adds the observations of a node; returns true if the book changed.
  bool Take(const CrashNews& news, TimePoint now);

  /// @brief Replaces the contents by the holder's entries; returns true if the book changed.
  bool Replace(const std::vector<SuspectEntry>& entries, TimePoint now);

  /// @brief Restores the requests that were quarantined under an earlier holder.
  void Restore(const std::set<RequestDigest>& quarantined, TimePoint now);

  /// @brief Removes expired entries; returns true if the book changed.
  bool Expire(TimePoint now);

  /// @brief Returns the entries for other nodes: at most `kMaxPublished`, the latest first.
  std::vector<SuspectEntry> PublishedEntries(TimePoint now) const;

  /// @brief Returns the same entries for the traffic thread.
  QuarantineList List() const;

  /// @brief Returns the latest `max_count` quarantined requests.
  std::set<RequestDigest> Quarantined(std::size_t max_count) const;

  bool Empty() const { return suspects_.empty(); }

 private:
  struct Suspect {
    std::set<EndpointKey> endpoints;
    TimePoint last_crash_at;
    bool quarantined = false;
    bool quarantined_before = false;
    std::size_t unexplained = 0;  // crashes not explained by another quarantined request

    std::size_t Threshold() const { return quarantined_before ? 1 : kCrashesToQuarantine; }
    // One more crash could quarantine it. Only the holder has suspects with fewer crashes.
    bool NearThreshold() const { return !quarantined && unexplained + 1 >= Threshold(); }
  };
  using Entry = std::pair<const RequestDigest, Suspect>;

  bool Clear(const RequestDigest& request, TimePoint now);
  bool Add(const RequestCrash& crash, TimePoint now);
  void UpdateQuarantine();
  std::size_t MaxUnexplained(const std::set<EndpointKey>& explained);
  void EvictSuspects();
  std::vector<const Entry*> LatestEntries(std::size_t max_count) const;

  std::map<RequestDigest, Suspect> suspects_;
  std::map<RequestCrash, TimePoint> cleared_;  // still reported for a while, but ignored
};

}  // namespace rudderloom

#endif
