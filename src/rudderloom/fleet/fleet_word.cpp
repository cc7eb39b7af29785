// What this node hears of the holder's word, tells it, and hands on to nodes that report to it.
#include <algorithm>  // for clamp, max
#include <utility>    // for exchange

#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

// Between two reports of a node. Loads that other nodes put on endpoints are so old at least.
constexpr Duration kReportEvery{240};
// A relay's report stands between its members and the holder, and comes as often as two of them
// would have to for the way through it to take no longer than a direct one. While a holder with
// 0.12 of a core answered some 20 relays ten times a second, a list of the configuration took it
// 3 s: such a one is told less often, at the most as seldom as by a node that reports directly.
constexpr Duration kRelayReportEvery{100};
constexpr double kRelayReportOfOneCore = 40.0;  // milliseconds
// Also when requests wait, or the holder has named a relay.
constexpr Duration kReportPause{20};
// After a report that got no answer of use, to whomever: while nobody holds the lease, nodes ask
// their way round without wearing each other out.
constexpr Duration kReportAgain{150};
// So long a new holder of a fleet that may be large answers without lists: by then nodes that hear
// no relay have found it (they look each 250 ms at a start) and reported, and it can tell them
// which relay to hear. Too soon, it would take the fleet for a small one.
constexpr Duration kRosterAfter{400};

Duration RelayPause(double processor_share) {
  const Duration pause(static_cast<Duration::rep>(kRelayReportOfOneCore / processor_share));
  return std::clamp(pause, kRelayReportEvery, kReportEvery);
}

}  // namespace

// Tells the holder this node's counts, and others what there is to tell.
void FleetState::MoveWord(FleetEffects& effects, TimePoint now) {
  ReportCounts(effects, now);
  const bool deputy_changed = DeputyChanged(now);
  const bool retell = std::exchange(retell_, false);
  if (holds_) {
    relayed_ = false;
    if (!roster_ && ChooseRelays(now)) {
      effects.statement = MakeStatement(now);
    }
    return;
  }
  const bool relays = Relays(now);
  if (relays && retell) {
    effects.statement = MakeRelayStatement(now);
  } else if (!relays && (relayed_ || told_holder_ != upstream_.Holder() || NewsToTell(now) ||
                         deputy_changed)) {
    effects.statement = MakeStatement(now);
  }
  told_holder_ = upstream_.Holder();
  if (relays != relayed_) {
    relayed_ = relays;
    LogLine("relays_word").With("relays", relays ? "yes" : "no");
  }
}

// The holder has named this node a relay, or others report to it as one.
bool FleetState::Relays(TimePoint now) const {
  return !holds_ && heard_ && now - heard_->made_at < kOldestWord &&
         (heard_->digest.is_relay || group_.HasMembers(now));
}

NodeDuty FleetState::Duty(TimePoint now) const {
  if (holds_) {
    return NodeDuty::kHolder;
  }
  if (!Relays(now)) {
    return NodeDuty::kNone;
  }
  return heard_->digest.standby ? NodeDuty::kStandby : NodeDuty::kRelay;
}

