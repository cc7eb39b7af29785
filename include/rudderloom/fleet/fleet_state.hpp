/// @file
/// The whole control state of an entry node that serves routes: a pure function of its messages.
#ifndef RUDDERLOOM_FLEET_FLEET_STATE_HPP
#define RUDDERLOOM_FLEET_FLEET_STATE_HPP

#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/base/published.hpp"                   // for Published
#include "rudderloom/dissemination/configuration_log.hpp"  // for ConfigurationLog
#include "rudderloom/dissemination/group_counts.hpp"       // for GroupCounts
#include "rudderloom/dissemination/roster.hpp"             // for Roster
#include "rudderloom/dissemination/source_choice.hpp"      // for SourceChoice
#include "rudderloom/dissemination/statement.hpp"          // for Statement
#include "rudderloom/dissemination/upstream.hpp"           // for Upstream
#include "rudderloom/endpoint_limits/limit_exchange.hpp"   // for LimitExchange
#include "rudderloom/fleet/control_lag.hpp"                // for ControlLag
#include "rudderloom/fleet/endpoint_directory.hpp"         // for EndpointDirectory
#include "rudderloom/fleet/fleet_settings.hpp"             // for FleetSettings
#include "rudderloom/fleet/fleet_view.hpp"                 // for FleetViewPtr
#include "rudderloom/fleet/messages.hpp"                   // for fleet_message::Any
#include "rudderloom/placement/placement_keeper.hpp"       // for PlacementKeeper
#include "rudderloom/quarantine/crash_book.hpp"            // for CrashBook
#include "rudderloom/quarantine/news_log.hpp"              // for NewsLog
#include "rudderloom/quota/quota_ledger.hpp"               // for QuotaLedger
#include "rudderloom/quota/spending_log.hpp"               // for SpendingLog

namespace rudderloom {

/// @brief How the lease's object is to be read.
/// @ingroup fleet
enum class LeaseRead {
  kFresh,
  kMayBeStale,  ///< Costs less, and may be seconds old.
};

/// @brief Who told of an endpoint.
/// @ingroup fleet
enum class EndpointTeller {
  kStore,
  kHolder,
};

/// @brief Counts that this node tells another one.
/// @ingroup fleet
struct CountsToReport {
  std::string to;  ///< Address.
  NodeCounts counts;
};

/// @brief How this node follows what the store keeps.
/// @ingroup fleet
struct Followings {
  Following endpoints = Following::kStoreOnce;
  Following configuration = Following::kStoreOnce;
  bool operator==(const Followings&) const = default;
};

/// @brief How a process follows the store from its start on, until it decides otherwise.
/// @ingroup fleet
Followings FollowingsAtStart(const FleetSettings& settings);

/// @brief What the control state asks of the rest of the process.
/// @ingroup fleet
struct FleetEffects {
  FleetViewPtr view;  ///< Null when nothing changed for traffic.
  std::optional<LeaseRead> lease_read;
  std::optional<LeaseWrite> lease_write;
  PlacementEffects placement;
  std::optional<CountsToReport> report;
  std::shared_ptr<const Statement> statement;  ///< Null when it did not change.
  std::optional<Followings> followings;        ///< When they changed.
  /// @brief Of the store, when it has risen: what waits for a change in an older one may wait for
  /// good.
  std::optional<std::uint64_t> store_era;
  bool read_routes = false;  ///< A peer has a newer configuration than this node's watch brought.
  bool released = false;     ///< After a stop was asked: no lease is held any more.
};

/// @brief Owns the control state. No I/O; time is passed in.
/// @ingroup fleet
class FleetState {
 public:
  FleetState(FleetSettings settings, std::string incarnation);

  FleetEffects Handle(const fleet_message::Any& any, TimePoint now);

 private:
  // The holder's word, without the changes that it told.
  struct HeardWord {
    HolderDigest digest;
    TimePoint made_at;  // by the holder
  };

