#include "rudderloom/fleet/fleet_shell.hpp"

#include <optional>  // for optional

#include "rudderloom/base/log_line.hpp"  // for LogLine
#include "rudderloom/http/pause.hpp"     // for PauseFor

namespace rudderloom {

namespace {

constexpr Duration kTickInterval{50};
constexpr const char* kLeaseName = "placement";
constexpr Duration kOrderTimeout{700};
constexpr Duration kReportTimeout{400};
constexpr Duration kConnectTimeout{300};
constexpr Duration kMinBackoff{100};
// Failed calls have a cost as well, and their number grows with the nodes. A configuration may take
// up to 3 s once the store has recovered.
constexpr Duration kMaxBackoff{1'600};
// Changes within this time are read with one call; each call has a cost.
constexpr Duration kMinConfigurationCallInterval{250};
// Fraction of the drain time for which the change of an entry may wait to be read.
constexpr double kEndpointDelayFraction = 0.4;
// The same for the node on which others rely; its watches also end after this time.
constexpr double kSharedEndpointDelayFraction = 0.125;
// The same for the configuration, as a fraction of the time in which it must be in force.
constexpr double kSharedRoutesDelayFraction = 0.125;
// In a small fleet each node has its own watch. The holder's is short, so that the holder finds a
// newer configuration soon even if the watch fails: an open connection may fall silent without an
// error. The others learn of it from the holder, so their watches may last long; each answer has a
// cost.
constexpr Duration kHolderRoutesWatchTime{1'500};
constexpr Duration kFollowerRoutesWatchTime{25'000};
// A watch that began before a node took the lease keeps its own, longer time, and reports nothing
// if its connection has fallen silent: three nodes missed a configuration for 7 s. This is the time
// of the holder's own watch plus that of a failed call.
constexpr Duration kRoutesConfirmTimeout{2'000};
// About the time of a failed call, so such reads follow one another without a pause.
constexpr Duration kMinReadInterval{500};
// Interval of lists on the node on which others rely, which find changes that a watch has missed.
constexpr Duration kSharedListInterval{20'000};
constexpr std::size_t kMaxUnreadableLogged = 64;
constexpr std::size_t kMaxLoggedNameLength = 64;  // Characters.

Duration FractionOf(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

// Returns nullopt for the store's default.
std::optional<Duration> RoutesWatchTime(const Followings& followings, Duration bound) {
  if (followings.configuration == FollowMode::kStoreForOthers) {
    return FractionOf(bound, kSharedRoutesDelayFraction);
  }
  switch (followings.endpoints) {
    case FollowMode::kStoreForOthers:
      return kHolderRoutesWatchTime;
    case FollowMode::kHolder:
      return kFollowerRoutesWatchTime;
    case FollowMode::kStore:
    case FollowMode::kStoreOnce:
      return std::nullopt;
  }
  return std::nullopt;
}

// Adjusts a follower's store calls to the way of following.
void SetPace(FollowPace& pace, FollowMode following) {
  pace.once = following == FollowMode::kStoreOnce;
  if (following == FollowMode::kHolder) {
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
  routes_pace_->min_interval = kMinConfigurationCallInterval;
  ApplyFollowings(InitialFollowings(settings_));
}

void FleetShell::Start() {
  asio::co_spawn(context_, FollowRoutes(), asio::detached);
  asio::co_spawn(context_, FollowEndpoints(), asio::detached);
  asio::co_spawn(context_, TickLoop(), asio::detached);
}

Backoff FleetShell::MakeBackoff(const std::string& purpose) const {
  return Backoff(kMinBackoff, kMaxBackoff, std::hash<std::string>{}(settings_.name + purpose));
}

void FleetShell::OnStoreError(const std::string& kind, const StoreError& error) {
  metrics_.Count({"rudderloom_platform_errors_total", "kind", NameOf(error.kind)});
  if (failing_kinds_.insert(kind).second) {
    LogLine("dependency_lost", Severity::kWarning)
        .With("dependency", "store")
        .With("kind", kind)
        .With("error", error.message);
  }
}

void FleetShell::OnStoreAnswer(const std::string& kind) {
  if (failing_kinds_.erase(kind) > 0) {
    LogLine("dependency_regained").With("dependency", "store").With("kind", kind);
  }
}

void FleetShell::PostRoutes(const StoredObject& object) {
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
    OnStoreAnswer(kind);
    for (const StoredObject& object : list.objects) {
      PostRoutes(object);
    }
    MarkRoutesConfirmed();
  };
  hooks.on_reached = [this](const StoreRevision&) { MarkRoutesConfirmed(); };
  hooks.on_event = [this, kind](const WatchEvent& event) {
    OnStoreAnswer(kind);
    if (event.kind == WatchEvent::Kind::kPut) {
      PostRoutes(event.object);
    }
  };
  hooks.on_error = [this, kind](const StoreError& error) { OnStoreError(kind, error); };
  FollowOptions options{kind, MakeBackoff(kind), routes_pace_, formats_.lease_kind};
  co_await FollowKind(context_, store_, std::move(options), std::move(hooks));
}

Awaitable<void> FleetShell::ReadRoutes() {
  const std::string kind = formats_.configuration_kind;
  auto listed = co_await store_.List(kind);
  reading_routes_ = false;
  if (auto* error = std::get_if<StoreError>(&listed)) {
    OnStoreError(kind, *error);
    co_return;
  }
  for (const StoredObject& object : std::get<ObjectList>(listed).objects) {
    PostRoutes(object);
  }
  MarkRoutesConfirmed();
}

void FleetShell::MarkRoutesConfirmed() {
  routes_confirmed_at_ = Now();
  post_(fleet_message::RoutesConfirmed{});
}

void FleetShell::ConfirmRoutes() {
  const TimePoint now = Now();
  if (!follows_for_others_ || reading_routes_ || now - routes_read_at_ < kMinReadInterval ||
      now - routes_confirmed_at_ < kRoutesConfirmTimeout) {
    return;
  }
  routes_read_at_ = now;
  reading_routes_ = true;
  asio::co_spawn(context_, ReadRoutes(), asio::detached);
}

// An entry that can't be decoded describes no usable endpoint. Other writers may create many of
// them, so each name is logged once, up to a limit.
std::optional<EndpointRecord> FleetShell::ReadEndpoint(const StoredObject& object) {
  auto record = formats_.read_endpoint(object);
  if (record || logged_unreadable_.size() >= kMaxUnreadableLogged) {
    return record;
  }
  std::string name = object.name.substr(0, kMaxLoggedNameLength);
  if (logged_unreadable_.insert(name).second) {
    metrics_.Count({"rudderloom_unreadable_entries_total"});
    LogLine("endpoint_unreadable", Severity::kWarning).With("endpoint", name);
  }
  return record;
}

Awaitable<void> FleetShell::FollowEndpoints() {
  const std::string kind = formats_.endpoint_kind;
  FollowHooks hooks;
  hooks.on_list = [this, kind](const ObjectList& list) {
    OnStoreAnswer(kind);
    fleet_message::EndpointsListed listed;
    listed.revision = list.version;
    for (const StoredObject& object : list.objects) {
      if (auto record = ReadEndpoint(object)) {
        listed.records.push_back(std::move(*record));
      }
    }
    instances_.Reset(listed.records);
    post_(std::move(listed));
  };
  hooks.on_event = [this](const WatchEvent& event) {
    const bool gone = event.kind == WatchEvent::Kind::kGone;
    auto record = gone ? std::nullopt : ReadEndpoint(event.object);
    if (record) {
      instances_.Put(std::move(*record));
    } else {
      instances_.Remove(event.object.name);
    }
  };
  hooks.on_reached = [this, kind](const StoreRevision& version) {
    OnStoreAnswer(kind);
    EndpointChanges changes = instances_.TakeChanges();
    changes.version = version;
    post_(fleet_message::EndpointsChanged{std::move(changes)});
  };
  hooks.on_error = [this, kind](const StoreError& error) { OnStoreError(kind, error); };
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
      ApplyFollowings(*effects.followings);
    }
    // On a small node's link, reading a large configuration may take longer than the interval
    // between two requests for it; with several reads at once none would finish.
    if (effects.read_routes && !reading_routes_) {
      reading_routes_ = true;
      asio::co_spawn(context_, ReadRoutes(), asio::detached);
    }
    for (ReportCall& call : effects.placement.report_calls) {
      asio::co_spawn(context_, FetchReport(std::move(call)), asio::detached);
    }
    for (PlacementOrder& order : effects.placement.orders) {
      asio::co_spawn(context_, SendOrder(std::move(order)), asio::detached);
    }
  });
}

void FleetShell::ApplyFollowings(const Followings& followings) {
  follows_for_others_ = followings.endpoints == FollowMode::kStoreForOthers;
  routes_pace_->watch_time = RoutesWatchTime(followings, settings_.bounds.configuration);
  const Duration drain = settings_.bounds.drain;
  endpoints_pace_->min_interval = FractionOf(
      drain, follows_for_others_ ? kSharedEndpointDelayFraction : kEndpointDelayFraction);
  endpoints_pace_->watch_time.reset();
  endpoints_pace_->relist_interval.reset();
  if (follows_for_others_) {
    endpoints_pace_->watch_time = endpoints_pace_->min_interval;
    endpoints_pace_->relist_interval = kSharedListInterval;
  }
  // An unchanged way of following needs no new list.
  if (!followings_ || followings_->endpoints != followings.endpoints) {
    SetPace(*endpoints_pace_, followings.endpoints);
  }
  if (!followings_ || followings_->configuration != followings.configuration) {
    SetPace(*routes_pace_, followings.configuration);
  }
  followings_ = followings;
}

Awaitable<void> FleetShell::ReadLease(LeaseRead consistency) {
  const std::string kind = formats_.lease_kind;
  if (consistency == LeaseRead::kMayBeStale) {
    auto listed = co_await store_.ListStale(kind);
    if (auto* error = std::get_if<StoreError>(&listed)) {
      OnStoreError(kind, *error);
      post_(fleet_message::LeaseReadFailed{});
      co_return;
    }
    OnStoreAnswer(kind);
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
      OnStoreError(kind, *error);
      post_(fleet_message::LeaseReadFailed{});
    }
    co_return;
  }
  OnStoreAnswer(kind);
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

Awaitable<void> FleetShell::FetchReport(ReportCall call) {
  CallTimeouts times;
  times.connect = kConnectTimeout;
  times.first_byte = kReportTimeout;
  times.between = kReportTimeout;
  HttpRequest request = formats_.write_report_call(call.address);
  auto answer =
      co_await client_.Call(call.address, std::move(request), times, ConnectionReuse::kAllowed);
  fleet_message::EngineReported message;
  message.instance = call.instance;
  if (const auto* response = std::get_if<HttpResponse>(&answer)) {
    message.report = formats_.read_report(*response);
  }
  // Another instance has the endpoint's name and address; its own entry announces it.
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
  message.outcome = co_await DeliverOrder(order);
  metrics_.Count({"rudderloom_orders_total", "outcome", NameOf(message.outcome)});
  post_(std::move(message));
}

Awaitable<PlacementOutcome> FleetShell::DeliverOrder(const PlacementOrder& order) {
  // Checked here so that a process that was frozen meanwhile notices that the lease may have passed
  // to another node.
  if (Now() >= order.valid_until) {
    co_return PlacementOutcome::kLapsed;
  }
  CallTimeouts times;
  times.connect = kConnectTimeout;
  times.first_byte = kOrderTimeout;
  times.between = kOrderTimeout;
  HttpRequest request = formats_.write_order(order);
  auto answer =
      co_await client_.Call(order.address, std::move(request), times, ConnectionReuse::kNever);
  if (const auto* failure = std::get_if<HttpFailure>(&answer)) {
    LogLine("order_unanswered")
        .With("endpoint", order.instance)
        .With("sent", failure->may_have_been_sent ? "maybe" : "no")
        .With("error", failure->message);
    co_return failure->may_have_been_sent ? PlacementOutcome::kUnknown : PlacementOutcome::kNotSent;
  }
  co_return formats_.read_outcome(std::get<HttpResponse>(answer));
}

Awaitable<void> FleetShell::TickLoop() {
  TimePoint due = Now();
  while (true) {
    post_(fleet_message::Tick{due});
    ConfirmRoutes();
    due = Now() + kTickInterval;
    co_await PauseFor(context_, kTickInterval);
  }
}

}  // namespace rudderloom
