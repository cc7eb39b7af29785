// A plain service that counts the executions of each call id. A request to `/end` exits the
// process; with the fault `exit_delay_ms`, so long after its connection.
#include <cstdlib>  // for _Exit
#include <map>      // for map

#include "standin/standin.hpp"  // for Frame

namespace rudderloom::standin {

namespace json = boost::json;

namespace {
constexpr int kExitEndedByRequest = 3;

Awaitable<void> ExitLater(asio::io_context& context, std::int64_t delay_ms) {
  co_await SleepFor(context, delay_ms);
  std::_Exit(kExitEndedByRequest);
}
}  // namespace

void RunService(const Options& options) {
  StandinRuntime runtime;
  std::map<std::string, std::int64_t> run_counts;
  std::string address;
  std::string state = "live";
  auto handle_request = [&](HttpExchange& exchange) -> Awaitable<void> {
    const HttpRequest& request = exchange.Request();
    if (request.target() == "/load") {
      const json::object report{{"name", options.name}, {"state", state}, {"slots", options.slots}};
      co_await exchange.Send(JsonReply(200, report));
      co_return;
    }
    if (runtime.faults.ConsumeOne("close_before_run")) {
      exchange.Abort();
      co_return;
    }
    if (request.target() == "/end") {
      if (const std::int64_t delay = runtime.faults.Get("exit_delay_ms"); delay > 0) {
        exchange.Abort();
        asio::co_spawn(runtime.context, ExitLater(runtime.context, delay), asio::detached);
        co_return;
      }
      std::_Exit(kExitEndedByRequest);
    }
    const std::string call_id(request["X-Call-Id"]);
    const std::int64_t count = ++run_counts[call_id];
    co_await SleepFor(runtime.context, std::max<std::int64_t>(options.token_ms, 1));
    if (runtime.faults.ConsumeOne("lose_answer")) {
      exchange.Abort();
      co_return;
    }
    Reply reply = JsonReply(200, {{"service", options.service},
                                  {"target", std::string(request.target())},
                                  {"call", call_id},
                                  {"count", count}});
    if (state != "live") {
      reply.headers.emplace_back("X-Endpoint-State", state);
    }
    co_await exchange.Send(std::move(reply));
  };
  auto collect_stats = [&] {
    json::object counts;
    std::int64_t repeated = 0;
    for (const auto& [call_id, count] : run_counts) {
      counts[call_id] = count;
      repeated += count > 1 ? 1 : 0;
    }
    return json::object{{"calls", counts.size()}, {"doubled", repeated}, {"runs", counts}};
  };
  auto on_started = [&](std::string listen_address) -> Awaitable<void> {
    address = listen_address;
    co_await RegisterEndpoint(runtime, options, address, "live");
  };
  auto on_stopping = [&]() -> Awaitable<void> {
    state = "leaving";
    co_await RegisterEndpoint(runtime, options, address, "leaving");
  };
  runtime.Run(options, handle_request, collect_stats, on_started, on_stopping);
}

}  // namespace rudderloom::standin
