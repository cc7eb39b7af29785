// Receives the holder's digest, reports counts to the holder or a relay, and publishes statements
// to nodes that report here.
#include <algorithm>  // for clamp, max
#include <utility>    // for exchange

#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

// Time between two reports of a node, and so the minimum age of the loads of other nodes.
constexpr Duration kReportInterval{240};
// A relay's report lies between its members and the holder. At this interval two successive reports
// take no longer than a direct one. When a holder with 0.12 of a core answered about 20 relays ten
// times a second, applying a configuration list took it 3 s; so relays report less often to such a
// holder, but no less often than a node that reports directly.
constexpr Duration kMinRelayReportInterval{100};
constexpr double kRelayReportCoreMilliseconds = 40.0;  // Interval with one full core.
// Also used when requests are waiting, or when the holder has named a relay.
constexpr Duration kUrgentReportInterval{20};
// Interval after a report without a usable answer, to any node: while nobody holds the lease, nodes
// try each other in turn without overloading each other.
constexpr Duration kReportRetryInterval{150};
// A new holder of a fleet that may be large answers without lists for this time: by then nodes
// without a relay have found it (at startup they check every 250 ms) and reported, and it can
// assign them to relays. Earlier, it would mistake the fleet for a small one.
constexpr Duration kRosterDelay{400};
// Gateways that a relay names of its group, while no node of the fleet needs any and otherwise.
constexpr std::size_t kMinReportedGateways = 4;
constexpr std::size_t kMaxReportedGateways = 24;

Duration RelayReportInterval(double processor_share) {
  const Duration pause(static_cast<Duration::rep>(kRelayReportCoreMilliseconds / processor_share));
  return std::clamp(pause, kMinRelayReportInterval, kReportInterval);
}

}  // namespace

// Reports this node's counts, and updates the statement for nodes that report here.
void FleetState::UpdateDissemination(FleetEffects& effects, TimePoint now) {
  ReportCounts(effects, now);
  const bool deputy_changed = UpdateDeputy(now);
  const bool statement_due = std::exchange(statement_due_, false);
  if (holds_lease_) {
    was_relay_ = false;
    if (!roster_ && ChooseRelays(now)) {
      effects.statement = MakeStatement(now);
    }
    return;
  }
  const bool relays = ActsAsRelay(now);
  if (relays && statement_due) {
    effects.statement = MakeRelayStatement(now);
  } else if (!relays &&
             (was_relay_ || published_holder_ != upstream_.Holder() || UpdatePublishedNews(now) ||
              UpdatePublishedGateways(now) || deputy_changed)) {
    effects.statement = MakeStatement(now);
  }
  published_holder_ = upstream_.Holder();
  if (relays != was_relay_) {
    was_relay_ = relays;
    LogLine("relays_word").With("relays", relays ? "yes" : "no");
  }
}

// Returns true when the holder has named this node a relay, or others report to it as one.
bool FleetState::ActsAsRelay(TimePoint now) const {
  return !holds_lease_ && received_ && now - received_->made_at < kMaxDigestAge &&
         (received_->digest.is_relay || group_.HasMembers(now));
}

NodeRole FleetState::Duty(TimePoint now) const {
  if (holds_lease_) {
    return NodeRole::kHolder;
  }
  if (!ActsAsRelay(now)) {
    return NodeRole::kNone;
  }
  return received_->digest.standby ? NodeRole::kStandby : NodeRole::kRelay;
}

// Chooses the source of the store's objects.
void FleetState::UpdateFollowings(FleetEffects& effects, TimePoint now) {
  const NodeRole duty = Duty(now);
  Followings followings;
  followings.endpoints = endpoint_source_.Choose(duty, now);
  followings.configuration = configuration_source_.Choose(duty, now);
  if (holds_lease_ && !(roster_ && roster_->HasRelays())) {
    followings.configuration = FollowMode::kStore;
  }
  if (followings == followings_) {
    return;
  }
  followings_ = followings;
  effects.followings = followings;
  LogLine("store_followed")
      .With("endpoints", NameOf(followings.endpoints))
      .With("configuration", NameOf(followings.configuration))
      .With("revision", TextOf(endpoint_log_.Get().Version()))
      .With("version", RoutesVersion());
}

bool FleetState::ReportDue(const std::string& to, TimePoint now) const {
  if (to.empty() || !group_.Known()) {
    return false;
  }
  return now - reported_at_ >= ReportInterval(now);
}

Duration FleetState::ReportInterval(TimePoint now) const {
  if (report_unanswered_) {
    return kReportRetryInterval;
  }
  const bool relays = ActsAsRelay(now);
  if (redirected_ || report_urgent_ || (relays && group_.Waiting())) {
    return kUrgentReportInterval;
  }
  return relays ? received_->digest.relay_pause : kReportInterval;
}