  void On(const fleet_message::RoutesSeen& seen, TimePoint now);
  void On(const fleet_message::EndpointsListed& listed, TimePoint now);
  void On(const fleet_message::EndpointsChanged& changed, TimePoint now);
  void On(const fleet_message::LeaseSeen& seen, TimePoint now);
  void On(const fleet_message::LeaseUnread& unread, TimePoint now);
  void On(const fleet_message::LeaseWritten& written, TimePoint now);
  void On(const fleet_message::NodeSampled& sampled, TimePoint now);
  void On(const fleet_message::PeerCounted& counted, TimePoint now);
  void On(const fleet_message::DigestHeard& heard, TimePoint now);
  void On(const fleet_message::ReportFailed& failed, TimePoint now);
  void On(const fleet_message::RequestGranted& granted, TimePoint now);
  void On(const fleet_message::RoutesConfirmed& confirmed, TimePoint now);
  void On(const fleet_message::EngineReported& reported, TimePoint now);
  void On(const fleet_message::OrderEnded& ended, TimePoint now);
  void On(const fleet_message::StopAsked& asked, TimePoint now);
  void On(const fleet_message::Tick& tick, TimePoint now);

  void MoveLease(FleetEffects& effects, TimePoint now);
  std::optional<LeaseRead> LeaseReadDue(TimePoint now);
  Duration FirstFreshRead() const;
  void MovePlacement(FleetEffects& effects, TimePoint now);
  Duration WorkPause() const;
  void PublishServing();
  void TellSpending(NodeCounts& counts, TimePoint now);
  void BeginBalances(const FormerLease& lease, TimePoint now);
  LowBalances LowOnes(const BalanceTable& balances, const QuotaLimits& limits) const;
  void MoveBalances(TimePoint now);
  std::shared_ptr<const GrantBasis> MakeGrantBasis() const;
  std::shared_ptr<const GrantBasis> MakeRelayGrantBasis();
  void NoteQuotaRelay(TimePoint now);
  void TakeBalances(BalanceTable balances, TimePoint made_at);
  void TakeCrashNews(const CrashNews& news, TimePoint now);
  void HearCrashNews(const CrashNews& news, TimePoint now);
  bool NewsToTell(TimePoint now);
  void TakeQuarantine(const QuarantineTable& table, TimePoint now);
  void BeginQuarantine(const FormerLease& lease, TimePoint now);
  void QuarantineChanged();
  void ExpireQuarantine(TimePoint now);
  std::shared_ptr<const QuarantineTable> MakeQuarantineTable(TimePoint now) const;
  void TakeLimits(const SentLimits& limits, TimePoint now);
  void ExpireLimits(TimePoint now);
  std::string Deputy() const;
  bool DeputyChanged(TimePoint now);
  std::optional<PermitBasis> MakePermitBasis() const;
  TimePoint HolderPermitsUntil() const;
  std::uint32_t CountNodes(TimePoint now) const;
  void LogLag(TimePoint now);
  bool ShouldResign(TimePoint now) const;
  void GoOnHolding(FleetEffects& effects, TimePoint now);
  void MoveResignation(TimePoint now);
  Duration LeaseYield(TimePoint now) const;
  void AnnounceOrders(FleetEffects& effects, TimePoint now);
  void MoveWord(FleetEffects& effects, TimePoint now);
  void ReportCounts(FleetEffects& effects, TimePoint now);
  bool ReportDue(const std::string& to, TimePoint now) const;
  Duration ReportPause(TimePoint now) const;
  void TakeLists(const HolderDigest& digest, TimePoint now);
  void TakeEndpointsTold(const HolderDigest& digest, TimePoint now);
  void TakeWord(const HolderDigest& digest, TimePoint now);
  NodeDuty Duty(TimePoint now) const;
  bool Relays(TimePoint now) const;
  bool ChooseRelays(TimePoint now);
  void MoveFollowing(FleetEffects& effects, TimePoint now);
  void TakeRecord(const EndpointRecord& record, EndpointTeller teller);
  void TakeGone(const std::string& instance, EndpointTeller teller, TimePoint now);
  void TakeEndpoints(const EndpointChanges& changes, EndpointTeller teller, TimePoint now);
  void LogEndpointsIgnored(const StoreRevision& revision, TimePoint now);
  void TakeList(const std::vector<EndpointRecord>& records,
                ListKind kind,
                EndpointTeller teller,
                TimePoint now);
  ListKind ListKindOf(const StoreRevision& revision) const;
  void NoteEra(std::uint64_t era);
  // A peer has told which configuration it has in force.
  void PeerHasRoutes(std::uint64_t version, TimePoint now);
  void RoutesInForce();
  void CatchUpRoutes(FleetEffects& effects, TimePoint now);
  std::uint64_t RoutesVersion() const;
  // What traffic must know at once has changed.
  void ChangedForTraffic();
  bool ViewDue(TimePoint now) const;
  FleetViewPtr MakeView(TimePoint now) const;
  LoadTable OtherLoads(TimePoint now) const;
  LoadForecastPtr CurrentForecast(TimePoint now) const;
  std::shared_ptr<const Statement> MakeStatement(TimePoint now);
  std::shared_ptr<const Statement> MakeRelayStatement(TimePoint now);
  void TellKnown(Statement& statement);
  std::uint64_t ServingVersion() const;
  bool WordFresh(TimePoint now) const;
  bool DoubtsHolder(TimePoint now) const;
  Duration LeaseLookPause(TimePoint now) const;

