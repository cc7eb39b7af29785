#include "rudderloom/fleet/fleet_state.hpp"

#include <algorithm>  // for max

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

// Part of the drain time in which an endpoint without an entry may still be used.
constexpr int kKeepGoneParts = 2;
// Part of the drain time up to which the holder's list of endpoints may be old.
constexpr double kSharedPart = 0.4;
constexpr Duration kLeaseReadPause{150};
// Others than the holder look at the lease this often, at the price of a stale read.
constexpr Duration kLeaseLookEvery{1'000};
// So many nodes look at the lease at the full rate; more of them share it.
constexpr std::uint32_t kLookingNodes = 8;
// Without a word of the holder for so long, the lease is looked at more often.
constexpr Duration kDoubtAfter{700};
constexpr Duration kLeaseDoubtEvery{300};
// Standbys see each renewal, which comes each second, soon enough to be ahead of all others.
constexpr Duration kStandbyLookEvery{500};
// Nodes that know of standbys let these go first for so long.
constexpr Duration kYieldToStandbys{1'000};
// Nodes that are too slow for the lease let all others go first.
constexpr Duration kYieldOverloaded{2'000};
constexpr Duration kRestAfterResigning{10'000};
// Taking the lease over is more work than holding it: all engines' reports and all nodes' counts
// come at once.
constexpr Duration kHoldAtLeast{4'000};
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
constexpr Duration kLagLoggedFrom{100};
constexpr Duration kLogLagEvery{1'000};
constexpr Duration kDigestFresh{2'000};
// Nodes that share limits, until the holder has counted them.
constexpr std::uint32_t kAssumedNodes = 12;
// By then all nodes have found a new holder and reported to it.
constexpr Duration kReportsComplete{2'000};

Duration OldestShared(Duration drain) {
  return std::chrono::duration_cast<Duration>(drain * kSharedPart);
}

}  // namespace

FleetState::FleetState(FleetSettings settings, std::string incarnation)
    : settings_(std::move(settings)),
      incarnation_(std::move(incarnation)),
      directory_(settings_.bounds.drain / kKeepGoneParts),
      source_(OldestShared(settings_.bounds.drain)),
      lease_(settings_.listen.peers,
             incarnation_,
             settings_.bounds.lease,
             YieldTime(settings_.processor_share)),
      placement_(settings_.bounds.load_window,
                 settings_.bounds.load_overshoot,
                 settings_.bounds.lease),
      live_nodes_(kAssumedNodes) {}

FleetEffects FleetState::Handle(const fleet_message::Any& any, TimePoint now) {
  std::visit([&](const auto& message) { On(message, now); }, any);
  FleetEffects effects;
  // Many nodes' counts come many times between two ticks: the next tick works with all of them.
  if (std::holds_alternative<fleet_message::PeerCounted>(any) && live_nodes_ > kWorkPauseNodes) {
    return effects;
  }
  MoveLease(effects, now);
  MovePlacement(effects, now);
  AnnounceOrders(effects, now);
  CatchUpRoutes(effects, now);
  MoveFollowing(effects, now);
  ReportCounts(effects);
  if (ViewDue(now)) {
    changed_ = false;
    changed_much_ = false;
    viewed_at_ = now;
    effects.view = MakeView(now);
  }
  return effects;
}

// The holder has not answered lately, or says that it can't renew its lease: whether it still does
// is looked at more often.
bool FleetState::DoubtsHolder(TimePoint now) const {
  return !holds_ && heard_ && (heard_->renewals_fail || now - heard_->at >= kDoubtAfter);
}

// Each look has its price: a few standbys look often, and all other nodes together about as often
// as a few would. Without standbys a fleet of 63 nodes took 5 s to find that its holder was cut off
// from the store; the ceiling of loads then left its models 10 s behind the demand.
Duration FleetState::LeaseLookPause(TimePoint now) const {
  const bool doubts = DoubtsHolder(now);
  if (heard_ && heard_->standby) {
    return doubts ? kLeaseDoubtEvery : kStandbyLookEvery;
  }
  const Duration pause = doubts ? kLeaseDoubtEvery : kLeaseLookEvery;
  return pause * std::max(1U, live_nodes_ / kLookingNodes);
}

// A holder is judged by whether it renews, which a node does long after its other work is too late
// to be of use. One that was slowed 8 times beside 85 nodes ordered nothing for up to 8 s at a
// time, and took its own lapsed lease back before others were sure that they might have it.
bool FleetState::ShouldResign(TimePoint now) const {
  return holds_ && lag_.Overloaded() && now - held_since_ >= kHoldAtLeast &&
         !board_.Standbys(settings_.name, now).empty();
}

// No order may reach an endpoint after the lease was given up: the next holder waits only as long
// as an order may take that was sent in time.
void FleetState::MoveResignation(TimePoint now) {
  if (!resigning_ && ShouldResign(now)) {
    resigning_ = true;
    resigned_at_ = now;
    LogLine("lease_resigned", Severity::kWarning)
        .With("epoch", lease_.Epoch())
        .With("mean_lag_ms", lag_.Mean().count());
  }
  if (placement_.OrdersUnderWay()) {
    return;
  }
  if (stopping_) {
    lease_.Stop();
  }
  if (resigning_) {
    lease_.HandOver();
  }
}

// How long others may take a free lease before this node does.
Duration FleetState::LeaseYield(TimePoint now) const {
  const bool rests = resigned_at_ && now - *resigned_at_ < kRestAfterResigning;
  if (rests || lag_.Overloaded()) {
    return kYieldOverloaded;
  }
  return heard_ && !heard_->standby ? kYieldToStandbys : Duration(0);
}

// Reads and writes the lease's object when it is time to.
void FleetState::MoveLease(FleetEffects& effects, TimePoint now) {
  MoveResignation(now);
  lease_.YieldFor(LeaseYield(now));
  if (holds_) {
    // Every write names all that was ordered up to now.
    const OrderAnnouncements& announcements = placement_.Announcements();
    lease_.Announce(announcements.Own(now), announcements.Inherited(now));
  }
  if (!lease_reading_ && lease_.NeedsRead() && now - lease_read_at_ >= kLeaseReadPause) {
    effects.lease_read = LeaseRead::kFresh;
  } else if (!lease_reading_ && !lease_.Holds(now) && now - lease_read_at_ >= LeaseLookPause(now)) {
    effects.lease_read = LeaseRead::kMayBeStale;
  }
  if (effects.lease_read) {
    lease_reading_ = true;
    lease_read_at_ = now;
  }
  effects.lease_write = lease_.NextWrite(now);
  effects.released = stopping_ && lease_.Released();
  if (lease_.HolderAddress() != known_holder_) {
    known_holder_ = lease_.HolderAddress();
    effects.holder = known_holder_;
    LogLine("holder_seen").With("holder", known_holder_).With("epoch", lease_.Epoch());
  }
  resigning_ = resigning_ && !lease_.Released();
  const bool holds = lease_.Holds(now) && !resigning_ && !stopping_;
  if (holds == holds_) {
    return;
  }
  holds_ = holds;
  ChangedForTraffic();
  if (holds) {
    FormerLease former = lease_.Former();
    if (lease_.Epoch() == held_epoch_) {
      former.who = FormerHolder::kThisProcess;
    }
    placement_.Reset(former, now);
    held_epoch_ = lease_.Epoch();
    held_since_ = now;
  }
  effects.statement = MakeStatement(now);
  LogLine(holds ? "lease_taken" : "lease_lost").With("epoch", lease_.Epoch());
}

// Orders are sent only to endpoints that the lease's record names, so it must name them first.
void FleetState::AnnounceOrders(FleetEffects& effects, TimePoint now) {
  if (!holds_ || effects.lease_write) {
    return;
  }
  const OrderAnnouncements& announcements = placement_.Announcements();
  lease_.Announce(announcements.Own(now), announcements.Inherited(now));
  effects.lease_write = lease_.NextWrite(now);
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
  if (!holds_ || !routes_.Current() || !endpoints_known_ || now - planned_at_ < WorkPause()) {
    return;
  }
  planned_at_ = now;
  board_.Tick(now);
  sums_ = board_.Sums(now);
  const HeldLease lease{settings_.name, lease_.Epoch(), lease_.ValidUntil(), lease_.Announced()};
  effects.placement =
      placement_.Tick(*routes_.Current(), directory_.Endpoints(), board_, sums_.all, lease, now);
  PublishServing();
  live_nodes_ = CountNodes(now);
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
  return routes_.Current() ? routes_.Current()->Version() : 0;
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

void FleetState::ReportCounts(FleetEffects& effects) {
  if (!sampled_) {
    return;
  }
  sampled_->processor_share = settings_.processor_share;
  sampled_->routes_version = RoutesVersion();
  sampled_->endpoints_seen = endpoint_log_.Get().Version();
  sampled_->serving_seen = serving_log_.Get().Version();
  effects.counts = CountsToReport{std::move(*sampled_), urgent_};
  sampled_.reset();
  urgent_ = false;
}

std::uint64_t FleetState::ServingVersion() const {
  constexpr unsigned kHalf = 32;
  return (lease_.Epoch() << kHalf) | (placement_.ServingVersion() & 0xffffffffU);
}

std::shared_ptr<const HolderStatement> FleetState::MakeStatement(TimePoint now) {
  auto statement = std::make_shared<HolderStatement>();
  statement->common.holds = holds_;
  if (!holds_) {
    return statement;
  }
  statement->common.epoch = lease_.Epoch();
  statement->common.nodes = live_nodes_;
  statement->common.routes_version = RoutesVersion();
  statement->common.renewals_fail = lease_.RenewalsFail(now);
  statement->loads = sums_;
  statement->standbys = board_.Standbys(settings_.name, now);
  statement->endpoints = endpoint_log_.Copy();
  statement->serving = serving_log_.Copy();
  statement->endpoints_confirmed_at = source_.ConfirmedAt();
  return statement;
}

bool FleetState::DigestFresh(TimePoint now) const {
  return heard_ && now - heard_->at < kDigestFresh;
}

void FleetState::On(const fleet_message::RoutesSeen& seen, TimePoint) {
  if (!routes_.Offer(seen.routes)) {
    return;
  }
  ChangedForTraffic();
  LogLine("configuration_in_force")
      .With("version", seen.routes->Version())
      .With("routes", seen.routes->Routes().size())
      .With("services", seen.routes->Services().size());
}

void FleetState::On(const fleet_message::LeaseSeen& seen, TimePoint now) {
  lease_reading_ = false;
  lease_.Seen(seen.record, seen.version, seen.fresh, now);
}

void FleetState::On(const fleet_message::LeaseUnread&, TimePoint now) {
  lease_reading_ = false;
  lease_.Unread(now);
}

void FleetState::On(const fleet_message::LeaseWritten& written, TimePoint now) {
  if (written.version) {
    lease_.Written(*written.version, now);
  } else {
    lease_.WriteFailed();
  }
}

void FleetState::On(const fleet_message::NodeSampled& sampled, TimePoint now) {
  board_.Counted(sampled.counts, now);
  for (const auto& [unit, count] : sampled.counts.units) {
    urgent_ = urgent_ || count.waiting > 0;
  }
  sampled_ = sampled.counts;
}

void FleetState::On(const fleet_message::PeerCounted& counted, TimePoint now) {
  board_.Counted(counted.counts, now);
  PeerHasRoutes(counted.counts.routes_version, now);
}

void FleetState::On(const fleet_message::DigestHeard& heard, TimePoint now) {
  const HolderDigest& digest = heard.digest;
  if (holds_ || !digest.holds || (heard_ && digest.epoch < heard_->epoch)) {
    return;
  }
  PeerHasRoutes(digest.routes_version, now);
  if (digest.endpoints_age) {
    source_.Heard(*digest.endpoints_age, now);
    TakeEndpoints(digest.endpoints, EndpointTeller::kHolder, now);
  }
  if (serving_log_.Change().Apply(digest.serving)) {
    for (const auto& [instance, models] : digest.serving.values) {
      directory_.Serves(instance, models);
    }
  }
  heard_ = HeardDigest{digest.epoch, digest.loads, digest.standby, digest.renewals_fail, now};
  live_nodes_ = std::max(1U, digest.nodes);
  changed_ = true;
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

// A node that is short of processor time decides late on everything, which no other line shows.
void FleetState::LogLag(TimePoint now) {
  if (lag_.Mean() < kLagLoggedFrom || now - lag_logged_at_ < kLogLagEvery) {
    return;
  }
  lag_logged_at_ = now;
  LogLine("control_late", Severity::kWarning)
      .With("mean_ms", lag_.Mean().count())
      .With("holds_lease", holds_ ? "yes" : "no");
}

void FleetState::On(const fleet_message::Tick& tick, TimePoint now) {
  if (tick.due) {
    lag_.Handled(*tick.due, now);
    LogLag(now);
  }
  if (directory_.Expire(now)) {
    ChangedForTraffic();
  }
}

FleetViewPtr FleetState::MakeView(TimePoint now) const {
  auto view = std::make_shared<FleetView>();
  view->routes = routes_.Current();
  view->endpoints_known = endpoints_known_;
  view->live_nodes = live_nodes_;
  LoadTable loads;
  if (holds_) {
    loads = sums_.Without(settings_.name);
  } else if (DigestFresh(now)) {
    loads = heard_->loads;
  }
  const bool placed = holds_ || DigestFresh(now);
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
