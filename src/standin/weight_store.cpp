// The weight store: downloads are rate-limited and slow down once many run concurrently.
#include "standin/standin.hpp"  // for Frame

namespace rudderloom::standin {

void RunWeightStore(const Options& options) {
  StandinRuntime runtime;
  TokenBucket rate_limiter(options.loads_per_second);
  std::int64_t active = 0;
  std::int64_t served = 0;
  std::int64_t throttled = 0;
  auto handle = [&](HttpExchange& exchange) -> Awaitable<void> {
    if (!rate_limiter.TryAcquire()) {
      ++throttled;
      Reply reply = JsonReply(429, {{"reason", "TooManyRequests"}});
      reply.headers.emplace_back("Retry-After", "1");
      co_await exchange.Send(std::move(reply));
      co_return;
    }
    ++active;
    const std::int64_t slowdown = std::max<std::int64_t>(1, active / options.full_speed_downloads);
    co_await SleepFor(runtime.context, options.load_ms * slowdown);
    --active;
    ++served;
    const boost::json::object weights{{"weights", "here"}};
    co_await exchange.Send(JsonReply(200, weights));
  };
  runtime.Run(
      options, handle,
      [&] {
        return boost::json::object{{"served", served}, {"throttled", throttled}};
      },
      [](std::string) -> Awaitable<void> { co_return; }, []() -> Awaitable<void> { co_return; });
}

}  // namespace rudderloom::standin
