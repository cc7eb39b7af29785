#include "rudderloom/forwarding/frontend.hpp"

#include <sys/resource.h>  // for getrlimit

#include <algorithm>  // for min
#include <array>      // for array
#include <random>     // for random_device
#include <set>        // for set

#include "forwarding/client_write.hpp"               // for ReviewSlowReaders
#include "forwarding/crash_check.hpp"                // for RecordCleared
#include "forwarding/gateway_headers.hpp"            // for kGatewayRefusalHeader
#include "forwarding/quarantine_page.hpp"            // for AnswerQuarantinePage
#include "forwarding/reach_watch.hpp"                // for WatchReach
#include "forwarding/stream_version.hpp"             // for ReportOwnStreams
#include "rudderloom/base/hex.hpp"                   // for ToHex
#include "rudderloom/base/log_line.hpp"              // for LogLine
#include "rudderloom/base/stable_fraction.hpp"       // for StableFraction
#include "rudderloom/forwarding/gateway_server.hpp"  // for ForwardForNode
#include "rudderloom/http/pause.hpp"                 // for PauseFor

namespace rudderloom {

namespace {

constexpr Duration kTrimInterval{1'000};
constexpr Duration kSampleInterval{200};
// An instance that is leaving never comes back under its name.
constexpr Duration kLeavingRetention{600'000};
constexpr Duration kMinSampleInterval{15};
// A node on a 10 Mbit/s link takes half a second to read a configuration of 1,700 routes.
constexpr Duration kStartupConfigurationWait{1'200};
// A client that does not read loses its connection after ten seconds, others end sooner.
constexpr Duration kMemoryRetryDelay{1'000};
constexpr unsigned kUnavailable = 503;

// The answer to a request that could not be read.
Reply ReadFailureReply(ReadFailure failure) {
  Reply reply;
  switch (failure) {
    case ReadFailure::kHeaderTooLarge:
      reply.status = 431;
      break;
    case ReadFailure::kBodyTooLarge:
      reply.status = 413;
      break;
    case ReadFailure::kMalformed:
      reply.status = 400;
      break;
    case ReadFailure::kTooSlow:
      reply.status = 408;
      break;
    case ReadFailure::kTooManyConnections:
    case ReadFailure::kStopping:
    case ReadFailure::kNoMemory:
      reply.status = kUnavailable;
      break;
  }
  reply.body = "{\"error\":\"unreadable_request\"}";
  return reply;
}

// Leaves a quarter of the process's descriptors for connections to endpoints, nodes and the store.
std::uint32_t MaxClientConnections() {
  constexpr rlim_t kOwnShare = 4;
  const std::uint32_t most = HttpLimits().connections;
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
    return most;
  }
  const rlim_t available = descriptors.rlim_cur - descriptors.rlim_cur / kOwnShare;
  return static_cast<std::uint32_t>(std::min<rlim_t>(most, available));
}

HttpLimits LimitsOf(const ClientLimits& limits) {
  HttpLimits http;
  http.connections = MaxClientConnections();
  http.header_bytes = limits.header_bytes;
  http.body_bytes = limits.body_bytes;
  http.header_time = limits.header_time;
  http.idle_time = limits.idle_time;
  return http;
}

// Requests of other nodes are client requests with a few more headers.
HttpLimits GatewayLimitsOf(const ClientLimits& limits) {
  constexpr std::uint32_t kNodeHeaderBytes = 4 * 1024;
  HttpLimits http;
  http.header_bytes = limits.header_bytes + kNodeHeaderBytes;
  http.body_bytes = limits.body_bytes;
  return http;
}

std::string RandomKey() {
  constexpr std::size_t kKeyBytes = 16;
  std::random_device device;
  std::array<std::uint8_t, kKeyBytes> key{};
  for (std::uint8_t& byte : key) {
    byte = static_cast<std::uint8_t>(device());
  }
  return ToHex(key);
}

// Listens on `ip:port` and returns the bound address; port 0 lets the kernel choose one.
std::string Listen(HttpServer& server, const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const std::string ip = address.substr(0, colon);
  const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
  return ip + ":" + std::to_string(server.Listen(ip, port));
}

}  // namespace

FleetFrontend::FleetFrontend(asio::io_context& context,
                             const FleetSettings& settings,
                             const HeaderCodec& dialect,
                             Metrics& metrics,
                             std::function<void(NodeCounts)> on_sample,
                             PeerCalls peers)
    : context_(context),
      settings_(settings),
      metrics_(metrics),
      state_{context,
             dialect,
             metrics,
             Balancer(settings.availability_zone, std::hash<std::string>{}(settings.name)),
             RetryBudget({settings.bounds.retry_ratio, settings.bounds.retry_extra,
                          settings.bounds.retry_window}),
             QuotaAccount(settings.bounds.quota),
             CrashWatch(),
             LimitWatch(StableFraction(settings.name)),
             {},
             {},
             {},
             {},
             LogRateLimiter(settings.log_lines_per_second),
             std::mt19937_64(std::hash<std::string>{}(settings.name)),
             false,
             Now() + kStartupConfigurationWait,
             [this] {
               sample_requested_ = true;
               sample_timer_.cancel();
             },
             std::move(peers)},
      server_(MakeServer([this](HttpExchange& exchange) { return ServeClient(exchange); })),
      gateway_server_(MakeServer([this](HttpExchange& exchange) { return ServeNode(exchange); })),
      readiness_(MakeServer([this](HttpExchange& exchange) { return AnswerReadiness(exchange); })),
      metrics_server_(
          MakeServer([this](HttpExchange& exchange) { return AnswerMetrics(exchange); })),
      on_sample_(std::move(on_sample)),
      sample_timer_(context) {
  state_.overload_control = settings.overload_control;
  state_.readers.SetBounds(BoundsForMemory(settings.memory_mb));
  server_->LimitBodies(state_.readers.Bodies());
  gateway_server_->LimitBodies(state_.readers.Bodies());
}

std::shared_ptr<HttpServer> FleetFrontend::MakeServer(
    std::function<Awaitable<void>(HttpExchange&)> handle) {
  HttpHandlers handlers;
  handlers.handle = std::move(handle);
  handlers.read_failure = [this](ReadFailure failure) {
    metrics_.Count({"rudderloom_unreadable_requests_total"});
    Reply reply = ReadFailureReply(failure);
    if (failure == ReadFailure::kNoMemory) {
      RecordRefusalForMemory("body");
      reply.headers = state_.dialect.RefusalHeaders("", kMemoryRetryDelay);
    }
    return reply;
  };
  return std::make_shared<HttpServer>(context_, HttpLimits(), std::move(handlers));
}

Awaitable<void> FleetFrontend::ServeClient(HttpExchange& exchange) {
  const RequestSlot slot(state_.readers);
  if (!slot.Admitted()) {
    const auto terms = state_.dialect.ReadRequest(exchange.Request());
    HeaderList headers = state_.dialect.RefusalHeaders(terms.id, kMemoryRetryDelay);
    co_await RefuseForMemory(exchange, std::move(headers));
    co_return;
  }
  const BufferSlot buffer(state_.readers);
  exchange.LimitSendBuffer(buffer.Bytes());
  co_await Forward(state_, exchange);
}

Awaitable<void> FleetFrontend::ServeNode(HttpExchange& exchange) {
  const RequestSlot slot(state_.readers);
  if (!slot.Admitted()) {
    HeaderList headers;
    headers.emplace_back(kGatewayRefusalHeader, kGatewayUnavailable);
    co_await RefuseForMemory(exchange, std::move(headers));
    co_return;
  }
  const BufferSlot buffer(state_.readers);
  exchange.LimitSendBuffer(buffer.Bytes());
  co_await ForwardForNode(state_, exchange);
}

void FleetFrontend::RecordRefusalForMemory(std::string_view bound) {
  metrics_.Count({"rudderloom_refusals_total", "reason", "memory"});
  if (state_.log_quota.Allows(Now())) {
    LogLine("refused_for_memory")
        .With("bound", bound)
        .With("requests", state_.readers.Requests())
        .With("all_body_bytes", state_.readers.Bodies().Total())
        .With("slow_readers", state_.readers.SlowReaders());
  }
}

// Nothing has been sent to an endpoint.
Awaitable<void> FleetFrontend::RefuseForMemory(HttpExchange& exchange, HeaderList headers) {
  RecordRefusalForMemory("requests");
  Reply reply;
  reply.status = kUnavailable;
  reply.body = "{\"error\":\"memory\"}";
  reply.headers = std::move(headers);
  co_await exchange.Send(std::move(reply));
}

FleetListeners FleetFrontend::Start() {
  FleetListeners bound = settings_.listen;
  bound.readiness = Listen(*readiness_, settings_.listen.readiness);
  bound.callers = Listen(*server_, settings_.listen.callers);
  if (!settings_.listen.metrics.empty()) {
    bound.metrics = Listen(*metrics_server_, settings_.listen.metrics);
  }
  if (!settings_.listen.gateway.empty()) {
    bound.gateway = Listen(*gateway_server_, settings_.listen.gateway);
    state_.own_gateway = {bound.gateway, RandomKey()};
  }
  asio::co_spawn(context_, WatchReach(state_), asio::detached);
  asio::co_spawn(context_, TrimLoop(), asio::detached);
  asio::co_spawn(context_, SampleLoop(), asio::detached);
  return bound;
}

// Samples periodically, and early when a request asks for it through `sample_soon`.
Awaitable<void> FleetFrontend::SampleLoop() {
  while (true) {
    if (!sample_requested_) {
      sample_timer_.expires_after(kSampleInterval);
      co_await sample_timer_.async_wait(kAsTuple);
    }
    sample_requested_ = false;
    Sample();
    co_await PauseFor(context_, kMinSampleInterval);
  }
}

void FleetFrontend::Sample() {
  NodeCounts counts;
  counts.node = settings_.name;
  counts.loads = state_.balancer.Loads();
  counts.units = state_.units;
  counts.spending = state_.quota.Take(Now());
  counts.crash_news = state_.crashes.Take();
  counts.limits = ToSentLimits(state_.limits.Take(), Now());
  counts.reaches_endpoints = !state_.reach.CutOff();
  counts.needs_gateways = state_.reach.NeedsGateways(Now());
  if (counts.reaches_endpoints && !stopping_ && !state_.own_gateway.address.empty()) {
    counts.gateways = {state_.own_gateway};
  }
  std::erase_if(state_.units, [](const auto& entry) {
    return entry.second.running == 0 && entry.second.waiting == 0;
  });
  for (auto& [unit, count] : state_.units) {
    count.offered = Duration(0);
  }
  on_sample_(std::move(counts));
}

void FleetFrontend::SetView(FleetViewPtr view) {
  if (view->routes) {
    state_.balancer.Work().ApplyConfiguration(view->routes);
    if (view->routes != state_.views.Current()->routes) {
      state_.caller_deadlines.Trim(*view->routes);
    }
    server_->SetLimits(LimitsOf(view->routes->Limits()));
    gateway_server_->SetLimits(GatewayLimitsOf(view->routes->Limits()));
  }
  state_.quota.ApplyDigest(view->quota, Now());
  state_.limits.Received(view->limits);
  metrics_.Set({"rudderloom_quarantined_requests"},
               view->quarantine ? static_cast<double>(view->quarantine->quarantined.size()) : 0.0);
  state_.views.SetView(std::move(view));
  ObserveVersions(state_, *state_.views.Current());
  ReviewQuarantine(state_, *state_.views.Current());
}

void FleetFrontend::BeginStop(TimePoint stop_deadline) {
  stopping_ = true;
  state_.stop_deadline = stop_deadline;
  state_.stopping = true;
  ReportOwnStreams(state_);
  state_.views.WakeAll();
  state_.sample_soon();
  server_->CloseAfterAnswers();
  gateway_server_->CloseAfterAnswers();
}

void FleetFrontend::StopAccepting() {
  state_.notice_over = true;
  server_->Stop();
  gateway_server_->Stop();
}

void FleetFrontend::InterruptRequests() {
  for (CallGuard* guard : state_.guards) {
    guard->ExpireDeadline();
  }
  server_->RefusePartialRequests();
  gateway_server_->RefusePartialRequests();
}

bool FleetFrontend::Ready() const {
  const FleetViewPtr& view = state_.views.Current();
  return !stopping_ && view->routes && view->endpoints_known;
}

Awaitable<void> FleetFrontend::AnswerReadiness(HttpExchange& exchange) {
  Reply reply;
  reply.status = Ready() ? 200 : 503;
  reply.body = Ready() ? "{\"ready\":true}" : "{\"ready\":false}";
  co_await exchange.Send(std::move(reply));
}

Awaitable<void> FleetFrontend::AnswerMetrics(HttpExchange& exchange) {
  auto page = AnswerQuarantinePage(exchange.Request(), state_.views.Current()->quarantine);
  if (page) {
    if (page->cleared) {
      LogLine("quarantine_cleared").With("request", TextOf(*page->cleared));
      RecordCleared(state_, *page->cleared);
    }
    co_await exchange.Send(std::move(page->reply));
    co_return;
  }
  Reply reply;
  reply.content_type = "text/plain; version=0.0.4";
  reply.body = metrics_.Text();
  co_await exchange.Send(std::move(reply));
}

Awaitable<void> FleetFrontend::TrimLoop() {
  while (true) {
    co_await PauseFor(context_, kTrimInterval);
    const FleetViewPtr view = state_.views.Current();
    std::vector<std::string> instances;
    for (const FleetEndpoint& endpoint : view->endpoints) {
      instances.push_back(endpoint.record.instance);
    }
    state_.pool.Trim(instances, Now());
    std::vector<std::string> gateways;
    for (const Gateway& gateway : view->gateways) {
      gateways.push_back(gateway.address);
    }
    state_.gateway_pool.Trim(gateways, Now());
    state_.gateways.Trim(Now());
    state_.reach.Trim(Now());
    state_.pauses.Trim(Now());
    state_.own_streams.Trim(Now());
    std::erase_if(state_.leaving, [now = Now()](const auto& entry) {
      return now - entry.second > kLeavingRetention;
    });
    state_.balancer.Trim(*view, Now());
    state_.missing.Trim(Now());
    state_.crashes.Trim(Now());
    std::set<EndpointKey> keys;
    for (const std::string& instance : instances) {
      keys.insert(KeyOf(instance));
    }
    state_.limits.Trim([&](EndpointKey endpoint) { return keys.contains(endpoint); }, Now());
    ReviewSlowReaders(state_);
    metrics_.Set({"rudderloom_requests_active"}, static_cast<double>(Active()));
    metrics_.Set({"rudderloom_requests_waiting"}, static_cast<double>(state_.views.Waiting()));
    if (const std::uint64_t dropped = state_.log_quota.TakeDropped()) {
      LogLine("log_lines_dropped").With("count", dropped);
    }
  }
}

}  // namespace rudderloom
