// A plain service: counts how often each call ran, by its call id. A call to `/end` ends the
// process.
#include <cstdlib>  // for _Exit
#include <map>      // for map

#include "standin/standin.hpp"  // for Frame

namespace rudderloom::standin {

namespace json = boost::json;

namespace {
constexpr int kEndedByCall = 3;  // exit status
}

void RunService(const Options& options) {
  Frame frame;
  std::map<std::string, std::int64_t> runs;
  std::string address;
  std::string state = "live";
  auto handle = [&](HttpExchange& exchange) -> Awaitable<void> {
    const HttpRequest& request = exchange.Request();
    if (request.target() == "/load") {
      const json::object report{{"name", options.name}, {"state", state}, {"slots", options.slots}};
      co_await exchange.Send(JsonReply(200, report));
      co_return;
    }
    if (frame.faults.Take("close_before_run")) {
      exchange.Abort();
      co_return;
    }
    if (request.target() == "/end") {
      std::_Exit(kEndedByCall);
    }
    const std::string call(request["X-Call-Id"]);
    const std::int64_t count = ++runs[call];
    co_await Pause(frame.context, std::max<std::int64_t>(options.token_ms, 1));
    if (frame.faults.Take("lose_answer")) {
      exchange.Abort();
      co_return;
    }
    Reply reply = JsonReply(200, {{"service", options.service},
                                  {"target", std::string(request.target())},
                                  {"call", call},
                                  {"count", count}});
    if (state != "live") {
      reply.headers.emplace_back("X-Endpoint-State", state);
    }
    co_await exchange.Send(std::move(reply));
  };
  auto stats = [&] {
    json::object counts;
    std::int64_t doubled = 0;
    for (const auto& [call, count] : runs) {
      counts[call] = count;
      doubled += count > 1 ? 1 : 0;
    }
    return json::object{{"calls", counts.size()}, {"doubled", doubled}, {"runs", counts}};
  };
  auto started = [&](std::string listening) -> Awaitable<void> {
    address = listening;
    co_await Announce(frame, options, address, "live");
  };
  auto leaving = [&]() -> Awaitable<void> {
    state = "leaving";
    co_await Announce(frame, options, address, "leaving");
  };
  frame.Run(options, handle, stats, started, leaving);
}

}  // namespace rudderloom::standin
