/// @file
/// Software versions that serve in each service.
#ifndef RUDDERLOOM_STREAM_VERSIONS_SERVICE_VERSIONS_HPP
#define RUDDERLOOM_STREAM_VERSIONS_SERVICE_VERSIONS_HPP

#include <map>     // for map
#include <set>     // for set
#include <string>  // for string

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief The versions of the endpoints of each service; an empty one if an endpoint states none.
/// @ingroup stream_versions
using VersionsByService = std::map<std::string, std::set<std::string>, std::less<>>;

/// @brief Time since each version of each service last served.
/// @ingroup stream_versions
using VersionAges = std::map<std::string, std::map<std::string, Duration>>;

/// @brief One version of each service.
/// @ingroup stream_versions
using VersionOfService = std::map<std::string, std::string, std::less<>>;

/// @brief Returns true if `versions` has this version of the service.
/// @ingroup stream_versions
bool HasVersion(const VersionsByService& versions,
                const std::string& service,
                const std::string& version);

/// @brief Returns the versions that are in both.
/// @ingroup stream_versions
VersionsByService CommonVersions(const VersionsByService& left, const VersionsByService& right);

/// @brief Returns the versions of a service, joined by commas, for logs.
/// @ingroup stream_versions
std::string VersionsText(const VersionsByService& versions, const std::string& service);

/// @brief Tracks which versions have served lately: streams that began at one may still be taken
/// up after its last endpoint has gone. Does no I/O; time is passed in.
///
/// A process knows only what it has seen since its start, so what others have seen is added: at a
/// new lease holder from the lease record, at the other nodes from the holder's digest.
/// @ingroup stream_versions
class ServiceVersions {
 public:
  /// @brief Records the present versions and drops those that have not served lately.
  void Observe(const VersionsByService& present, TimePoint now);

  /// @brief Adds what another node has seen until now.
  void Merge(const VersionAges& ages, TimePoint now);

  /// @brief Adds what a lease record names. As it holds no times, all count as serving until now.
  void Restore(const VersionsByService& recorded, TimePoint now);

  /// @brief Returns the versions that have served lately.
  VersionsByService Lately() const;

  /// @brief Returns the same with the time since each has served.
  VersionAges Ages(TimePoint now) const;

  /// @brief Returns the versions that have served within `limit`.
  VersionsByService Within(Duration limit, TimePoint now) const;

 private:
  std::map<std::string, std::map<std::string, TimePoint>> seen_at_;  // by service and version
};

}  // namespace rudderloom

#endif
