/// @file
/// What nodes tell each other of requests under which endpoints have ended.
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

/// @brief A request was under way at an endpoint whose process ended. It need not be the cause.
/// @ingroup quarantine
struct RequestCrash {
  RequestDigest request;
  EndpointKey endpoint = 0;  ///< One life of it.
  bool operator==(const RequestCrash&) const = default;
  bool operator<(const RequestCrash& other) const {
    return endpoint != other.endpoint ? endpoint < other.endpoint : request < other.request;
  }
};

/// @brief What a node, or a group of nodes, has lately seen. Telling it twice changes nothing.
/// @ingroup quarantine
struct CrashNews {
  std::set<RequestCrash> crashes;
  std::set<RequestDigest> cleared;  ///< Answered whole by an endpoint, or cleared by an operator.

  bool Empty() const { return crashes.empty() && cleared.empty(); }
  bool operator==(const CrashNews&) const = default;
};

/// @brief Adds earlier news to newer ones, up to what one report may carry.
/// @ingroup quarantine
void AddNews(const CrashNews& earlier, CrashNews& newer);

/// @brief What the holder of the lease knows of one request.
/// @ingroup quarantine
struct SuspectEntry {
  RequestDigest request;
  std::set<EndpointKey> endpoints;  ///< That ended under it.
  bool held_before = false;  ///< It is in quarantine, or has been until another one explained it.
  Duration age{0};           ///< Since the last of them ended.
  bool operator==(const SuspectEntry&) const = default;
};

/// @brief The holder's list as other nodes hear it: requests in quarantine, and those that one more
/// end could bring there.
/// @ingroup quarantine
struct QuarantineTable {
  std::uint64_t version = 0;  ///< Differs whenever the entries do; 0: there are none.
  std::vector<SuspectEntry> entries;
};

/// @brief The same list as traffic looks requests up in it.
/// @ingroup quarantine
struct QuarantineList {
  std::set<RequestDigest> quarantined;  ///< Sent to no endpoint.
  std::set<RequestDigest> suspects;     ///< Not repeated by a node of its own accord.

  bool Empty() const { return quarantined.empty() && suspects.empty(); }
  bool operator==(const QuarantineList&) const = default;
};

/// @brief Null: empty. Nobody changes a published one.
/// @ingroup quarantine
using QuarantineListPtr = std::shared_ptr<const QuarantineList>;

}  // namespace rudderloom

#endif
