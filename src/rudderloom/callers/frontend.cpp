#include "rudderloom/callers/frontend.hpp"

#include <boost/json.hpp>  // for object

namespace rudderloom {

namespace json = boost::json;

namespace {

// Of all responses that have been read in part, so that faulty endpoints don't fill the memory.
constexpr std::size_t kMaxBodyBytes = 128 * 1024 * 1024;

constexpr Duration kSampleInterval{100};
constexpr std::string_view kServicesPath = "/services/";

std::uint64_t SeedFrom(const std::string& incarnation) {
  return std::hash<std::string>{}(incarnation);
}

HttpLimits ToHttpLimits(const LimitSettings& settings) {
  HttpLimits limits;
  limits.header_bytes = static_cast<std::uint32_t>(settings.header);
  limits.body_bytes = settings.body;
  limits.header_time = settings.header_time;
  limits.idle_time = settings.idle_time;
  limits.write_time = settings.write_time;
  limits.connections = settings.connections;
  return limits;
}

Reply TextReply(unsigned status, std::string type, std::string body) {
  Reply reply;
  reply.status = status;
  reply.content_type = std::move(type);
  reply.body = std::move(body);
  return reply;
}

}  // namespace

Frontend::Frontend(asio::io_context& context,
                   const Settings& settings,
                   const std::string& incarnation,
                   ObjectStore& store,
                   const ContactMonitor& contact,
                   Metrics& metrics,
                   FrontendHooks hooks)
    : context_(context),
      settings_(settings),
      contact_(contact),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      dispatcher_(context, settings.limits.queue, SeedFrom(incarnation)),
      client_(context),
      retries_(settings.retries, SeedFrom(incarnation) + 1),
      claims_(context, store, incarnation, settings.claims, metrics),
      bodies_(kMaxBodyBytes),
      shared_{context,
              settings,
              dispatcher_,
              client_,
              retries_,
              claims_,
              metrics,
              crashes_,
              bodies_,
              [this](std::string endpoint) {
                hooks_.post(message::EndpointAnnouncedLeaving{std::move(endpoint)});
              }} {}

std::string Frontend::Start() {
  HttpHandlers handlers;
  handlers.handle = [this](HttpExchange& exchange) { return Handle(exchange); };
  handlers.read_failure = [this](ReadFailure failure) {
    const Refusal refusal = ToRefusal(failure);
    metrics_.Count({"rudderloom_refusals_total", "reason", NameOf(refusal.reason)});
    return ToReply(refusal, GetRequestId(HttpRequest()));
  };
  handlers.slow_reader = [this] {
    metrics_.Count({"rudderloom_refusals_total", "reason", "slow_reader"});
  };
  server_ =
      std::make_shared<HttpServer>(context_, ToHttpLimits(settings_.limits), std::move(handlers));
  const std::uint16_t port = server_->Listen(settings_.callers.address, settings_.callers.port);
  asio::co_spawn(context_, SampleLoop(), asio::detached);
  return settings_.callers.address + ":" + std::to_string(port);
}

void Frontend::UpdateSnapshot(SnapshotPtr snapshot) {
  asio::post(context_, [this, snapshot = std::move(snapshot)]() mutable {
    dispatcher_.UpdateSnapshot(std::move(snapshot));
  });
}

void Frontend::BeginStop(TimePoint deadline) {
  stopping_ = true;
  server_->CloseAfterAnswers();
  dispatcher_.BeginStop(deadline);
  claims_.BeginStop();
}

void Frontend::InterruptCalls() {
  for (CallGuard* guard : guards_) {
    guard->Stop();
  }
}

void Frontend::Close() {
  refusing_ = true;
  server_->Stop();
  server_->RefusePartialRequests();
}

Awaitable<void> Frontend::SampleLoop() {
  while (true) {
    Timer pause(context_, kSampleInterval);
    co_await pause.async_wait(kAsTuple);
    metrics_.Set({"rudderloom_waiting"}, static_cast<double>(dispatcher_.Waiting()));
    metrics_.Set({"rudderloom_running"}, static_cast<double>(server_->Active()));
    message::TrafficSampled sampled = dispatcher_.Sample();
    sampled.crash_news = crashes_.Take();
    crashes_.Trim(Now());
    hooks_.post(std::move(sampled));
  }
}

// Returns why this node can't serve requests at present; empty if it can.
std::optional<RefusalReason> Frontend::UnavailableReason() const {
  if (refusing_) {
    return RefusalReason::kStopping;
  }
  if (!dispatcher_.Current()->ready) {
    return RefusalReason::kNotReady;
  }
  if (contact_.IsStale(Now(), settings_.membership.unconfirmed_limit)) {
    return RefusalReason::kIsolated;
  }
  return std::nullopt;
}

Reply Frontend::Readiness() const {
  const auto reason = UnavailableReason();
  if (!stopping_ && !reason) {
    return TextReply(200, "application/json", R"({"ready":true})");
  }
  const std::string name = stopping_ ? "stopping" : std::string(NameOf(*reason));
  return TextReply(503, "application/json",
                   json::serialize(json::object{{"ready", false}, {"reason", name}}));
}

Awaitable<void> Frontend::Handle(HttpExchange& exchange) {
  std::string target(exchange.Request().target());
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/healthz") {
    co_await exchange.Send(TextReply(200, "text/plain", "ok\n"));
  } else if (path == "/readyz") {
    co_await exchange.Send(Readiness());
  } else if (path == "/metrics") {
    co_await exchange.Send(TextReply(200, "text/plain; version=0.0.4", metrics_.Text()));
  } else {
    co_await HandleCall(exchange, path);
  }
}