void FleetState::ReportCounts(FleetEffects& effects, TimePoint now) {
  const std::string to = upstream_.Address();
  if (!ReportDue(to, now)) {
    return;
  }
  const bool wanted = received_ && received_->digest.gateways_wanted;
  NodeCounts counts = *group_.Take(now, wanted ? kMaxReportedGateways : kMinReportedGateways);
  counts.address = settings_.listen.peers;
  counts.availability_zone = settings_.availability_zone;
  counts.processor_share = settings_.processor_share;
  counts.routes_version = RoutesVersion();
  counts.endpoints_seen = endpoint_log_.Get().Version();
  counts.serving_seen = serving_log_.Get().Version();
  counts.avoided_relays = upstream_.AvoidedRelays(now);
  counts.crash_news = news_log_.Current(now);
  counts.quarantine_seen = quarantine_version_;
  counts.limits = limits_.ToReport(now);
  counts.limits_seen = limits_.Version();
  AddSpending(counts, now);
  effects.report = CountsToReport{to, std::move(counts)};
  reported_at_ = now;
  report_urgent_ = false;
  redirected_ = false;
}

void FleetState::On(const fleet_message::ReportFailed& failed, TimePoint now) {
  report_unanswered_ = true;
  spending_.MarkFailed(failed.report_number);
  upstream_.HandleFailure(failed.to, now);
}

void FleetState::On(const fleet_message::DigestReceived& received, TimePoint now) {
  const HolderDigest& digest = received.digest;
  ApplyPeerCrashNews(digest.crash_news, now);
  ApplyGateways(digest);
  spending_.MarkDelivered(received.report_number);
  const std::string previous_address = upstream_.Address();
  const bool accepted = upstream_.HandleAnswer(received.from, digest, now);
  if (upstream_.Address() != previous_address) {
    LogLine("reports_to").With("address", upstream_.Address()).With("before", previous_address);
  }
  report_unanswered_ = !accepted;
  redirected_ = accepted && !digest.relay.empty();
  if (holds_lease_ || !digest.is_authoritative ||
      (received_ && digest.epoch < received_->digest.epoch)) {
    return;
  }
  if (!accepted) {
    // While there is no holder, a standby's data from the store is as good as a holder's digest.
    ApplyLists(digest, now);
    return;
  }
  NotePeerRoutes(digest.routes_version, now);
  live_nodes_ = std::max(1U, digest.nodes);
  // A node that is redirected to a relay gets the rest there.
  if (digest.relay.empty()) {
    ApplyDigest(digest, now);
  }
}

void FleetState::ApplyLists(const HolderDigest& digest, TimePoint now) {
  ApplyHolderEndpoints(digest, now);
  if (!digest.has_configuration) {
    configuration_source_.NotInDigest();
  } else if (digest.configuration_age) {
    const RouteTablePtr former = routes_.Get().Current();
    if (digest.configuration.version > RoutesVersion() &&
        routes_.Change().Apply(digest.configuration)) {
      OnRoutesChanged(former, now);
    }
    // Changes that could not be applied leave this node behind: then its own configuration isn't
    // confirmed.
    if (RoutesVersion() >= digest.routes_version) {
      configuration_source_.RecordDigest(*digest.configuration_age, now);
    }
  }
  view_changed_ = true;
}

// A holder that does not support eras may be one era behind and stay there: after a restore its
// endpoints are ignored, and this node reads the store.
void FleetState::ApplyHolderEndpoints(const HolderDigest& digest, TimePoint now) {
  if (!digest.endpoints_age || (!digest.has_era && era_advanced_)) {
    return;
  }
  // What the store confirmed before the restore does not confirm its contents since then.
  if (digest.has_era && digest.endpoints.version.Era() < store_era_.value_or(0)) {
    return;
  }
  endpoint_source_.RecordDigest(*digest.endpoints_age, now);
  if (digest.has_era) {
    ApplyEndpointChanges(digest.endpoints, EndpointOrigin::kHolder, now);
    return;
  }
  EndpointChanges changes = digest.endpoints;
  changes.version =
      StoreRevision(endpoint_log_.Get().Version().Era(), digest.endpoints.version.Number());
  ApplyEndpointChanges(changes, EndpointOrigin::kHolder, now);
}

void FleetState::ApplyDigest(const HolderDigest& digest, TimePoint now) {
  ApplyLists(digest, now);
  if (serving_log_.Change().Apply(digest.serving)) {
    for (const auto& [instance, models] : digest.serving.values) {
      directory_.SetServedModels(instance, models);
    }
  }
  received_ = ReceivedDigest{digest, now - digest.age};
  if (digest.turns.positions > 0) {
    turn_origin_ = received_->made_at - digest.turns.clock;
  }
  ApplyVersions(digest, now);
  spending_.Confirmed(digest.report_counted);
  PublishBalances(digest.balances, received_->made_at);
  UpdateQuotaRelay(now);
  if (digest.quarantine) {
    ApplyQuarantine(*digest.quarantine, now);
  }
  if (digest.limits) {
    limits_.Received(*digest.limits, received_->made_at);
  }
  received_->digest.quarantine.reset();
  received_->digest.limits.reset();
  received_->digest.serving = {};
  received_->digest.endpoints = {};
  received_->digest.configuration = {};
  statement_due_ = true;
}