// Where what the store keeps comes from from now on.
void FleetState::MoveFollowing(FleetEffects& effects, TimePoint now) {
  const NodeDuty duty = Duty(now);
  Followings followings;
  followings.endpoints = endpoint_source_.Choose(duty, now);
  followings.configuration = configuration_source_.Choose(duty, now);
  if (holds_ && !(roster_ && roster_->HasRelays())) {
    followings.configuration = Following::kStore;
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
  return now - reported_at_ >= ReportPause(now);
}

Duration FleetState::ReportPause(TimePoint now) const {
  if (unanswered_) {
    return kReportAgain;
  }
  const bool relays = Relays(now);
  if (sent_on_ || urgent_ || (relays && group_.Waiting())) {
    return kReportPause;
  }
  return relays ? heard_->digest.relay_pause : kReportEvery;
}

void FleetState::ReportCounts(FleetEffects& effects, TimePoint now) {
  const std::string to = upstream_.Address();
  if (!ReportDue(to, now)) {
    return;
  }
  NodeCounts counts = *group_.Take(now);
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
  TellSpending(counts, now);
  effects.report = CountsToReport{to, std::move(counts)};
  reported_at_ = now;
  urgent_ = false;
  sent_on_ = false;
}

void FleetState::On(const fleet_message::ReportFailed& failed, TimePoint now) {
  unanswered_ = true;
  spending_.Failed(failed.report_number);
  upstream_.Failed(failed.to, now);
}

void FleetState::On(const fleet_message::DigestHeard& heard, TimePoint now) {
  const HolderDigest& digest = heard.digest;
  HearCrashNews(digest.crash_news, now);
  spending_.Arrived(heard.report_number);
  const std::string before = upstream_.Address();
  const bool counts = upstream_.Answered(heard.from, digest, now);
  if (upstream_.Address() != before) {
    LogLine("reports_to").With("address", upstream_.Address()).With("before", before);
  }
  unanswered_ = !counts;
  sent_on_ = counts && !digest.relay.empty();
  if (holds_ || !digest.holds || (heard_ && digest.epoch < heard_->digest.epoch)) {
    return;
  }
  if (!counts) {
    // What a standby knows from the store is as good as the holder's word while there is none.
    TakeLists(digest, now);
    return;
  }
  PeerHasRoutes(digest.routes_version, now);
  live_nodes_ = std::max(1U, digest.nodes);
  // A node that is sent to a relay is told the rest there.
  if (digest.relay.empty()) {
    TakeWord(digest, now);
  }
}

void FleetState::TakeLists(const HolderDigest& digest, TimePoint now) {
  TakeEndpointsTold(digest, now);
  if (!digest.tells_configuration) {
    configuration_source_.NotTold();
  } else if (digest.configuration_age) {
    if (digest.configuration.version > RoutesVersion() &&
        routes_.Change().Apply(digest.configuration)) {
      RoutesInForce();
    }
    // What did not fit leaves this node behind: then its own configuration isn't confirmed.
    if (RoutesVersion() >= digest.routes_version) {
      configuration_source_.Heard(*digest.configuration_age, now);
    }
  }
  changed_ = true;
}

// A holder that knows of no eras may be one behind, and stays there: after a restore its word on
// endpoints is not heeded, and this node asks the store.
void FleetState::TakeEndpointsTold(const HolderDigest& digest, TimePoint now) {
  if (!digest.endpoints_age || (!digest.tells_era && era_rose_)) {
    return;
  }
  // What the store confirmed before it came back says nothing of what it tells since.
  if (digest.tells_era && digest.endpoints.version.Era() < store_era_.value_or(0)) {
    return;
  }
  endpoint_source_.Heard(*digest.endpoints_age, now);
  if (digest.tells_era) {
    TakeEndpoints(digest.endpoints, EndpointTeller::kHolder, now);
    return;
  }
  EndpointChanges changes = digest.endpoints;
  changes.version =
      StoreRevision(endpoint_log_.Get().Version().Era(), digest.endpoints.version.Number());
  TakeEndpoints(changes, EndpointTeller::kHolder, now);
}

void FleetState::TakeWord(const HolderDigest& digest, TimePoint now) {
  TakeLists(digest, now);
  if (serving_log_.Change().Apply(digest.serving)) {
    for (const auto& [instance, models] : digest.serving.values) {
      directory_.Serves(instance, models);
    }
  }
  heard_ = HeardWord{digest, now - digest.age};
  spending_.Confirmed(digest.report_counted);
  TakeBalances(digest.balances, heard_->made_at);
  NoteQuotaRelay(now);
  if (digest.quarantine) {
    TakeQuarantine(*digest.quarantine, now);
  }
  if (digest.limits) {
    limits_.Received(*digest.limits, heard_->made_at);
  }
  heard_->digest.quarantine.reset();
  heard_->digest.limits.reset();
  heard_->digest.serving = {};
  heard_->digest.endpoints = {};
  heard_->digest.configuration = {};
  retell_ = true;
}

std::shared_ptr<const Statement> FleetState::MakeStatement(TimePoint now) {
  auto statement = std::make_shared<Statement>();
  HolderDigest& common = statement->common;
  common.holds = holds_;
  common.epoch = holds_ ? lease_.Epoch() : upstream_.Epoch();
  common.holder = holds_ ? settings_.listen.peers : upstream_.Holder();
  if (!holds_) {
    common.crash_news = news_log_.Current(now);
    statement->grants = MakeRelayGrantBasis();
    statement->permits = MakePermitBasis();
    return statement;
  }
  statement->made_at = now;
  common.balances = quota_word_ ? quota_word_->balances : BalanceTable();
  statement->reports_counted = spending_.ReportsCounted();
  statement->grants = MakeGrantBasis();
  statement->quarantine = MakeQuarantineTable(now);
  statement->limits = limits_.Table(now);
  statement->permits = MakePermitBasis();
  common.nodes = live_nodes_;
  common.renewals_fail = lease_.RenewalsFail(now);
  common.relay_pause = RelayPause(settings_.processor_share);
  statement->loads = sums_;
  common.loads_due = LoadsDueFrom(forecast_, now);
  // Until it is known who relays, nobody is told lists, nor that any are not told.
  common.tells_configuration = !roster_ || roster_->HasRelays();
  if (roster_) {
    statement->roster = roster_;
    common.standby_addresses = roster_->StandbyAddresses();
    TellKnown(*statement);
  }
  return statement;
}

std::shared_ptr<const Statement> FleetState::MakeRelayStatement(TimePoint now) {
  auto statement = std::make_shared<Statement>();
  statement->common = heard_->digest;
  statement->common.relay.clear();
  statement->common.is_relay = false;
  statement->common.standby = false;
  statement->common.crash_news = news_log_.Current(now);
  statement->made_at = heard_->made_at;
  statement->loads = group_.Sums(now);
  for (const auto& [endpoint, load] : heard_->digest.loads) {
    statement->loads.all[endpoint] += load;
  }
  statement->reports_counted = spending_.ReportsCounted();
  statement->quarantine = MakeQuarantineTable(now);
  statement->limits = limits_.Table(heard_->made_at);
  statement->grants = MakeRelayGrantBasis();
  statement->permits = MakePermitBasis();
  statement->most_members = MostMembers(settings_.group_size);
  TellKnown(*statement);
  return statement;
}

// What this node knows of the store's objects, wherever from.
void FleetState::TellKnown(Statement& statement) {
  statement.common.routes_version = RoutesVersion();
  statement.serving = serving_log_.Copy();
  statement.endpoints = endpoint_log_.Copy();
  statement.endpoints_confirmed_at = endpoint_source_.ConfirmedAt();
  if (statement.common.tells_configuration && RoutesVersion() != 0) {
    statement.configuration = routes_.Copy();
    statement.configuration_confirmed_at = configuration_source_.ConfirmedAt();
  }
}

// Some time after the lease was taken, when nodes have reported; true when they were chosen.
bool FleetState::ChooseRelays(TimePoint now) {
  const bool known_small = heard_ && !heard_->digest.tells_configuration;
  if (!known_small && now - held_since_ < kRosterAfter) {
    return false;
  }
  auto roster = std::make_shared<Roster>(settings_.group_size);
  roster->Update(board_.Reporting(settings_.name, now));
  roster_ = std::move(roster);
  return true;
}

}  // namespace rudderloom
