/// @file
/// The known endpoints and whether they may get new requests, from store lists, events and reports.
#ifndef RUDDERLOOM_FLEET_ENDPOINT_DIRECTORY_HPP
#define RUDDERLOOM_FLEET_ENDPOINT_DIRECTORY_HPP

#include <map>       // for map
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/fleet/endpoint_record.hpp"  // for EndpointRecord

namespace rudderloom {

/// @brief An endpoint together with state that is not part of its own entry.
/// @ingroup fleet
struct KnownEndpoint {
  EndpointRecord record;
  std::optional<TimePoint> unlisted_since;  ///< When the platform stopped listing it.
  /// @brief While a restored store lacks its entry: how long the endpoint may take to write it
  /// again.
  std::optional<TimePoint> rewrite_awaited_until;
  std::uint64_t listed_orders = 0;  ///< `orders_taken` of its last entry.
};

/// @brief How recent a list of endpoints is.
/// @ingroup fleet
enum class ListKind {
  kUpToDate,    ///< Contains every write that the platform has acknowledged.
  kFromBackup,  ///< From an older backup; lost writes are repeated within the next seconds.
};

/// @brief Merges the platform's lists and events. Pure; time is passed in.
///
/// A removed entry may mean that the endpoint is leaving, or that the platform lost track of it for
/// a moment. Such an endpoint is kept for a short while as a last resort, well within the time in
/// which a leaving endpoint still accepts requests.
///
/// State from before the platform was restored from an older backup remains valid: an endpoint that
/// is leaving or gone is not used just because the backup lists it, and an endpoint that the backup
/// lacks is kept for as long as it may take to write its entry again.
/// @ingroup fleet
class EndpointDirectory {
 public:
  /// @param unlisted_retention How long an endpoint without an entry may still be used.
  explicit EndpointDirectory(Duration unlisted_retention)
      : unlisted_retention_(unlisted_retention) {}

  /// @brief Applies a complete list.
  void ApplyList(const std::vector<EndpointRecord>& records, ListKind kind, TimePoint now);
  void Put(const EndpointRecord& record);
  void MarkUnlisted(const std::string& instance, TimePoint now);

  /// @brief Sets the models for which the lease holder lets requests be sent to an endpoint. They
  /// remain in use when the holder falls silent.
  void SetServedModels(const std::string& instance, const std::vector<ResidentModel>& models);

  /// @brief Applies an endpoint's answer to a report call.
  /// @return True when it changed the endpoint's models.
  bool ApplyReport(const std::string& instance, const EngineReport& report);

  /// @brief Removes endpoints that have been unlisted for long enough, and decides on entries that
  /// a restored list lacks or still contains.
  /// @return True when anything changed.
  bool Expire(TimePoint now);

  const std::map<std::string, KnownEndpoint>& Endpoints() const { return endpoints_; }

 private:
  // A removed endpoint, remembered in case a restored list contains it again.
  struct Tombstone {
    TimePoint at;
    bool leaving = false;
  };
  // An entry of a restored list whose endpoint was gone: it counts as alive if the entry does not
  // lapse by `until`.
  struct UnconfirmedEntry {
    EndpointRecord record;
    TimePoint until;
  };

  void RemoveEarlierInstances(const EndpointRecord& record);
  void PutFromBackup(const EndpointRecord& record, TimePoint now);
  bool ExpireUnlisted(TimePoint now);
  bool ExpireAwaitedRewrites(TimePoint now);
  bool ExpireUnconfirmed(TimePoint now);
  void ExpireTombstones(TimePoint now);

  Duration unlisted_retention_;
  std::map<std::string, KnownEndpoint> endpoints_;
  std::map<std::string, Tombstone> tombstones_;
  std::map<std::string, UnconfirmedEntry> unconfirmed_;
};

}  // namespace rudderloom

#endif