Awaitable<void> Frontend::HandleCall(HttpExchange& exchange, std::string path) {
  std::string request_id = GetRequestId(exchange.Request());
  const bool chat = path == "/v1/chat/completions";
  const bool completion = chat || path == "/v1/completions";
  const bool models = path == "/v1/models";
  const bool service = path.starts_with(kServicesPath);
  Refusal refusal;
  if (!completion && !models && !service) {
    refusal.reason = RefusalReason::kUnknownPath;
    co_await SendRefusal(shared_, exchange, std::move(refusal), std::move(request_id));
    co_return;
  }
  const http::verb expected_method = completion ? http::verb::post : http::verb::get;
  if (!service && exchange.Request().method() != expected_method) {
    refusal.reason = RefusalReason::kMethodNotAllowed;
    co_await SendRefusal(shared_, exchange, std::move(refusal), std::move(request_id));
    co_return;
  }
  if (const auto reason = UnavailableReason()) {
    refusal.reason = *reason;
    co_await SendRefusal(shared_, exchange, std::move(refusal), std::move(request_id));
    co_return;
  }
  if (models) {
    co_await ListModels(exchange, std::move(request_id));
    co_return;
  }
  const ConfigurationPtr configuration = dispatcher_.Current()->configuration;
  auto info = ReadRequestInfo(exchange.Request(), request_id, *configuration, settings_.deadlines,
                              Now(), UnixSeconds());
  if (auto* refused = std::get_if<Refusal>(&info)) {
    co_await SendRefusal(shared_, exchange, std::move(*refused), std::move(request_id));
    co_return;
  }
  RequestInfo request_info = std::move(std::get<RequestInfo>(info));
  // Each step of a call has its own timeout.
  CallGuard guard(context_, guards_, TimePoint::max(), [] { return true; });
  if (service) {
    co_await ServeService(shared_, exchange, guard, std::move(request_info));
  } else {
    co_await ServeCompletion(shared_, exchange, guard, std::move(request_info));
  }
}

Awaitable<void> Frontend::ListModels(HttpExchange& exchange, std::string request_id) {
  json::array data;
  for (const auto& [name, set] : dispatcher_.Current()->models) {
    data.push_back(json::object{
        {"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "rudderloom"}});
  }
  Reply reply;
  reply.body = json::serialize(json::object{{"object", "list"}, {"data", data}});
  reply.headers.emplace_back(header::kRequestId, request_id);
  co_await exchange.Send(std::move(reply));
}

}  // namespace rudderloom
