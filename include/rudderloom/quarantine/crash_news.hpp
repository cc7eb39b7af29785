/// @file
/// Crash reports that nodes exchange about requests and endpoints.
#ifndef RUDDERLOOM_QUARANTINE_CRASH_NEWS_HPP
#define RUDDERLOOM_QUARANTINE_CRASH_NEWS_HPP

#include <cstdint>  // for uint64_t
#include <memory>   // for shared_ptr
#include <set>      // for set
#include <vector>   // for vector

#include "rudderloom/base/clock.hpp"                 // for Duration
#include "rudderloom/fleet/endpoint_key.hpp"         // for EndpointKey
#include "rudderloom/quarantine/request_digest.hpp"  // for RequestDigest

namespace rudderloom {

/// @brief A request that was in flight on an endpoint when its process crashed; not necessarily the
/// cause.
/// @ingroup quarantine
struct RequestCrash {
  RequestDigest request;
  EndpointKey endpoint = 0;  ///< One incarnation of it.
  bool operator==(const RequestCrash&) const = default;
  bool operator<(const RequestCrash& other) const {
    return endpoint != other.endpoint ? endpoint < other.endpoint : request < other.request;
  }
};

/// @brief Recent observations of a node or a group of nodes. Processing them is idempotent.
/// @ingroup quarantine
struct CrashNews {
  std::set<RequestCrash> crashes;
  std::set<RequestDigest>
      cleared;  ///< Answered completely by an endpoint, or cleared by an operator.

  bool Empty() const { return crashes.empty() && cleared.empty(); }
  bool operator==(const CrashNews&) const = default;
};

/// @brief Adds earlier reports to newer ones, up to the maximum size of one message.
/// @ingroup quarantine
void MergeNews(const CrashNews& earlier, CrashNews& newer);

/// @brief The lease holder's record of one suspect request.
/// @ingroup quarantine
struct SuspectEntry {
  RequestDigest request;
  std::set<EndpointKey> endpoints;  ///< Endpoints that crashed while running it.
  bool quarantined_before = false;  ///< Quarantined now, or until another request explained it.
  Duration age{0};                  ///< Since the last of these crashes.
  bool operator==(const SuspectEntry&) const = default;
};

/// @brief The holder's list as sent to other nodes: quarantined requests, and those that one more
/// crash could quarantine.
/// @ingroup quarantine
struct QuarantineTable {
  std::uint64_t version = 0;  ///< Changes with the entries; 0 if there are none.
  std::vector<SuspectEntry> entries;
};

/// @brief The same list for lookups by the traffic thread.
/// @ingroup quarantine
struct QuarantineList {
  std::set<RequestDigest> quarantined;  ///< Not sent to any endpoint.
  std::set<RequestDigest> suspects;     ///< Not retried by nodes.

  bool Empty() const { return quarantined.empty() && suspects.empty(); }
  bool operator==(const QuarantineList&) const = default;
};

/// @brief Null if empty. Immutable once published.
/// @ingroup quarantine
using QuarantineListPtr = std::shared_ptr<const QuarantineList>;

}  // namespace rudderloom

#endif
