#include "rudderloom/fleet/fleet_state.hpp"

#include <algorithm>  // for max
#include <utility>    // for exchange

#include "rudderloom/base/log_line.hpp"  // for LogLine
#include "rudderloom/base/spread.hpp"    // for SpreadOf

namespace rudderloom {

namespace {

// Part of the drain time in which an endpoint without an entry may still be used.
constexpr int kKeepGoneParts = 2;
// Part of the time in which a change must be in force up to which what another node tells may be
// old: the rest is for a call to the store, and for a change of the list to take effect.
constexpr double kSharedPart = 0.4;
// A watch is given so long to bring a configuration that a peer has already.
constexpr Duration kRoutesBehind{400};
// Planning right after each message would cost more than it brings: a plan, a statement for the
// other nodes and a view for traffic cost in proportion to the fleet, whose messages come as often
// as there are nodes and endpoints.
// On a node with little processor time the same work takes longer, and leaves less for the rest:
// with plans each 30 ms, a holder with 0.12 of a core beside 62 nodes learned 2.8 s late that
// endpoints left.
constexpr Duration kWorkPause{10};
constexpr std::uint32_t kWorkPauseNodes = 16;
constexpr Duration kWorkPauseMost{200};
constexpr Duration kWordFresh{2'000};
// Nodes that share limits, until the holder has counted them.
constexpr std::uint32_t kAssumedNodes = 12;
// By then all nodes have found a new holder and reported to it.
constexpr Duration kReportsComplete{2'000};

Duration OldestShared(Duration bound) {
  return std::chrono::duration_cast<Duration>(bound * kSharedPart);
}

// Numbers of an earlier life of the process are told apart from this one's.
std::uint64_t FirstReportNumber(const std::string& incarnation) {
  constexpr unsigned kRoomForReports = 31;
  return (std::hash<std::string>{}(incarnation) << kRoomForReports) + 1;
}

SourceChoice MakeSource(const FleetSettings& settings, Duration bound) {
  const StartKind start = settings.first_start ? StartKind::kFirst : StartKind::kRestart;
  return {OldestShared(bound), start, SpreadOf(settings.name)};
}

}  // namespace

Followings FollowingsAtStart(const FleetSettings& settings) {
  const Following following = settings.first_start ? Following::kHolder : Following::kStoreOnce;
  return {following, following};
}

FleetState::FleetState(FleetSettings settings, std::string incarnation)
    : settings_(std::move(settings)),
      incarnation_(std::move(incarnation)),
      directory_(settings_.bounds.drain / kKeepGoneParts),
      endpoint_source_(MakeSource(settings_, settings_.bounds.drain)),
      configuration_source_(MakeSource(settings_, settings_.bounds.configuration)),
      followings_(FollowingsAtStart(settings_)),
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
  // Many nodes' counts come many times between two ticks: the next tick works with all of them.
  const bool counted = std::holds_alternative<fleet_message::PeerCounted>(any);
  const bool granted = std::holds_alternative<fleet_message::RequestGranted>(any);
  if ((counted && live_nodes_ > kWorkPauseNodes) || granted) {
    return effects;
  }
  MoveLease(effects, now);
  MovePlacement(effects, now);
  AnnounceOrders(effects, now);
  CatchUpRoutes(effects, now);
  MoveFollowing(effects, now);
  MoveWord(effects, now);
  if (std::exchange(era_is_news_, false)) {
    effects.store_era = store_era_;
  }
  if (limits_.TakeChanged()) {
    ChangedForTraffic();
  }
  if (ViewDue(now)) {
    changed_ = false;
    changed_much_ = false;
    viewed_at_ = now;
    effects.view = MakeView(now);
  }
  return effects;
}

Duration FleetState::WorkPause() const {
  if (live_nodes_ <= kWorkPauseNodes) {
    return kWorkPause;
  }
  const double share = std::min(1.0, settings_.processor_share);
  const auto pause = static_cast<double>((kWorkPause * (live_nodes_ / kWorkPauseNodes)).count());
  return std::min(kWorkPauseMost, Duration(static_cast<Duration::rep>(pause / share)));
}

void FleetState::ChangedForTraffic() {
  changed_ = true;
  changed_much_ = true;
}

bool FleetState::ViewDue(TimePoint now) const {
  return changed_ && (changed_much_ || now - viewed_at_ >= WorkPause());
}

// Lets the holder plan and order; what it may order is bounded by the lease's time.
void FleetState::MovePlacement(FleetEffects& effects, TimePoint now) {
  if (!holds_ || RoutesVersion() == 0 || !endpoints_known_ || now - planned_at_ < WorkPause()) {
    return;
  }
  planned_at_ = now;
  board_.Tick(now);
  sums_ = board_.Sums(now);
  const HeldLease lease{settings_.name, lease_.Epoch(), lease_.ValidUntil(), lease_.Announced()};
  placement_.NoteLimits(limits_.ForTraffic());
  effects.placement = placement_.Tick(*routes_.Get().Current(), directory_.Endpoints(), board_,
                                      sums_.all, lease, now);
  PublishServing();
  changed_ = changed_ || !NearlyEqual(forecast_, effects.placement.forecast);
  forecast_ = std::move(effects.placement.forecast);
  MoveBalances(now);
  live_nodes_ = CountNodes(now);
  ChooseRelays(now);
  effects.statement = MakeStatement(now);
}

// Nodes that share limits. Those that have not reported to a new holder yet are not dead.
std::uint32_t FleetState::CountNodes(TimePoint now) const {
  const std::uint32_t reported = std::max(1U, board_.Nodes(now));
  return now - held_since_ < kReportsComplete ? std::max(live_nodes_, reported) : reported;
}

// Tells in the log what has changed in what requests may be sent for.
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
  changed_ = true;
}

std::uint64_t FleetState::RoutesVersion() const {
  return routes_.Get().Version();
}

void FleetState::PeerHasRoutes(std::uint64_t version, TimePoint now) {
  newest_routes_ = std::max(newest_routes_, version);
  if (newest_routes_ > RoutesVersion() && !routes_behind_) {
    routes_behind_ = now;
  }
}

// A watch can stay silent without an error. When a peer's configuration is newer for a while, the
// platform is asked again.
void FleetState::CatchUpRoutes(FleetEffects& effects, TimePoint now) {
  if (newest_routes_ <= RoutesVersion()) {
    routes_behind_.reset();
  }
  if (!routes_behind_ || now - *routes_behind_ < kRoutesBehind) {
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

void FleetState::On(const fleet_message::RoutesSeen& seen, TimePoint) {
  if (seen.routes->Version() > RoutesVersion() && routes_.Change().Offer(seen.routes)) {
    RoutesInForce();
  }
}

void FleetState::On(const fleet_message::RoutesConfirmed&, TimePoint now) {
  configuration_source_.Confirmed(now);
}

void FleetState::RoutesInForce() {
  ChangedForTraffic();
  const RouteTable& routes = *routes_.Get().Current();
  LogLine("configuration_in_force")
      .With("version", routes.Version())
      .With("routes", routes.Routes().size())
      .With("services", routes.Services().size());
}

void FleetState::On(const fleet_message::NodeSampled& sampled, TimePoint now) {
  board_.Counted(sampled.counts, now);
  group_.CountedSelf(sampled.counts);
  spending_.CountedSelf(sampled.counts.spending);
  TakeCrashNews(sampled.counts.crash_news, now);
  TakeLimits(sampled.counts.limits, now);
  for (const auto& [unit, count] : sampled.counts.units) {
    urgent_ = urgent_ || count.waiting > 0;
  }
}

void FleetState::On(const fleet_message::PeerCounted& counted, TimePoint now) {
  board_.Counted(counted.counts, now);
  group_.Counted(counted.counts, now);
  spending_.Counted(counted.counts.node, counted.counts.report_number, counted.counts.spending,
                    now);
  PeerHasRoutes(counted.counts.routes_version, now);
  if (counted.counts.tells_era && counted.counts.endpoints_seen != StoreRevision()) {
    NoteEra(counted.counts.endpoints_seen.Era());
  }
  TakeCrashNews(counted.counts.crash_news, now);
  TakeLimits(counted.counts.limits, now);
}

void FleetState::On(const fleet_message::EngineReported& reported, TimePoint now) {
  if (holds_) {
    placement_.Reported(reported.instance, reported.report, now);
  }
  if (reported.report && directory_.Reported(reported.instance, *reported.report)) {
    changed_ = true;
  }
}

void FleetState::On(const fleet_message::OrderEnded& ended, TimePoint now) {
  placement_.OrderEnded(ended.order, ended.outcome, now);
}

void FleetState::On(const fleet_message::StopAsked&, TimePoint) {
  stopping_ = true;
}

void FleetState::On(const fleet_message::Tick& tick, TimePoint now) {
  retell_ = true;
  if (tick.due) {
    lag_.Handled(*tick.due, now);
    LogLag(now);
  }
  if (directory_.Expire(now)) {
    ChangedForTraffic();
  }
  ExpireQuarantine(now);
  ExpireLimits(now);
}

LoadTable FleetState::OtherLoads(TimePoint now) const {
  if (holds_) {
    return sums_.Without(settings_.name);
  }
  if (!WordFresh(now)) {
    return {};
  }
  LoadTable loads = heard_->digest.loads;
  for (const auto& [endpoint, load] : group_.Sums(now).Without(settings_.name)) {
    loads[endpoint] += load;
  }
  return loads;
}

// The holder's own forecast; on other nodes the one in its last digest, while that is fresh.
LoadForecastPtr FleetState::CurrentForecast(TimePoint now) const {
  if (holds_) {
    return std::make_shared<const LoadForecast>(forecast_);
  }
  if (!WordFresh(now) || heard_->digest.loads_due.empty()) {
    return nullptr;
  }
  return std::make_shared<const LoadForecast>(
      ForecastFrom(heard_->digest.loads_due, heard_->made_at));
}

bool FleetState::WordFresh(TimePoint now) const {
  return heard_ && now - heard_->made_at < kWordFresh;
}

FleetViewPtr FleetState::MakeView(TimePoint now) const {
  auto view = std::make_shared<FleetView>();
  view->routes = routes_.Get().Current();
  view->endpoints_known = endpoints_known_;
  view->live_nodes = live_nodes_;
  view->quota = quota_word_;
  view->quota_holder = holds_ ? settings_.listen.peers : upstream_.Holder();
  view->quota_relay = quota_relay_;
  view->quarantine = quarantine_;
  view->limits = limits_.ForTraffic();
  view->holder_permits_until = HolderPermitsUntil();
  view->deputy = Deputy();
  view->load_forecast = CurrentForecast(now);
  const LoadTable loads = OtherLoads(now);
  const bool placed = holds_ || WordFresh(now);
  for (const auto& [instance, known] : directory_.Endpoints()) {
    if (known.record.leaving) {
      continue;
    }
    FleetEndpoint endpoint{known.record, known.gone_at.has_value(), {}};
    if (const auto* served = placed ? serving_log_.Get().Find(instance) : nullptr) {
      endpoint.record.models = *served;
    }
    if (const auto load = loads.find(KeyOf(instance)); load != loads.end()) {
      endpoint.others = load->second;
    }
    const auto index = static_cast<std::uint32_t>(view->endpoints.size());
    view->by_service[known.record.service].push_back(index);
    view->endpoints.push_back(std::move(endpoint));
  }
  return view;
}

}  // namespace rudderloom
