/// @file
/// Which requests crash the endpoints that run them, over all nodes.
#ifndef RUDDERLOOM_QUARANTINE_CRASH_BOOK_HPP
#define RUDDERLOOM_QUARANTINE_CRASH_BOOK_HPP

#include <map>  // for map
#include <set>  // for set

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

/// @brief Endpoints that must end under a request before it is held back. The least number that an
/// innocent request rarely meets: it is tried two to four times by its node and its client
/// together.
/// @ingroup quarantine
inline constexpr std::size_t kCrashesToQuarantine = 3;

/// @brief Counts endpoints that ended under each request, and quarantines requests that end them.
/// Pure; time is passed in.
///
/// One endpoint's end makes all requests that it ran suspects, and one of them the cause. Those
/// under which most endpoints have ended are taken for causes first, and explain these ends; what
/// is left unexplained counts against the others. So the order in which news come matters to
/// nobody, and a request that was beside the cause three times is let go once the cause has met a
/// fourth end. One that any endpoint has answered whole is no suspect any more. The holder of the
/// lease keeps the book that counts; every other node has its last word of it and adds what it has
/// seen itself.
/// @ingroup quarantine
class CrashBook {
 public:
  /// @brief Takes what a node has seen; true when that changed the book.
  bool Take(const CrashNews& news, TimePoint now);

  /// @brief Replaces everything by the holder's word; true when that changed the book.
  bool Replace(const std::vector<SuspectEntry>& entries, TimePoint now);

  /// @brief Takes in what was in quarantine under an earlier holder.
  void Restore(const std::set<RequestDigest>& quarantined, TimePoint now);

  /// @brief Forgets what is long over; true when that changed the book.
  bool Expire(TimePoint now);

  /// @brief What other nodes are told. At most `kMostTold` entries, the latest first.
  std::vector<SuspectEntry> Told(TimePoint now) const;

  /// @brief The same for traffic.
  QuarantineList List() const;

  /// @brief Requests in quarantine, the latest `most` of them.
  std::set<RequestDigest> Quarantined(std::size_t most) const;

  bool Empty() const { return suspects_.empty(); }

 private:
  struct Suspect {
    std::set<EndpointKey> endpoints;
    TimePoint last_end;
    bool quarantined = false;
    bool held_before = false;
    std::size_t unexplained = 0;  // ends that no other request in quarantine explains

    std::size_t Needed() const { return held_before ? 1 : kCrashesToQuarantine; }
    // One more end could bring it into quarantine. Besides these, only the holder keeps any.
    bool Close() const { return !quarantined && unexplained + 1 >= Needed(); }
  };
  using Entry = std::pair<const RequestDigest, Suspect>;

  bool Clear(const RequestDigest& request, TimePoint now);
  bool Add(const RequestCrash& crash, TimePoint now);
  void Settle();
  std::size_t MostUnexplained(const std::set<EndpointKey>& explained);
  void MakeRoom();
  std::vector<const Entry*> LatestTold(std::size_t most) const;

  std::map<RequestDigest, Suspect> suspects_;
  std::map<RequestCrash, TimePoint> cleared_;  // told again for a while: they count no more
};

}  // namespace rudderloom

#endif