std::shared_ptr<const DigestSource> FleetState::MakeStatement(TimePoint now) {
  auto statement = std::make_shared<DigestSource>();
  HolderDigest& common = statement->common;
  common.is_authoritative = holds_lease_;
  common.epoch = holds_lease_ ? lease_.Epoch() : upstream_.Epoch();
  common.holder = holds_lease_ ? settings_.listen.peers : upstream_.Holder();
  statement->gateways = GatewaysToAnnounce(now);
  if (!holds_lease_) {
    common.crash_news = news_log_.Current(now);
    statement->grants = MakeRelayGrantBasis();
    statement->permits = MakePermitBasis();
    return statement;
  }
  statement->made_at = now;
  common.balances = quota_snapshot_ ? quota_snapshot_->balances : BalanceTable();
  statement->reports_counted = spending_.ReportsCounted();
  statement->grants = MakeGrantBasis();
  statement->quarantine = MakeQuarantineTable(now);
  statement->limits = limits_.Table(now);
  statement->permits = MakePermitBasis();
  common.turns = {0, 0, TurnPositions(),
                  std::chrono::duration_cast<Duration>(now - turn_origin_.value_or(now))};
  statement->turns = turn_table_.Spans();
  if (knows_version_history_) {
    common.software_versions = versions_.Ages(now);
  }
  // A holder that has not listed the endpoints yet knows only what the record lists.
  common.settled_versions =
      holds_lease_ && !endpoints_known_ ? RecordedVersions() : settled_versions_;
  common.nodes = live_nodes_;
  common.gateways_wanted = gateways_wanted_;
  common.renewals_fail = lease_.IsRenewalOverdue(now);
  common.relay_pause = RelayReportInterval(settings_.processor_share);
  statement->loads = sums_;
  common.loads_due = LoadsDueFrom(forecast_, now);
  // Until the relays are chosen, lists are neither sent nor declared unavailable.
  common.has_configuration = !roster_ || roster_->HasRelays();
  if (roster_) {
    statement->roster = roster_;
    common.standby_addresses = roster_->StandbyAddresses();
    AddKnownObjects(*statement);
  }
  return statement;
}

std::shared_ptr<const DigestSource> FleetState::MakeRelayStatement(TimePoint now) {
  auto statement = std::make_shared<DigestSource>();
  statement->common = received_->digest;
  statement->common.relay.clear();
  statement->common.is_relay = false;
  statement->common.standby = false;
  statement->common.crash_news = news_log_.Current(now);
  statement->made_at = received_->made_at;
  statement->gateways = GatewaysToAnnounce(now);
  UpdateTurnsAsRelay(now);
  statement->turns = turn_table_.Spans();
  statement->loads = group_.Sums(now);
  for (const auto& [endpoint, load] : received_->digest.loads) {
    statement->loads.all[endpoint] += load;
  }
  statement->reports_counted = spending_.ReportsCounted();
  statement->quarantine = MakeQuarantineTable(now);
  statement->limits = limits_.Table(received_->made_at);
  statement->grants = MakeRelayGrantBasis();
  statement->permits = MakePermitBasis();
  statement->max_members = MaxRelayMembers(settings_.group_size);
  AddKnownObjects(*statement);
  return statement;
}

// Adds this node's copy of the store's objects, from any source.
void FleetState::AddKnownObjects(DigestSource& statement) {
  statement.common.routes_version = RoutesVersion();
  statement.serving = serving_log_.Copy();
  statement.endpoints = endpoint_log_.Copy();
  statement.endpoints_confirmed_at = endpoint_source_.ConfirmedAt();
  if (statement.common.has_configuration && RoutesVersion() != 0) {
    statement.configuration = routes_.Copy();
    statement.configuration_confirmed_at = configuration_source_.ConfirmedAt();
  }
}

// Chooses relays some time after the lease was taken, when nodes have reported; returns true when
// they were chosen.
bool FleetState::ChooseRelays(TimePoint now) {
  const bool known_small = received_ && !received_->digest.has_configuration;
  if (!known_small && now - held_since_ < kRosterDelay) {
    return false;
  }
  auto roster = std::make_shared<Roster>(settings_.group_size);
  roster->Update(board_.ReportingNodes(settings_.name, now));
  const bool same_standbys = roster_ && roster_->StandbyAddresses() == roster->StandbyAddresses();
  roster_ = std::move(roster);
  if (!same_standbys) {
    // The other nodes learn of them with the next digest, and all must choose the same granting
    // nodes.
    MarkViewUrgent();
  }
  return true;
}

}  // namespace rudderloom
