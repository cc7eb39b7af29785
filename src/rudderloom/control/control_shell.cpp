#include "rudderloom/control/control_shell.hpp"

#include "rudderloom/base/backoff.hpp"      // for Backoff
#include "rudderloom/base/json_fields.hpp"  // for TextAt
#include "rudderloom/base/log_line.hpp"     // for LogLine
#include "rudderloom/http/pause.hpp"        // for PauseFor

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr Duration kTickInterval{100};
constexpr Duration kMinPollInterval{500};
constexpr Duration kPollTimeout{1'000};
constexpr Duration kPollRetryDelay{100};  // delay after a poll without a response
constexpr Duration kConfirmInterval{1'000};
constexpr Duration kMaxTimeSinceContact{2'000};
constexpr Duration kUnregisterTimeout{1'000};
constexpr ConfirmTimes kPoolSettleTimes{Duration(1'500), Duration(100)};

NodeState ParseNode(const StoredObject& object) {
  NodeState node;
  node.name = object.name;
  node.incarnation = TextAt(object.spec, "incarnation");
  node.peers_address = TextAt(object.spec, "peersAddress");
  node.availability_zone = TextAt(object.spec, "availabilityZone");
  return node;
}

}  // namespace

ControlShell::ControlShell(asio::io_context& context,
                           Settings settings,
                           std::string incarnation,
                           std::string peers_address,
                           ObjectStore& store,
                           ContactMonitor& contact,
                           Metrics& metrics,
                           std::function<void(message::Any)> post)
    : context_(context),
      settings_(std::move(settings)),
      incarnation_(std::move(incarnation)),
      peers_address_(std::move(peers_address)),
      store_(store),
      contact_(contact),
      metrics_(metrics),
      post_(std::move(post)),
      client_(context),
      orders_(client_, settings_.residency.order_time, metrics) {}

void ControlShell::Start() {
  asio::co_spawn(context_, TickLoop(), asio::detached);
  asio::co_spawn(context_, PollLoop(), asio::detached);
  asio::co_spawn(context_, ConfirmLoop(), asio::detached);
  asio::co_spawn(context_, Register(), asio::detached);
  StartWatches();
}

void ControlShell::StartWatches() {
  const auto on_configuration = [this](const StoredObject& object) { PostConfiguration(object); };
  asio::co_spawn(context_,
                 WatchKind(
                     object_kind::kConfigurations,
                     [=](const ObjectList& list) {
                       for (const StoredObject& object : list.objects) {
                         on_configuration(object);
                       }
                     },
                     [=](const WatchEvent& event) { on_configuration(event.object); }),
                 asio::detached);
  asio::co_spawn(
      context_,
      WatchKind(
          object_kind::kEndpoints,
          [this](const ObjectList& list) {
            message::EndpointsListed listed;
            for (const StoredObject& object : list.objects) {
              if (auto spec = EndpointFromJson(object.name, object.spec)) {
                listed.specs.push_back(std::move(*spec));
              }
            }
            post_(std::move(listed));
          },
          [this](const WatchEvent& event) {
            if (event.kind == WatchEvent::Kind::kGone) {
              post_(message::EndpointRemoved{event.object.name});
            } else if (auto spec = EndpointFromJson(event.object.name, event.object.spec)) {
              post_(message::EndpointPut{std::move(*spec)});
            }
          }),
      asio::detached);
  const auto post_nodes = [this] {
    message::NodesListed listed;
    for (const auto& [name, node] : listed_nodes_) {
      listed.nodes.push_back(node);
    }
    post_(std::move(listed));
  };
  asio::co_spawn(context_,
                 WatchKind(
                     object_kind::kNodes,
                     [this, post_nodes](const ObjectList& list) {
                       listed_nodes_.clear();
                       for (const StoredObject& object : list.objects) {
                         listed_nodes_[object.name] = ParseNode(object);
                       }
                       post_nodes();
                     },
                     [this, post_nodes](const WatchEvent& event) {
                       if (event.kind == WatchEvent::Kind::kGone) {
                         listed_nodes_.erase(event.object.name);
                       } else {
                         listed_nodes_[event.object.name] = ParseNode(event.object);
                       }
                       post_nodes();
                     }),
                 asio::detached);
  const auto on_pool = [this](const StoredObject& object) {
    if (auto record = PoolRecordFromJson(object.spec)) {
      post_(message::PoolSeen{object.name, std::move(*record), object.version,
                              PoolReadKind::kWatched});
    }
  };
  asio::co_spawn(context_,
                 WatchKind(
                     object_kind::kPools,
                     [=](const ObjectList& list) {
                       for (const StoredObject& object : list.objects) {
                         on_pool(object);
                       }
                     },
                     [=](const WatchEvent& event) {
                       if (event.kind == WatchEvent::Kind::kPut) {
                         on_pool(event.object);
                       }
                     }),
                 asio::detached);
}

void ControlShell::PostConfiguration(const StoredObject& object) {
  auto read = ConfigurationFromJson(object.spec);
  if (auto* configuration = std::get_if<Configuration>(&read)) {
    post_(message::ConfigurationSeen{
        std::make_shared<const Configuration>(std::move(*configuration))});
    return;
  }
  // An invalid configuration never replaces the one in force.
  LogLine("configuration_unreadable", Severity::kError)
      .With("mistake", std::get<JsonErrors>(read).front().Text());
}

// Lists the objects, then watches them. The watch resumes at the last version until that expires.
Awaitable<void> ControlShell::WatchKind(std::string_view kind, OnList on_list, OnEvent on_event) {
  const std::string name(kind);
  Backoff backoff(settings_.platform.backoff_least, settings_.platform.backoff_most,
                  std::hash<std::string>{}(incarnation_ + name));
  std::optional<StoreRevision> version;
  while (true) {
    if (!version) {
      auto listed = co_await store_.List(name);
      if (auto* error = std::get_if<StoreError>(&listed)) {
        metrics_.Count({"rudderloom_platform_errors_total", "kind", NameOf(error->kind)});
        co_await PauseFor(context_, backoff.Next());
        continue;
      }
      contact_.RecordContact(Now());
      const ObjectList& list = std::get<ObjectList>(listed);
      version = list.version;
      on_list(list);
      backoff.Reset();
    }
    const TimePoint started = Now();
    const StoreError ended = co_await store_.Watch(name, *version, [&](const WatchEvent& event) {
      contact_.RecordContact(Now());
      version = event.object.version;
      if (event.kind != WatchEvent::Kind::kBookmark) {
        on_event(event);
      }
    });
    if (ended.kind == StoreError::Kind::kExpired) {
      version.reset();
    }
    const bool ended_normally = ended.message.empty() && Now() - started > kConfirmInterval;
    if (ended_normally) {
      backoff.Reset();
      continue;
    }
    metrics_.Count({"rudderloom_platform_errors_total", "kind", NameOf(ended.kind)});
    co_await PauseFor(context_, backoff.Next());
  }
}

Awaitable<void> ControlShell::Register() {
  Backoff backoff(settings_.platform.backoff_least, settings_.platform.backoff_most,
                  std::hash<std::string>{}(incarnation_));
  while (true) {
    StoredObject object;
    object.name = settings_.name;
    object.spec = {{"incarnation", incarnation_},
                   {"peersAddress", peers_address_},
                   {"availabilityZone", settings_.availability_zone}};
    auto put = co_await store_.Put(std::string(object_kind::kNodes), std::move(object));
    if (std::holds_alternative<StoredObject>(put)) {
      LogLine("registered").With("node", settings_.name).With("address", peers_address_);
      co_return;
    }
    co_await PauseFor(context_, backoff.Next());
  }
}

Awaitable<void> ControlShell::Unregister() {
  const TimePoint until = Now() + kUnregisterTimeout;
  while (Now() < until) {
    auto deleted = co_await store_.Delete(std::string(object_kind::kNodes), settings_.name);
    const auto* error = std::get_if<StoreError>(&deleted);
    if (error == nullptr || error->kind == StoreError::Kind::kNotFound) {
      co_return;
    }
    co_await PauseFor(context_, kTickInterval);
  }
}

Awaitable<void> ControlShell::TickLoop() {
  while (true) {
    post_(message::Tick{});
    co_await PauseFor(context_, kTickInterval);
  }
}

// Without other contact, polls the platform often enough to notice a newer configuration.
Awaitable<void> ControlShell::ConfirmLoop() {
  while (true) {
    co_await PauseFor(context_, kConfirmInterval);
    if (contact_.TimeSinceContact(Now()) < kMaxTimeSinceContact) {
      continue;
    }
    auto fetched = co_await store_.Get(std::string(object_kind::kConfigurations), "current");
    if (auto* object = std::get_if<StoredObject>(&fetched)) {
      contact_.RecordContact(Now());
      PostConfiguration(*object);
    } else if (std::get<StoreError>(fetched).kind == StoreError::Kind::kNotFound) {
      contact_.RecordContact(Now());
    }
  }
}

void ControlShell::UpdateReport(std::shared_ptr<const NodeReport> report) {
  asio::post(context_, [this, report = std::move(report)] { report_ = report; });
}

// Polls the endpoints in turn, at the rate that is set for all endpoints together.
Awaitable<void> ControlShell::PollLoop() {
  const Duration poll_interval(1'000 / settings_.membership.polls_per_second);
  while (true) {
    co_await PauseFor(context_, poll_interval);
    if (!report_) {
      continue;
    }
    const TimePoint now = Now();
    const EndpointState* next = nullptr;
    TimePoint oldest = now - kMinPollInterval;
    for (const EndpointState& state : report_->endpoints) {
      const auto found = polled_at_.find(state.spec.name);
      const TimePoint polled = found == polled_at_.end() ? TimePoint() : found->second;
      if (polled <= oldest) {
        oldest = polled;
        next = &state;
      }
    }
    if (next != nullptr) {
      polled_at_[next->spec.name] = now;
      asio::co_spawn(context_,
                     Poll(next->spec.name, next->spec.address, !next->spec.service.empty()),
                     asio::detached);
    }
  }
}

Awaitable<void> ControlShell::Poll(std::string name, std::string address, bool service) {
  HttpRequest request = MakeRequest(http::verb::get, address, "/load");
  const CallTimeouts times{kPollTimeout, kPollTimeout, kPollTimeout};
  auto answer =
      co_await client_.Call(address, std::move(request), times, ConnectionReuse::kAllowed);
  message::EndpointPolled polled;
  polled.name = name;
  polled.address = address;
  if (const auto* response = std::get_if<HttpResponse>(&answer)) {
    metrics_.Count({"rudderloom_control_bytes_total", "with", "endpoints"},
                   response->body().size());
    polled.report = ReportFromJson(response->body());
    // Plain services may not support load reports, so any response shows that they are live.
    if (service && !polled.report) {
      polled.report = LoadReport();
    }
  }
  if (!polled.report) {
    polled_at_[name] = Now() - kMinPollInterval + kPollRetryDelay;
  }
  post_(std::move(polled));
}

void ControlShell::Execute(PoolEffects effects) {
  asio::post(context_, [this, effects = std::move(effects)]() mutable {
    for (PoolEffect& effect : effects) {
      if (auto* write = std::get_if<WritePool>(&effect)) {
        asio::co_spawn(context_, WritePoolRecord(std::move(*write)), asio::detached);
      } else if (auto* read = std::get_if<ReadPool>(&effect)) {
        asio::co_spawn(context_, ReadPoolRecord(std::move(*read)), asio::detached);
      } else if (auto* order = std::get_if<Order>(&effect)) {
        asio::co_spawn(context_, SendOrder(std::move(*order)), asio::detached);
      } else {
        LogMove(std::get<MoveDecided>(effect));
      }
    }
  });
}

void ControlShell::LogMove(const MoveDecided& move) {
  const bool load = move.kind == PlanAction::Kind::kLoad;
  metrics_.Count({"rudderloom_moves_total", "kind", load ? "load" : "unload"});
  LogLine("move_decided")
      .With("kind", load ? "load" : "unload")
      .With("reason", NameOf(move.reason))
      .With("unit", move.unit)
      .With("endpoint", move.endpoint);
}

Awaitable<void> ControlShell::WritePoolRecord(WritePool write) {
  StoredObject object;
  object.name = write.pool;
  object.version = write.version;
  object.writers = pool_writers_[write.pool];
  object.spec = ToJson(write.record);
  const std::string token = incarnation_ + "/p" + std::to_string(++write_count_);
  auto written = co_await PutAndConfirm(context_, store_, std::string(object_kind::kPools),
                                        std::move(object), token, kPoolSettleTimes);
  message::PoolCallEnded ended;
  ended.pool = write.pool;
  const auto* stored = std::get_if<StoredObject>(&written);
  // If the response was lost, another lease holder may have written the object before this write
  // was confirmed. The pool must then be read again.
  const bool is_latest_writer =
      stored != nullptr && (stored->writers.empty() || stored->writers.front() == token);
  if (is_latest_writer) {
    contact_.RecordContact(Now());
    pool_writers_[write.pool] = stored->writers;
    ended.result = message::PoolCallEnded::Result::kWritten;
    ended.version = stored->version.value_or(StoreRevision());
  } else {
    const auto* error = std::get_if<StoreError>(&written);
    metrics_.Count({"rudderloom_pool_write_errors_total", "kind",
                    error == nullptr ? "overtaken" : NameOf(error->kind)});
    ended.result = message::PoolCallEnded::Result::kWriteFailed;
  }
  post_(std::move(ended));
}

Awaitable<void> ControlShell::ReadPoolRecord(ReadPool read) {
  auto fetched = co_await store_.Get(std::string(object_kind::kPools), read.pool);
  if (auto* object = std::get_if<StoredObject>(&fetched)) {
    if (auto record = PoolRecordFromJson(object->spec)) {
      pool_writers_[read.pool] = object->writers;
      post_(message::PoolSeen{read.pool, std::move(*record), object->version, PoolReadKind::kRead});
      co_return;
    }
    LogLine("pool_record_unreadable", Severity::kError).With("pool", read.pool);
  } else if (std::get<StoreError>(fetched).kind == StoreError::Kind::kNotFound) {
    post_(message::PoolSeen{read.pool, PoolRecord(), std::nullopt, PoolReadKind::kRead});
    co_return;
  }
  co_await PauseFor(context_, settings_.platform.backoff_least);
  post_(message::PoolCallEnded{read.pool, message::PoolCallEnded::Result::kReadFailed,
                               StoreRevision()});
}

Awaitable<void> ControlShell::SendOrder(Order order) {
  const OrderOutcome outcome = co_await orders_.Send(order);
  post_(message::OrderEnded{std::move(order), outcome});
}

}  // namespace rudderloom
