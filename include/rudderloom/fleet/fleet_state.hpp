/// @file
/// The control state of an entry node: a pure function of its messages.
#ifndef RUDDERLOOM_FLEET_FLEET_STATE_HPP
#define RUDDERLOOM_FLEET_FLEET_STATE_HPP

#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/copy_on_change.hpp"                  // for CopyOnChange
#include "rudderloom/dissemination/configuration_log.hpp"      // for ConfigurationLog
#include "rudderloom/dissemination/group_counts.hpp"           // for GroupCounts
#include "rudderloom/dissemination/roster.hpp"                 // for Roster
#include "rudderloom/dissemination/source_choice.hpp"          // for SourceSelector
#include "rudderloom/dissemination/digest_source.hpp"          // for DigestSource
#include "rudderloom/dissemination/upstream.hpp"               // for Upstream
#include "rudderloom/endpoint_limits/limit_exchange.hpp"       // for LimitExchange
#include "rudderloom/fleet/control_lag.hpp"                    // for ControlLag
#include "rudderloom/fleet/endpoint_directory.hpp"             // for EndpointDirectory
#include "rudderloom/fleet/fleet_settings.hpp"                 // for FleetSettings
#include "rudderloom/fleet/fleet_view.hpp"                     // for FleetViewPtr
#include "rudderloom/fleet/messages.hpp"                       // for fleet_message::Any
#include "rudderloom/placement/placement_keeper.hpp"           // for PlacementKeeper
#include "rudderloom/quarantine/crash_book.hpp"                // for CrashBook
#include "rudderloom/quarantine/crash_news_log.hpp"            // for CrashNewsLog
#include "rudderloom/quota/quota_ledger.hpp"                   // for QuotaLedger
#include "rudderloom/quota/spending_log.hpp"                   // for SpendingLog
#include "rudderloom/quota/turn_table.hpp"                     // for TurnTable
#include "rudderloom/stream_versions/kept_starts.hpp"          // for VersionKnowledge
#include "rudderloom/stream_versions/unrecorded_versions.hpp"  // for UnrecordedVersions

namespace rudderloom {

/// @brief Consistency with which the lease object is read.
/// @ingroup fleet
enum class LeaseRead {
  kFresh,
  kMayBeStale,  ///< Cheaper; the result may be seconds old.
};

/// @brief Source of a change to the endpoints.
/// @ingroup fleet
enum class EndpointOrigin {
  kStore,
  kHolder,
};

/// @brief Counts that this node reports to another one.
/// @ingroup fleet
struct CountsToReport {
  std::string to;  ///< Address of the receiver.
  NodeCounts counts;
};

/// @brief How this node follows the objects in the store.
/// @ingroup fleet
struct Followings {
  FollowMode endpoints = FollowMode::kStoreOnce;
  FollowMode configuration = FollowMode::kStoreOnce;
  bool operator==(const Followings&) const = default;
};

/// @brief Returns how a process follows the store after its start, until the control state changes
/// it.
/// @ingroup fleet
Followings InitialFollowings(const FleetSettings& settings);

/// @brief Actions that the control state requests from the rest of the process.
/// @ingroup fleet
struct FleetEffects {
  FleetViewPtr view;  ///< Null when nothing relevant to requests changed.
  std::optional<LeaseRead> lease_read;
  std::optional<LeaseWrite> lease_write;
  PlacementEffects placement;
  std::optional<CountsToReport> report;
  std::shared_ptr<const DigestSource> statement;  ///< Null when unchanged.
  std::optional<Followings> followings;           ///< Empty when unchanged.
  /// @brief The store's era when it has advanced: calls that wait for a change in an older era
  /// might never return.
  std::optional<std::uint64_t> store_era;
  bool read_routes = false;                  ///< A peer has a newer configuration than this node.
  bool released = false;                     ///< The node is stopping and no longer holds a lease.
  std::optional<VersionKnowledge> versions;  ///< Empty when unchanged.
};

/// @brief Owns the control state. No I/O; time is passed in.
/// @ingroup fleet
class FleetState {
 public:
  FleetState(FleetSettings settings, std::string incarnation);

  FleetEffects Handle(const fleet_message::Any& any, TimePoint now);

 private:
  // The holder's last digest, without the changes that it carried.
  struct ReceivedDigest {
    HolderDigest digest;
    TimePoint made_at;  // When the holder made it.
  };

