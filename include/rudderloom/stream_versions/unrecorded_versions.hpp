/// @file
/// At which version streams began whose start no node knows.
#ifndef RUDDERLOOM_STREAM_VERSIONS_UNRECORDED_VERSIONS_HPP
#define RUDDERLOOM_STREAM_VERSIONS_UNRECORDED_VERSIONS_HPP

#include <map>     // for map
#include <string>  // for string

#include "rudderloom/stream_versions/service_versions.hpp"  // for VersionsByService

namespace rudderloom {

/// @brief What a lease holder knows of versions when it updates `UnrecordedVersions`.
/// @ingroup stream_versions
struct VersionEvidence {
  VersionsByService recorded;   ///< By the lease record as it was written last.
  VersionsByService beginning;  ///< Of the endpoints at which streams may begin now.
  VersionsByService lately;     ///< That have served lately.
};

/// @brief Tracks, at the lease holder, the version of each service at which all streams began that
/// it doesn't know. Does no I/O; time is passed in.
///
/// Starts are not recorded while a service has one version. When a second one appears, that nothing
/// is known of a stream proves that it began at the first one: until the second one was in the
/// lease record, no stream could begin at it, and since then no stream does before the holder has
/// confirmed that it knows its start. This holds for the holder that has seen the second one
/// appear, for as long as it holds the lease without a gap: what only an earlier holder knew may be
/// lost.
/// @ingroup stream_versions
class UnrecordedVersions {
 public:
  /// @brief Starts anew when the lease was taken, with the versions that its record lists.
  void Begin(const VersionsByService& recorded, TimePoint now);

  /// @brief Updates the versions by what is known now.
  void Update(const VersionEvidence& evidence, TimePoint now);

  /// @brief Forgets everything, as what no node knows proves nothing.
  void Clear() { services_.clear(); }

  /// @brief Excludes a service to which streams of other services have moved, until it has a single
  /// version again.
  void Exclude(const std::string& service);

  /// @brief Excludes all services, as the store came back from an older copy: endpoints that have
  /// gone may be listed again.
  void ExcludeAll();

  /// @brief Returns the version of each service that has one.
  VersionOfService Current() const;

 private:
  struct Service {
    std::string only;  // the single version that the record has listed, or listed last
    TimePoint only_since;
    TimePoint began_at;  // when a second version appeared
    bool in_force = false;
    bool ended = false;  // no longer, until the service has a single version again
  };

  static void UpdateService(Service& service,
                            const std::set<std::string>& recorded,
                            const std::set<std::string>& beginning,
                            TimePoint now);

  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace rudderloom

#endif
