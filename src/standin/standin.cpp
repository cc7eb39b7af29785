#include "standin/standin.hpp"

#include <csignal>   // for SIGTERM
#include <iostream>  // for cout

namespace rudderloom::standin {

namespace json = boost::json;

namespace {
constexpr std::int64_t kPollIntervalMs = 20;
constexpr int kRegisterAttempts = 50;
constexpr std::int64_t kRegisterRetryDelayMs = 100;
}  // namespace

void Faults::Set(const json::object& values) {
  for (const auto& member : values) {
    values_[member.key()] = member.value();
  }
}

std::int64_t Faults::Get(std::string_view name) const {
  const json::value* found = values_.if_contains({name.data(), name.size()});
  if (found == nullptr) {
    return 0;
  }
  if (found->is_bool()) {
    return found->as_bool() ? 1 : 0;
  }
  return found->is_int64() ? found->as_int64() : 0;
}

bool Faults::ConsumeOne(std::string_view name) {
  const std::int64_t remaining = Get(name);
  if (remaining <= 0) {
    return false;
  }
  values_[json::string_view(name.data(), name.size())] = remaining - 1;
  return true;
}

bool TokenBucket::TryAcquire() {
  const TimePoint now = Now();
  const double seconds = std::chrono::duration<double>(now - last_refill_).count();
  last_refill_ = now;
  available_ =
      std::min(static_cast<double>(rate_), available_ + seconds * static_cast<double>(rate_));
  if (available_ < 1.0) {
    return false;
  }
  available_ -= 1.0;
  return true;
}

Awaitable<void> SleepFor(asio::io_context& context, std::int64_t milliseconds) {
  Timer timer(context, Duration(milliseconds));
  co_await timer.async_wait(kAsTuple);
}

Reply JsonReply(unsigned status, const json::object& body) {
  Reply reply;
  reply.status = status;
  reply.body = json::serialize(body);
  return reply;
}

Awaitable<void> RegisterEndpoint(StandinRuntime& runtime,
                                 const Options& options,
                                 std::string address,
                                 std::string state) {
  if (options.platform.empty()) {
    co_return;
  }
  const json::object spec{{"address", address},
                          {"pool", options.pool},
                          {"availabilityZone", options.zone},
                          {"memory", options.memory},
                          {"slots", options.slots},
                          {"service", options.service},
                          {"checksFences", options.checks_fencing},
                          {"state", state}};
  const json::object object{{"metadata", {{"name", options.name}}}, {"spec", spec}};
  const std::string target = "/apis/rudderloom/v1/endpoints/" + options.name;
  for (int i = 0; i < kRegisterAttempts; ++i) {
    HttpRequest request =
        MakeRequest(http::verb::put, options.platform, target, json::serialize(object));
    auto answer = co_await runtime.client.Call(options.platform, std::move(request), CallTimeouts{},
                                               ConnectionReuse::kNever);
    const auto* response = std::get_if<HttpResponse>(&answer);
    if (response != nullptr && response->result_int() < 300) {
      co_return;
    }
    co_await SleepFor(runtime.context, kRegisterRetryDelayMs);
  }
}

void StandinRuntime::Run(const Options& options,
                         std::function<Awaitable<void>(HttpExchange&)> handle_request,
                         std::function<json::object()> collect_stats,
                         const std::function<Awaitable<void>(std::string)>& on_started,
                         std::function<Awaitable<void>()> on_stopping) {
  HttpHandlers handlers;
  handlers.handle = [&](HttpExchange& exchange) -> Awaitable<void> {
    const std::string target(exchange.Request().target());
    if (target == "/faults") {
      auto parsed = json::parse(exchange.Request().body());
      faults.Set(parsed.as_object());
      co_await exchange.Send(JsonReply(200, parsed.as_object()));
      co_return;
    }
    if (target == "/stats") {
      co_await exchange.Send(JsonReply(200, collect_stats()));
      co_return;
    }
    if (faults.Get("delay_ms") > 0) {
      co_await SleepFor(context, faults.Get("delay_ms"));
    }
    while (faults.Get("hang") > 0) {
      co_await SleepFor(context, kPollIntervalMs);
    }
    if (faults.Get("refuse") > 0) {
      exchange.Abort();
      co_return;
    }
    if (faults.Get("status") > 0) {
      co_await exchange.Send(JsonReply(static_cast<unsigned>(faults.Get("status")), {}));
      co_return;
    }
    co_await handle_request(exchange);
  };
  handlers.read_failure = [](ReadFailure) { return JsonReply(400, {}); };
  HttpLimits limits;
  limits.connections = 20'000;
  server = std::make_shared<HttpServer>(context, limits, std::move(handlers));
  const std::uint16_t port = server->Listen(options.address, options.port);
  const std::string address = options.address + ":" + std::to_string(port);
  std::cout << "ready " << address << std::endl;
  asio::co_spawn(context, on_started(address), asio::detached);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  auto stop = [&]() -> Awaitable<void> {
    co_await on_stopping();
    while (server->Active() > 0) {
      co_await SleepFor(context, kPollIntervalMs);
    }
    server->Stop();
    context.stop();
  };
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) {
      asio::co_spawn(context, stop(), asio::detached);
    }
  });
  context.run();
}

}  // namespace rudderloom::standin