  void On(const fleet_message::RoutesSeen& seen, TimePoint now);
  void On(const fleet_message::EndpointsListed& listed, TimePoint now);
  void On(const fleet_message::EndpointsChanged& changed, TimePoint now);
  void On(const fleet_message::LeaseSeen& seen, TimePoint now);
  void On(const fleet_message::LeaseReadFailed& unread, TimePoint now);
  void On(const fleet_message::LeaseWritten& written, TimePoint now);
  void On(const fleet_message::NodeSampled& sampled, TimePoint now);
  void On(const fleet_message::PeerCountsReceived& counted, TimePoint now);
  void On(const fleet_message::DigestReceived& received, TimePoint now);
  void On(const fleet_message::ReportFailed& failed, TimePoint now);
  void On(const fleet_message::RequestGranted& granted, TimePoint now);
  void On(const fleet_message::RoutesConfirmed& confirmed, TimePoint now);
  void On(const fleet_message::EngineReported& reported, TimePoint now);
  void On(const fleet_message::OrderEnded& ended, TimePoint now);
  void On(const fleet_message::StopRequested& asked, TimePoint now);
  void On(const fleet_message::Tick& tick, TimePoint now);

  void UpdateLease(FleetEffects& effects, TimePoint now);
  std::optional<LeaseRead> LeaseReadDue(TimePoint now);
  Duration FirstFreshReadDelay() const;
  void UpdatePlacement(FleetEffects& effects, TimePoint now);
  Duration WorkInterval() const;
  void PublishServing();
  void AddSpending(NodeCounts& counts, TimePoint now);
  void RestoreBalances(const FormerLease& lease, TimePoint now);
  LowBalances FindLowBalances(const BalanceTable& balances, const QuotaLimits& limits) const;
  void UpdateBalances(TimePoint now);
  std::shared_ptr<const GrantBasis> MakeGrantBasis() const;
  std::shared_ptr<const GrantBasis> MakeRelayGrantBasis();
  void UpdateQuotaRelay(TimePoint now);
  void UpdateTurnsAsHolder(TimePoint now);
  bool ReportsToHolder(const ReportingNode& node) const;
  void UpdateTurnsAsRelay(TimePoint now);
  TurnPlan OwnTurns() const;
  std::uint32_t TurnPositions() const;
  QuotaReserve ReserveForSilent(TimePoint now);
  void PublishBalances(BalanceTable balances, TimePoint made_at);
  void RecordCrashNews(const CrashNews& news, TimePoint now);
  void ApplyPeerCrashNews(const CrashNews& news, TimePoint now);
  bool UpdatePublishedNews(TimePoint now);
  void ApplyQuarantine(const QuarantineTable& table, TimePoint now);
  void RestoreQuarantine(const FormerLease& lease, TimePoint now);
  void QuarantineChanged();
  void ExpireQuarantine(TimePoint now);
  std::shared_ptr<const QuarantineTable> MakeQuarantineTable(TimePoint now) const;
  void RecordLimits(const SentLimits& limits, TimePoint now);
  void ExpireLimits(TimePoint now);
  std::vector<std::string> Standbys() const;
  std::string Deputy() const;
  bool UpdateDeputy(TimePoint now);
  std::optional<PermitBasis> MakePermitBasis() const;
  TimePoint HolderPermitsUntil() const;
  void RecordReach(const NodeCounts& own, TimePoint now);
  void UpdateOwnGateways(TimePoint now);
  void ApplyGateways(const HolderDigest& digest);
  GatewayList Gateways() const;
  GatewayList GatewaysToAnnounce(TimePoint now) const;
  bool UpdatePublishedGateways(TimePoint now);
  std::uint32_t CountNodes(TimePoint now) const;
  void LogLag(TimePoint now);
  bool AnotherNodeReachesEndpoints(TimePoint now) const;
  bool ShouldResign(TimePoint now) const;
  void ContinueHolding(FleetEffects& effects, TimePoint now);
  void UpdateResignation(TimePoint now);
  Duration LeaseYield(TimePoint now) const;
  void AnnounceOrders(FleetEffects& effects, TimePoint now);
  void UpdateDissemination(FleetEffects& effects, TimePoint now);
  void ReportCounts(FleetEffects& effects, TimePoint now);
  bool ReportDue(const std::string& to, TimePoint now) const;
  Duration ReportInterval(TimePoint now) const;
  void ApplyLists(const HolderDigest& digest, TimePoint now);
  void ApplyHolderEndpoints(const HolderDigest& digest, TimePoint now);
  void ApplyDigest(const HolderDigest& digest, TimePoint now);
  NodeRole Duty(TimePoint now) const;
  bool ActsAsRelay(TimePoint now) const;
  bool ChooseRelays(TimePoint now);
  void UpdateFollowings(FleetEffects& effects, TimePoint now);
  void ApplyEndpointRecord(const EndpointRecord& record, EndpointOrigin origin);
  void ApplyEndpointRemoval(const std::string& instance, EndpointOrigin origin, TimePoint now);
  void ApplyEndpointChanges(const EndpointChanges& changes, EndpointOrigin origin, TimePoint now);
  void LogEndpointsIgnored(const StoreRevision& revision, TimePoint now);
  void ApplyEndpointList(const std::vector<EndpointRecord>& records,
                         ListKind kind,
                         EndpointOrigin origin,
                         TimePoint now);
  ListKind ListKindOf(const StoreRevision& revision) const;
  void NoteEra(std::uint64_t era);
  // Notes the version of the configuration that a peer has in force.
  void NotePeerRoutes(std::uint64_t version, TimePoint now);
  void OnRoutesChanged(const RouteTablePtr& former, TimePoint now);
  void CatchUpRoutes(FleetEffects& effects, TimePoint now);
  std::uint64_t RoutesVersion() const;
  void UpdateVersions(FleetEffects& effects, TimePoint now);
  void RestoreVersions(const FormerLease& lease, TimePoint now);
  void UpdateStreamsMayBegin();
  void AdoptRecordedVersions(TimePoint now);
  void CountUnlistedServices(const VersionsByService& present, TimePoint now);
  void ApplyVersions(const HolderDigest& digest, TimePoint now);
  // `beginning`: versions of the endpoints at which streams may begin.
  void UpdateUnrecordedVersions(const VersionsByService& beginning, TimePoint now);
  void UpdateSettledVersions(const VersionsByService& beginning, TimePoint now);
  // True if each node has the starts of streams confirmed.
  bool AllConfirmStarts(TimePoint now);
  // By the lease record as written last; none unless this node holds the lease.
  VersionsByService RecordedVersions() const;
  void AddVersionsOfMovedStreams(const RouteTable& former, TimePoint now);
  // Marks a change that must reach request handling without delay.
  void MarkViewUrgent();
  bool ViewDue(TimePoint now) const;
  FleetViewPtr MakeView(TimePoint now) const;
  LoadTable OtherLoads(TimePoint now) const;
  LoadForecastPtr CurrentForecast(TimePoint now) const;
  std::shared_ptr<const DigestSource> MakeStatement(TimePoint now);
  std::shared_ptr<const DigestSource> MakeRelayStatement(TimePoint now);
  void AddKnownObjects(DigestSource& statement);
  std::uint64_t ServingVersion() const;
  bool DigestFresh(TimePoint now) const;
  bool SuspectsHolder(TimePoint now) const;
  Duration LeaseCheckInterval(TimePoint now) const;