  FleetSettings settings_;
  std::string incarnation_;
  Published<ConfigurationLog> routes_;
  EndpointDirectory directory_;
  Published<EndpointLog> endpoint_log_;
  Published<ServingLog> serving_log_;  // made by this node while it holds the lease, else heard
  std::uint64_t serving_epoch_ = 0;    // that this node last made the log under
  SourceChoice endpoint_source_;
  SourceChoice configuration_source_;
  Followings followings_;
  Upstream upstream_;
  GroupCounts group_;
  std::shared_ptr<const Roster> roster_;  // of the fleet whose lease this node holds
  ControlLag lag_;
  LeaseKeeper lease_;
  PlacementKeeper placement_;
  DemandBoard board_;
  LoadSums sums_;          // of the board, as of the last plan
  LoadForecast forecast_;  // as of the last plan
  SpendingLog spending_;
  QuotaLedger ledger_;
  std::uint64_t grants_counted_ = 0;      // the last one that this node has booked or told
  QuotaWordPtr quota_word_;               // the newest that this node made or heard
  std::uint64_t grants_in_word_ = 0;      // the last grant that the newest balances take in
  std::string quota_relay_;               // as of the last word; empty for none
  std::uint32_t quota_group_ = 0;         // nodes that this one stands for as a relay, as of then
  CrashBook crash_book_;                  // while this node holds the lease the one that counts
  NewsLog news_log_;                      // of this node and of those that report to it
  CrashNews told_news_;                   // to nodes that ask this one
  std::uint64_t quarantine_version_ = 0;  // of the holder's list, that the book takes in
  std::uint64_t quarantine_changes_ = 0;  // since this node took the lease
  QuarantineListPtr quarantine_;          // as traffic has it
  LimitExchange limits_;
  TimePoint limits_expired_at_;
  std::optional<TimePoint> deputy_since_;  // this node hands out permits without a holder
  std::optional<HeardWord> heard_;
  std::uint64_t newest_routes_ = 0;         // that any peer has told of
  std::optional<TimePoint> routes_behind_;  // since when a peer has a newer configuration
  std::string known_holder_;                // by the lease's object
  std::string told_holder_;                 // to nodes that take this one for the holder
  TimePoint reported_at_;
  TimePoint started_at_;          // when the first message came
  std::uint64_t held_epoch_ = 0;  // of the lease that placement works under
  std::uint32_t live_nodes_;
  TimePoint lease_read_at_;
  TimePoint planned_at_;
  TimePoint viewed_at_;
  TimePoint held_since_;
  TimePoint lag_logged_at_;
  TimePoint lease_ignored_logged_at_;
  TimePoint endpoints_ignored_logged_at_;
  std::optional<TimePoint> resigned_at_;
  std::optional<std::uint64_t> store_era_;  // the latest that any answer or node has told
  bool era_rose_ = false;                   // in this process's time
  bool era_is_news_ = false;                // to the store's client
  bool holds_ = false;
  bool lease_reading_ = false;
  bool stopping_ = false;
  bool resigning_ = false;  // the lease is held, and given up once no order is under way
  bool endpoints_known_ = false;
  bool changed_ = false;       // since the last view
  bool changed_much_ = false;  // more than loads, which may wait a moment
  bool urgent_ = false;        // requests wait for something that only the holder can order
  bool relayed_ = false;       // this node's last statement was a relay's
  bool unanswered_ = false;    // the last report got no answer of use
  bool sent_on_ = false;       // the last answer named a relay
  bool retell_ = false;        // to the nodes that hear this one as a relay
};

}  // namespace rudderloom

#endif
