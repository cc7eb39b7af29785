// The weight store: rate-limited downloads, full speed for a bounded number at once.
#include "standin/standin.hpp"  // for Frame

namespace rudderloom::standin {

void RunWeightStore(const Options& options) {
  Frame frame;
  Bucket bucket(options.loads_per_second);
  std::int64_t running = 0;
  std::int64_t served = 0;
  std::int64_t throttled = 0;
  auto handle = [&](HttpExchange& exchange) -> Awaitable<void> {
    if (!bucket.Take()) {
      ++throttled;
      Reply reply = JsonReply(429, {{"reason", "TooManyRequests"}});
      reply.headers.emplace_back("Retry-After", "1");
      co_await exchange.Send(std::move(reply));
      co_return;
    }
    ++running;
    const std::int64_t slower = std::max<std::int64_t>(1, running / options.loads_at_once);
    co_await Pause(frame.context, options.load_ms * slower);
    --running;
    ++served;
    const boost::json::object weights{{"weights", "here"}};
    co_await exchange.Send(JsonReply(200, weights));
  };
  frame.Run(
      options, handle,
      [&] {
        return boost::json::object{{"served", served}, {"throttled", throttled}};
      },
      [](std::string) -> Awaitable<void> { co_return; }, []() -> Awaitable<void> { co_return; });
}

}  // namespace rudderloom::standin