  FleetSettings settings_;
  std::string incarnation_;
  CopyOnChange<ConfigurationLog> routes_;
  EndpointDirectory directory_;
  CopyOnChange<EndpointLog> endpoint_log_;
  CopyOnChange<ServingLog> serving_log_;  // Made by the holder itself, otherwise received.
  std::uint64_t serving_epoch_ = 0;       // Epoch under which this node last wrote the log.
  SourceSelector endpoint_source_;
  SourceSelector configuration_source_;
  Followings followings_;
  Upstream upstream_;
  GroupCounts group_;
  std::shared_ptr<const Roster> roster_;  // Set while this node holds the lease.
  ControlLag lag_;
  LeaseKeeper lease_;
  PlacementKeeper placement_;
  DemandTracker board_;
  LoadSums sums_;          // Totals of the board at the last plan.
  LoadForecast forecast_;  // Computed with the last plan.
  SpendingLog spending_;
  QuotaLedger ledger_;
  TurnTable turn_table_;                  // Of the nodes that report here.
  std::optional<TimePoint> turn_origin_;  // Start of the turns' clock; empty before a digest.
  std::uint64_t grants_counted_ = 0;      // Number of the last grant booked or reported.
  QuotaSnapshotPtr quota_snapshot_;       // The newest made or received.
  std::uint64_t grants_in_balances_ = 0;  // Last grant included in the newest balances.
  std::string quota_relay_;               // As of the last digest; empty: none.
  std::uint32_t quota_group_ = 0;         // Nodes in this relay's group, as of then.
  CrashBook crash_book_;                  // Authoritative while this node holds the lease.
  CrashNewsLog news_log_;                 // From this node and those that report to it.
  CrashNews published_news_;              // As last published to nodes that report here.
  std::uint64_t quarantine_version_ = 0;  // Version of the holder's list in the book.
  std::uint64_t quarantine_changes_ = 0;  // Changes since this node took the lease.
  QuarantineListPtr quarantine_;          // As last published to request handling.
  ServiceVersions versions_;
  VersionsByService adopted_versions_;  // Of the lease record, until a holder tells them.
  // Of the former holder, with the services that were compared with it; for a minute.
  std::optional<VersionsByService> inherited_versions_;
  ServiceVersions beginning_versions_;  // Of endpoints at which streams may begin, as seen here.
  UnrecordedVersions unrecorded_versions_;  // While this node holds the lease.
  VersionsByService settled_versions_;      // See `FleetView`.
  bool streams_may_begin_ = false;          // See `FleetView`.
  bool told_settled_ = false;               // A holder has told them, or this node held the lease.
  bool read_settled_ = false;               // The lease record has told them.
  std::optional<TimePoint> unconfirming_seen_at_;  // A node that has no starts confirmed.
  VersionKnowledge version_knowledge_;             // As last published.
  bool knows_version_history_ = false;             // From a holder or the lease record.
  std::optional<TimePoint> versions_watched_since_;
  TimePoint versions_observed_at_;
  LimitExchange limits_;
  TimePoint limits_expired_at_;
  std::optional<TimePoint> cut_off_since_;  // Set while this node reaches no endpoint.
  bool needs_gateways_ = false;             // This node does not reach all endpoints.
  GatewayList received_gateways_;           // From the last answer that named any.
  bool gateways_wanted_ = false;            // As the holder: a node does not reach all endpoints.
  GatewayList published_gateways_;          // As last published to nodes that report here.
  std::optional<TimePoint> deputy_since_;   // Set while this node is the deputy.
  // Since when this node had been the deputy when it acquired the lease that it holds.
  std::optional<TimePoint> deputy_until_holding_since_;
  std::optional<ReceivedDigest> received_;
  std::uint64_t newest_routes_ = 0;         // Newest version reported by any peer.
  std::optional<TimePoint> routes_behind_;  // When a peer was found to have a newer configuration.
  std::string lease_holder_;                // According to the lease object.
  std::string published_holder_;            // As last published to nodes that report here.
  TimePoint reported_at_;
  TimePoint started_at_;          // When the first message arrived.
  std::uint64_t held_epoch_ = 0;  // Lease epoch that placement uses.
  std::uint32_t live_nodes_;
  TimePoint lease_read_at_;
  TimePoint planned_at_;
  TimePoint viewed_at_;
  TimePoint held_since_;
  TimePoint lag_logged_at_;
  TimePoint lease_ignored_logged_at_;
  TimePoint endpoints_ignored_logged_at_;
  std::optional<TimePoint> resigned_at_;
  std::optional<std::uint64_t> store_era_;  // Latest era seen in any message.
  bool era_advanced_ = false;               // The era has advanced since this process started.
  bool era_unannounced_ = false;            // The store client does not know the era yet.
  bool holds_lease_ = false;
  bool lease_read_pending_ = false;
  bool stopping_ = false;
  bool resigning_ = false;  // The lease is given up once no order is in flight.
  bool endpoints_known_ = false;
  bool view_changed_ = false;       // Since the last view.
  bool view_urgent_ = false;        // Something other than loads changed, so the view can't wait.
  bool report_urgent_ = false;      // Requests wait for an order that only the holder can send.
  bool was_relay_ = false;          // The last statement was made as a relay.
  bool report_unanswered_ = false;  // The last report got no usable answer.
  bool redirected_ = false;         // The last answer redirected this node to a relay.
  bool statement_due_ = false;      // A relay's statement has to be made again.
};

}  // namespace rudderloom

#endif
