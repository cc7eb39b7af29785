#include "rudderloom/fleet/fleet_state.hpp"

#include <algorithm>  // for max
#include <utility>    // for exchange

#include "rudderloom/base/log_line.hpp"         // for LogLine
#include "rudderloom/base/stable_fraction.hpp"  // for StableFraction

namespace rudderloom {

namespace {

// Divisor of the drain time: how long an endpoint without an entry may still be used.
constexpr int kUnlistedRetentionDivisor = 2;
// Maximum age of data received from another node, as a fraction of the time in which a change must
// be in force: the rest is for a call to the store, and for a change of the list to take effect.
constexpr double kMaxSharedAgeFraction = 0.4;
// Time allowed for a watch to deliver a configuration that a peer already has.
constexpr Duration kRoutesBehindGrace{400};
// Planning after each message would cost more than it gains: the cost of a plan, a statement for
// the other nodes and a view grows with the fleet, and the messages arrive as often as there are
// nodes and endpoints. On a node with little processor time the same work takes longer and leaves
// less time for the rest: with a plan every 30 ms, a holder with 0.12 of a core beside 62 nodes
// learned 2.8 s late that endpoints were leaving.
constexpr Duration kMinWorkInterval{10};
constexpr std::uint32_t kWorkIntervalNodes = 16;
constexpr Duration kMaxWorkInterval{200};
constexpr Duration kDigestFreshTime{2'000};
// Number of nodes that share limits, until the holder has counted them.
constexpr std::uint32_t kAssumedNodes = 12;
// By then all nodes have found a new holder and reported to it.
constexpr Duration kReportsCompleteAfter{2'000};

Duration MaxSharedAge(Duration bound) {
  return std::chrono::duration_cast<Duration>(bound * kMaxSharedAgeFraction);
}

// Keeps the report numbers of an earlier process apart from those of this one.
std::uint64_t FirstReportNumber(const std::string& incarnation) {
  constexpr unsigned kReportNumberBits = 31;
  return (std::hash<std::string>{}(incarnation) << kReportNumberBits) + 1;
}

SourceSelector MakeSource(const FleetSettings& settings, Duration bound) {
  const StartKind start = settings.first_start ? StartKind::kFirst : StartKind::kRestart;
  return {MaxSharedAge(bound), start, StableFraction(settings.name)};
}

}  // namespace

Followings InitialFollowings(const FleetSettings& settings) {
  const FollowMode following = settings.first_start ? FollowMode::kHolder : FollowMode::kStoreOnce;
  return {following, following};
}

FleetState::FleetState(FleetSettings settings, std::string incarnation)
    : settings_(std::move(settings)),
      incarnation_(std::move(incarnation)),
      directory_(settings_.bounds.drain / kUnlistedRetentionDivisor),
      endpoint_source_(MakeSource(settings_, settings_.bounds.drain)),
      configuration_source_(MakeSource(settings_, settings_.bounds.configuration)),
      followings_(InitialFollowings(settings_)),
      upstream_(settings_.listen.peers),
      lease_(settings_.listen.peers,
             incarnation_,
             settings_.bounds.lease,
             YieldTime(settings_.processor_share),
             settings_.first_start ? LeaseStart::kFirst : LeaseStart::kUnknown),
      placement_(settings_.bounds.load_window,
                 settings_.bounds.load_overshoot,
                 settings_.bounds.lease),
      spending_(FirstReportNumber(incarnation_)),
      ledger_(settings_.bounds.quota),
      live_nodes_(kAssumedNodes) {}

FleetEffects FleetState::Handle(const fleet_message::Any& any, TimePoint now) {
  started_at_ = started_at_ == TimePoint() ? now : started_at_;
  std::visit([&](const auto& message) { On(message, now); }, any);
  FleetEffects effects;
  // The counts of many nodes arrive many times between two ticks: the next tick processes all of
  // them.
  const bool counted = std::holds_alternative<fleet_message::PeerCountsReceived>(any);
  const bool granted = std::holds_alternative<fleet_message::RequestGranted>(any);
  if ((counted && live_nodes_ > kWorkIntervalNodes) || granted) {
    return effects;
  }
  UpdateVersions(effects, now);
  UpdateLease(effects, now);
  UpdatePlacement(effects, now);
  AnnounceOrders(effects, now);
  CatchUpRoutes(effects, now);
  UpdateFollowings(effects, now);
  UpdateDissemination(effects, now);
  if (std::exchange(era_unannounced_, false)) {
    effects.store_era = store_era_;
  }
  if (limits_.TakeChanged()) {
    MarkViewUrgent();
  }
  if (ViewDue(now)) {
    // A view must not have an endpoint without its version.
    UpdateVersions(effects, now);
    view_changed_ = false;
    view_urgent_ = false;
    viewed_at_ = now;
    effects.view = MakeView(now);
  }
  return effects;
}

Duration FleetState::WorkInterval() const {
  if (live_nodes_ <= kWorkIntervalNodes) {
    return kMinWorkInterval;
  }
  const double share = std::min(1.0, settings_.processor_share);
  const auto pause =
      static_cast<double>((kMinWorkInterval * (live_nodes_ / kWorkIntervalNodes)).count());
  return std::min(kMaxWorkInterval, Duration(static_cast<Duration::rep>(pause / share)));
}

void FleetState::MarkViewUrgent() {
  view_changed_ = true;
  view_urgent_ = true;
}

bool FleetState::ViewDue(TimePoint now) const {
  return view_changed_ && (view_urgent_ || now - viewed_at_ >= WorkInterval());
}

// Makes a plan and orders, as the holder; orders are limited by the lease's validity.
void FleetState::UpdatePlacement(FleetEffects& effects, TimePoint now) {
  if (!holds_lease_ || RoutesVersion() == 0 || !endpoints_known_ ||
      now - planned_at_ < WorkInterval()) {
    return;
  }
  planned_at_ = now;
  board_.Tick(now);
  sums_ = board_.Sums(now);
  const HeldLease lease{settings_.name, lease_.Epoch(), lease_.ValidUntil(), lease_.Announced()};
  placement_.SetEndpointLimits(limits_.ForTraffic());
  effects.placement = placement_.Tick(*routes_.Get().Current(), directory_.Endpoints(), board_,
                                      sums_.all, lease, now);
  PublishServing();
  view_changed_ = view_changed_ || !NearlyEqual(forecast_, effects.placement.forecast);
  forecast_ = std::move(effects.placement.forecast);
  UpdateBalances(now);
  const std::uint32_t live_nodes = CountNodes(now);
  view_changed_ = view_changed_ || live_nodes != live_nodes_;
  live_nodes_ = live_nodes;
  ChooseRelays(now);
  effects.statement = MakeStatement(now);
}

// Number of nodes that share limits. Nodes that have not reported to a new holder yet are not
// assumed to be dead.
std::uint32_t FleetState::CountNodes(TimePoint now) const {
  const std::uint32_t reported = std::max(1U, board_.Nodes(now));
  return now - held_since_ < kReportsCompleteAfter ? std::max(live_nodes_, reported) : reported;
}

// Records changes of the models that requests may be sent for in the serving log.
void FleetState::PublishServing() {
  const std::uint64_t version = ServingVersion();
  if (serving_log_.Get().Version() == version) {
    return;
  }
  if (serving_epoch_ == lease_.Epoch()) {
    serving_log_.Change().Update(placement_.Serving(), version);
  } else {
    serving_epoch_ = lease_.Epoch();
    serving_log_.Change() = ServingLog();
    serving_log_.Change().Replace(placement_.Serving(), version);
  }
  view_changed_ = true;
}

std::uint64_t FleetState::RoutesVersion() const {
  return routes_.Get().Version();
}

void FleetState::NotePeerRoutes(std::uint64_t version, TimePoint now) {
  newest_routes_ = std::max(newest_routes_, version);
  if (newest_routes_ > RoutesVersion() && !routes_behind_) {
    routes_behind_ = now;
  }
}

// A watch can fall silent without an error. When a peer has had a newer configuration for a while,
// the platform is read again.
void FleetState::CatchUpRoutes(FleetEffects& effects, TimePoint now) {
  if (newest_routes_ <= RoutesVersion()) {
    routes_behind_.reset();
  }
  if (!routes_behind_ || now - *routes_behind_ < kRoutesBehindGrace) {
    return;
  }
  effects.read_routes = true;
  routes_behind_ = now;
  LogLine("configuration_behind")
      .With("version", RoutesVersion())
      .With("peer_version", newest_routes_);
}

std::uint64_t FleetState::ServingVersion() const {
  constexpr unsigned kHalf = 32;
  return (lease_.Epoch() << kHalf) | (placement_.ServingVersion() & 0xffffffffU);
}

void FleetState::On(const fleet_message::RoutesSeen& seen, TimePoint now) {
  const RouteTablePtr former = routes_.Get().Current();
  if (seen.routes->Version() > RoutesVersion() && routes_.Change().Offer(seen.routes)) {
    OnRoutesChanged(former, now);
  }
}

void FleetState::On(const fleet_message::RoutesConfirmed&, TimePoint now) {
  configuration_source_.Confirmed(now);
}

void FleetState::OnRoutesChanged(const RouteTablePtr& former, TimePoint now) {
  MarkViewUrgent();
  if (former) {
    AddVersionsOfMovedStreams(*former, now);
  }
  const RouteTable& routes = *routes_.Get().Current();
  LogLine("configuration_in_force")
      .With("version", routes.Version())
      .With("routes", routes.Routes().size())
      .With("services", routes.Services().size());
}

void FleetState::On(const fleet_message::NodeSampled& sampled, TimePoint now) {
  board_.RecordCounts(sampled.counts, now);
  group_.RecordOwn(sampled.counts);
  spending_.RecordOwn(sampled.counts.spending);
  RecordCrashNews(sampled.counts.crash_news, now);
  RecordLimits(sampled.counts.limits, now);
  RecordReach(sampled.counts, now);
  for (const auto& [unit, count] : sampled.counts.units) {
    report_urgent_ = report_urgent_ || count.waiting > 0;
  }
}

void FleetState::On(const fleet_message::PeerCountsReceived& counted, TimePoint now) {
  board_.RecordCounts(counted.counts, now);
  group_.RecordMember(counted.counts, now);
  spending_.RecordMember(counted.counts.node, counted.counts.report_number, counted.counts.spending,
                         now);
  NotePeerRoutes(counted.counts.routes_version, now);
  if (counted.counts.has_era && counted.counts.endpoints_seen != StoreRevision()) {
    NoteEra(counted.counts.endpoints_seen.Era());
  }
  RecordCrashNews(counted.counts.crash_news, now);
  RecordLimits(counted.counts.limits, now);
}

void FleetState::On(const fleet_message::EngineReported& reported, TimePoint now) {
  if (holds_lease_) {
    placement_.OnReport(reported.instance, reported.report, now);
  }
  if (reported.report && directory_.ApplyReport(reported.instance, *reported.report)) {
    view_changed_ = true;
  }
}

void FleetState::On(const fleet_message::OrderEnded& ended, TimePoint now) {
  placement_.OrderEnded(ended.order, ended.outcome, now);
}

void FleetState::On(const fleet_message::StopRequested&, TimePoint) {
  stopping_ = true;
}

void FleetState::On(const fleet_message::Tick& tick, TimePoint now) {
  statement_due_ = true;
  if (tick.due) {
    lag_.RecordTick(*tick.due, now);
    LogLag(now);
  }
  if (directory_.Expire(now)) {
    MarkViewUrgent();
  }
  ExpireQuarantine(now);
  ExpireLimits(now);
  UpdateOwnGateways(now);
}

LoadTable FleetState::OtherLoads(TimePoint now) const {
  if (holds_lease_) {
    return sums_.Without(settings_.name);
  }
  if (!DigestFresh(now)) {
    return {};
  }
  LoadTable loads = received_->digest.loads;
  for (const auto& [endpoint, load] : group_.Sums(now).Without(settings_.name)) {
    loads[endpoint] += load;
  }
  return loads;
}

// Returns the holder's own forecast; on other nodes the one in the last digest, while that is
// fresh.
LoadForecastPtr FleetState::CurrentForecast(TimePoint now) const {
  if (holds_lease_) {
    return std::make_shared<const LoadForecast>(forecast_);
  }
  if (!DigestFresh(now) || received_->digest.loads_due.empty()) {
    return nullptr;
  }
  return std::make_shared<const LoadForecast>(
      ForecastFrom(received_->digest.loads_due, received_->made_at));
}

bool FleetState::DigestFresh(TimePoint now) const {
  return received_ && now - received_->made_at < kDigestFreshTime;
}

FleetViewPtr FleetState::MakeView(TimePoint now) const {
  auto view = std::make_shared<FleetView>();
  view->routes = routes_.Get().Current();
  view->endpoints_known = endpoints_known_;
  view->live_nodes = live_nodes_;
  view->quota = quota_snapshot_;
  view->quota_holder = holds_lease_ ? settings_.listen.peers : upstream_.Holder();
  view->quota_relay = quota_relay_;
  view->quarantine = quarantine_;
  view->holds_lease = holds_lease_;
  view->limits = limits_.ForTraffic();
  view->holder_permits_until = HolderPermitsUntil();
  view->deputy = Deputy();
  // A holder that has given its lease up goes on with the standbys that it chose, as the other
  // nodes do, until it hears of the next holder.
  const bool knows_own_roster = roster_ && (!received_ || received_->made_at < held_since_);
  view->standbys = !holds_lease_ && knows_own_roster ? roster_->StandbyAddresses() : Standbys();
  view->gateways = Gateways();
  view->load_forecast = CurrentForecast(now);
  view->software_versions = version_knowledge_.lately;
  view->knows_version_history = version_knowledge_.knows_history;
  view->settled_versions = version_knowledge_.settled;
  view->streams_may_begin = streams_may_begin_;
  const LoadTable loads = OtherLoads(now);
  const bool placed = holds_lease_ || DigestFresh(now);
  for (const auto& [instance, known] : directory_.Endpoints()) {
    if (known.record.leaving) {
      continue;
    }
    FleetEndpoint endpoint{known.record, known.unlisted_since.has_value(), {}};
    if (const auto* served = placed ? serving_log_.Get().Find(instance) : nullptr) {
      endpoint.record.models = *served;
    }
    if (const auto load = loads.find(KeyOf(instance)); load != loads.end()) {
      endpoint.other_nodes_load = load->second;
    }
    const auto index = static_cast<std::uint32_t>(view->endpoints.size());
    view->by_service[known.record.service].push_back(index);
    view->endpoints.push_back(std::move(endpoint));
  }
  return view;
}

}  // namespace rudderloom
