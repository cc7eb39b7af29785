#include "rudderloom/fleet/fleet_shell.hpp"

#include <optional>  // for optional

#include "rudderloom/base/log_line.hpp"  // for LogLine
#include "rudderloom/http/pause.hpp"     // for PauseFor

namespace rudderloom {

namespace {

constexpr Duration kTick{50};
constexpr const char* kLeaseName = "placement";
constexpr Duration kOrderLimit{700};
constexpr Duration kReportLimit{400};
constexpr Duration kConnectLimit{300};
constexpr Duration kBackoffLeast{100};
// Calls that fail are priced too, and their number grows with the nodes. A configuration may take 3
// s from when the store is well again.
constexpr Duration kBackoffMost{1'600};
// Changes that come within this time are read with one call; each call has its price.
constexpr Duration kBetweenConfigurations{250};
// Part of the drain time within which an entry's change may wait to be read.
constexpr double kEndpointPart = 0.4;
// The same for the node on which the others rely; its watches are also over after this time.
constexpr double kEndpointForOthersPart = 0.125;
// The same for the configuration, as part of the time in which it must be in force.
constexpr double kRoutesForOthersPart = 0.125;
// In a small fleet each node has a watch of its own. The holder's also finds a newer configuration
// soon, whatever becomes of the watch: an open connection may go silent without an error. The
// others hear of it from that node, so their watches may last long; each answer has its price.
constexpr Duration kRoutesWatchOfHolder{1'500};
constexpr Duration kRoutesWatchWithHolder{25'000};
// A watch that began before a node took the lease lasts on for its own, longer time, and says
// nothing if its connection has fallen silent: three nodes did not know a configuration for 7 s.
// The holder's own watch and a call that fails take that long together.
constexpr Duration kRoutesConfirmedWithin{2'000};
// About the time of a call that fails: one at a time, without a pause.
constexpr Duration kBetweenReads{500};
// On that node a list finds what a watch has left out.
constexpr Duration kListForOthersEvery{20'000};
constexpr std::size_t kUnreadableTold = 64;
constexpr std::size_t kNameShown = 64;  // letters

Duration PartOf(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

// Empty: the store's own time.
std::optional<Duration> RoutesWatchTime(const Followings& followings, Duration bound) {
  if (followings.configuration == Following::kForOthers) {
    return PartOf(bound, kRoutesForOthersPart);
  }
  switch (followings.endpoints) {
    case Following::kForOthers:
      return kRoutesWatchOfHolder;
    case Following::kHolder:
      return kRoutesWatchWithHolder;
    case Following::kStore:
    case Following::kStoreOnce:
      return std::nullopt;
  }
  return std::nullopt;
}

// Lets a follower call the store as far as this way of following does.
void SetPace(FollowPace& pace, Following following) {
  pace.once = following == Following::kStoreOnce;
  if (following == Following::kHolder) {
    pace.Pause();
  } else {
    pace.Resume();
  }
}

}  // namespace

FleetShell::FleetShell(asio::io_context& context,
                       FleetSettings settings,
                       FleetFormats formats,
                       ObjectStore& store,
                       Metrics& metrics,
                       std::function<void(fleet_message::Any)> post)
    : context_(context),
      settings_(std::move(settings)),
      formats_(std::move(formats)),
      store_(store),
      metrics_(metrics),
      post_(std::move(post)),
      client_(context),
      routes_pace_(std::make_shared<FollowPace>(context)),
      endpoints_pace_(std::make_shared<FollowPace>(context)) {
  routes_pace_->least_between = kBetweenConfigurations;
  Follow(FollowingsAtStart(settings_));
}

void FleetShell::Start() {
  asio::co_spawn(context_, FollowRoutes(), asio::detached);
  asio::co_spawn(context_, FollowEndpoints(), asio::detached);
  asio::co_spawn(context_, TickLoop(), asio::detached);
}

Backoff FleetShell::MakeBackoff(const std::string& purpose) const {
  return Backoff(kBackoffLeast, kBackoffMost, std::hash<std::string>{}(settings_.name + purpose));
}

void FleetShell::Failed(const std::string& kind, const StoreError& error) {
  metrics_.Count({"rudderloom_platform_errors_total", "kind", NameOf(error.kind)});
  if (failing_.insert(kind).second) {
    LogLine("dependency_lost", Severity::kWarning)
        .With("dependency", "store")
        .With("kind", kind)
        .With("error", error.message);
  }
}

void FleetShell::Answered(const std::string& kind) {
  if (failing_.erase(kind) > 0) {
    LogLine("dependency_regained").With("dependency", "store").With("kind", kind);
  }
}

void FleetShell::OfferRoutes(const StoredObject& object) {
  if (object.name != formats_.configuration_name) {
    return;
  }
  auto read = formats_.read_routes(object);
  if (auto* error = std::get_if<FormatError>(&read)) {
    LogLine("configuration_refused", Severity::kError).With("error", error->message);
    return;
  }
  post_(fleet_message::RoutesSeen{std::get<RouteTablePtr>(std::move(read))});
}

Awaitable<void> FleetShell::FollowRoutes() {
  const std::string kind = formats_.configuration_kind;
  FollowHooks hooks;
  hooks.on_list = [this, kind](const ObjectList& list) {
    Answered(kind);
    for (const StoredObject& object : list.objects) {
      OfferRoutes(object);
    }
    RoutesConfirmed();
  };
  hooks.on_reached = [this](const StoreRevision&) { RoutesConfirmed(); };
  hooks.on_event = [this, kind](const WatchEvent& event) {
    Answered(kind);
    if (event.kind == WatchEvent::Kind::kPut) {
      OfferRoutes(event.object);
    }
  };
  hooks.on_error = [this, kind](const StoreError& error) { Failed(kind, error); };
  FollowOptions options{kind, MakeBackoff(kind), routes_pace_, formats_.lease_kind};
  co_await FollowKind(context_, store_, std::move(options), std::move(hooks));
}

Awaitable<void> FleetShell::ReadRoutes() {
  const std::string kind = formats_.configuration_kind;
  auto listed = co_await store_.List(kind);
  reading_routes_ = false;
  if (auto* error = std::get_if<StoreError>(&listed)) {
    Failed(kind, *error);
    co_return;
  }
  for (const StoredObject& object : std::get<ObjectList>(listed).objects) {
    OfferRoutes(object);
  }
  RoutesConfirmed();
}

void FleetShell::RoutesConfirmed() {
  routes_confirmed_at_ = Now();
  post_(fleet_message::RoutesConfirmed{});
}

void FleetShell::ConfirmRoutes() {
  const TimePoint now = Now();
  if (!follows_for_others_ || reading_routes_ || now - routes_read_at_ < kBetweenReads ||
      now - routes_confirmed_at_ < kRoutesConfirmedWithin) {
    return;
  }
  routes_read_at_ = now;
  reading_routes_ = true;
  asio::co_spawn(context_, ReadRoutes(), asio::detached);
}

// An entry that can't be read names no endpoint to use. Other writers may write many of them: each
// name is told once, and only so many.
std::optional<EndpointRecord> FleetShell::ReadEndpoint(const StoredObject& object) {
  auto record = formats_.read_endpoint(object);
  if (record || unreadable_.size() >= kUnreadableTold) {
    return record;
  }
  std::string name = object.name.substr(0, kNameShown);
  if (unreadable_.insert(name).second) {
    metrics_.Count({"rudderloom_unreadable_entries_total"});
    LogLine("endpoint_unreadable", Severity::kWarning).With("endpoint", name);
  }
  return record;
}

Awaitable<void> FleetShell::FollowEndpoints() {
  const std::string kind = formats_.endpoint_kind;
  FollowHooks hooks;
  hooks.on_list = [this, kind](const ObjectList& list) {
    Answered(kind);
    fleet_message::EndpointsListed listed;
    listed.revision = list.version;
    for (const StoredObject& object : list.objects) {
      if (auto record = ReadEndpoint(object)) {
        listed.records.push_back(std::move(*record));
      }
    }
    lives_.Listed(listed.records);
    post_(std::move(listed));
  };
  hooks.on_event = [this](const WatchEvent& event) {
    const bool gone = event.kind == WatchEvent::Kind::kGone;
    auto record = gone ? std::nullopt : ReadEndpoint(event.object);
    if (record) {
      lives_.Put(std::move(*record));
    } else {
      lives_.Gone(event.object.name);
    }
  };
  hooks.on_reached = [this, kind](const StoreRevision& version) {
    Answered(kind);
    EndpointChanges changes = lives_.Take();
    changes.version = version;
    post_(fleet_message::EndpointsChanged{std::move(changes)});
  };
  hooks.on_error = [this, kind](const StoreError& error) { Failed(kind, error); };
  FollowOptions options{kind, MakeBackoff(kind), endpoints_pace_, formats_.lease_kind};
  co_await FollowKind(context_, store_, std::move(options), std::move(hooks));
}

void FleetShell::Execute(FleetEffects effects) {
  asio::post(context_, [this, effects = std::move(effects)]() mutable {
    if (effects.store_era) {
      store_.NoteEra(*effects.store_era);
    }
    if (effects.lease_read) {
      asio::co_spawn(context_, ReadLease(*effects.lease_read), asio::detached);
    }
    if (effects.lease_write) {
      asio::co_spawn(context_, WriteLease(std::move(*effects.lease_write)), asio::detached);
    }
    if (effects.followings) {
      Follow(*effects.followings);
    }
    // A large configuration takes a small node's link for longer than the pause between two wishes;
    // several reads at once would end none of them.
    if (effects.read_routes && !reading_routes_) {
      reading_routes_ = true;
      asio::co_spawn(context_, ReadRoutes(), asio::detached);
    }
    for (ReportCall& call : effects.placement.report_calls) {
      asio::co_spawn(context_, AskReport(std::move(call)), asio::detached);
    }
    for (PlacementOrder& order : effects.placement.orders) {
      asio::co_spawn(context_, SendOrder(std::move(order)), asio::detached);
    }
  });
}

void FleetShell::Follow(const Followings& followings) {
  follows_for_others_ = followings.endpoints == Following::kForOthers;
  routes_pace_->watch_time = RoutesWatchTime(followings, settings_.bounds.configuration);
  const Duration drain = settings_.bounds.drain;
  endpoints_pace_->least_between =
      PartOf(drain, follows_for_others_ ? kEndpointForOthersPart : kEndpointPart);
  endpoints_pace_->watch_time.reset();
  endpoints_pace_->list_every.reset();
  if (follows_for_others_) {
    endpoints_pace_->watch_time = endpoints_pace_->least_between;
    endpoints_pace_->list_every = kListForOthersEvery;
  }
  // To go on as before is no reason for another list.
  if (!followings_ || followings_->endpoints != followings.endpoints) {
    SetPace(*endpoints_pace_, followings.endpoints);
  }
  if (!followings_ || followings_->configuration != followings.configuration) {
    SetPace(*routes_pace_, followings.configuration);
  }
  followings_ = followings;
}

Awaitable<void> FleetShell::ReadLease(LeaseRead how) {
  const std::string kind = formats_.lease_kind;
  if (how == LeaseRead::kMayBeStale) {
    auto listed = co_await store_.ListStale(kind);
    if (auto* error = std::get_if<StoreError>(&listed)) {
      Failed(kind, *error);
      post_(fleet_message::LeaseUnread{});
      co_return;
    }
    Answered(kind);
    fleet_message::LeaseSeen seen;
    seen.fresh = false;
    for (const StoredObject& object : std::get<ObjectList>(listed).objects) {
      if (object.name == kLeaseName) {
        seen.record = LeaseRecordFromJson(object.spec);
        seen.version = object.version.value_or(StoreRevision());
      }
    }
    if (!seen.record) {
      seen.version = StoreRevision(std::get<ObjectList>(listed).version.Era(), 0);
    }
    post_(std::move(seen));
    co_return;
  }
  std::string name(kLeaseName);
  auto read = co_await store_.Get(kind, std::move(name));
  if (auto* error = std::get_if<StoreError>(&read)) {
    if (error->kind == StoreError::Kind::kNotFound) {
      post_(fleet_message::LeaseSeen{std::nullopt, StoreRevision(error->era, 0)});
    } else {
      Failed(kind, *error);
      post_(fleet_message::LeaseUnread{});
    }
    co_return;
  }
  Answered(kind);
  const StoredObject& object = std::get<StoredObject>(read);
  post_(fleet_message::LeaseSeen{LeaseRecordFromJson(object.spec),
                                 object.version.value_or(StoreRevision())});
}

Awaitable<void> FleetShell::WriteLease(LeaseWrite write) {
  const std::string version = TextOf(write.version);
  StoredObject object;
  object.name = kLeaseName;
  object.version = write.version;
  object.spec = ToJson(write.record);
  auto written = co_await store_.Put(formats_.lease_kind, std::move(object));
  fleet_message::LeaseWritten message;
  if (auto* error = std::get_if<StoreError>(&written)) {
    metrics_.Count({"rudderloom_lease_write_failures_total", "kind", NameOf(error->kind)});
    LogLine("lease_write_failed", Severity::kWarning)
        .With("kind", NameOf(error->kind))
        .With("version", version);
  } else {
    message.version = std::get<StoredObject>(written).version.value_or(StoreRevision());
  }
  post_(message);
}

Awaitable<void> FleetShell::AskReport(ReportCall call) {
  CallTimes times;
  times.connect = kConnectLimit;
  times.first_byte = kReportLimit;
  times.between = kReportLimit;
  HttpRequest request = formats_.write_report_call(call.address);
  auto answer = co_await client_.Call(call.address, std::move(request), times, Reuse::kAllowed);
  fleet_message::EngineReported message;
  message.instance = call.instance;
  if (const auto* response = std::get_if<HttpResponse>(&answer)) {
    message.report = formats_.read_report(*response);
  }
  // Another life has the endpoint's name and address: its entry tells of it.
  if (message.report && message.report->born != call.born) {
    metrics_.Count({"rudderloom_reports_of_other_lives_total"});
    message.report.reset();
  }
  metrics_.Count({"rudderloom_engine_reports_total", "result", message.report ? "ok" : "none"});
  post_(std::move(message));
}

Awaitable<void> FleetShell::SendOrder(PlacementOrder order) {
  fleet_message::OrderEnded message;
  message.order = order;
  message.outcome = co_await Exchange(order);
  metrics_.Count({"rudderloom_orders_total", "outcome", NameOf(message.outcome)});
  post_(std::move(message));
}

Awaitable<PlacementOutcome> FleetShell::Exchange(const PlacementOrder& order) {
  // Also a process that was frozen on the way here sees that the lease may have passed on.
  if (Now() >= order.valid_until) {
    co_return PlacementOutcome::kLapsed;
  }
  CallTimes times;
  times.connect = kConnectLimit;
  times.first_byte = kOrderLimit;
  times.between = kOrderLimit;
  HttpRequest request = formats_.write_order(order);
  auto answer = co_await client_.Call(order.address, std::move(request), times, Reuse::kNever);
  if (const auto* failure = std::get_if<HttpFailure>(&answer)) {
    LogLine("order_unanswered")
        .With("endpoint", order.instance)
        .With("sent", failure->may_have_left ? "maybe" : "no")
        .With("error", failure->message);
    co_return failure->may_have_left ? PlacementOutcome::kUnknown : PlacementOutcome::kNotSent;
  }
  co_return formats_.read_outcome(std::get<HttpResponse>(answer));
}

Awaitable<void> FleetShell::TickLoop() {
  TimePoint due = Now();
  while (true) {
    post_(fleet_message::Tick{due});
    ConfirmRoutes();
    due = Now() + kTick;
    co_await PauseFor(context_, kTick);
  }
}

}  // namespace rudderloom
