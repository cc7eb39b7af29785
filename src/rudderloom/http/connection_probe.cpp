#include "rudderloom/http/connection_probe.hpp"

#include "rudderloom/base/backoff.hpp"   // for Backoff
#include "rudderloom/http/client.hpp"    // for ParseAddress
#include "rudderloom/http/pause.hpp"     // for PauseFor
#include "rudderloom/http/watchdog.hpp"  // for Watchdog

namespace rudderloom {

namespace {

constexpr Duration kMinRetryPause{20};
constexpr Duration kMaxRetryPause{320};

Awaitable<bool> IsConnectionRefused(asio::io_context& context,
                                    tcp::endpoint endpoint,
                                    Duration limit) {
  tcp::socket socket(context);
  const Watchdog watchdog(socket, limit);
  const auto [error] = co_await socket.async_connect(endpoint, kAsTuple);
  co_return error == asio::error::connection_refused;
}

}  // namespace

Awaitable<bool> AwaitConnectionRefusal(asio::io_context& context,
                                       std::string address,
                                       Duration attempt_timeout,
                                       TimePoint deadline) {
  tcp::endpoint endpoint;
  try {
    endpoint = ParseAddress(address);
  } catch (const std::invalid_argument&) {
    co_return false;  // unknown: not a valid address
  }
  Backoff backoff(kMinRetryPause, kMaxRetryPause, std::hash<std::string>{}(address));
  while (!co_await IsConnectionRefused(context, endpoint, attempt_timeout)) {
    const Duration pause = backoff.Next();
    if (Now() + pause >= deadline) {
      co_return false;
    }
    co_await PauseFor(context, pause);
  }
  co_return true;
}

}  // namespace rudderloom
