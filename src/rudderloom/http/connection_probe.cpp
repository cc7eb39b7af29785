#include "rudderloom/http/connection_probe.hpp"

#include "rudderloom/http/client.hpp"    // for ParseAddress
#include "rudderloom/http/watchdog.hpp"  // for Watchdog

namespace rudderloom {

Awaitable<bool> IsConnectionRefused(asio::io_context& context,
                                    std::string address,
                                    Duration limit) {
  tcp::endpoint endpoint;
  try {
    endpoint = ParseAddress(address);
  } catch (const std::invalid_argument&) {
    co_return false;  // unknown: not a valid address
  }
  tcp::socket socket(context);
  const Watchdog watchdog(socket, limit);
  const auto [error] = co_await socket.async_connect(endpoint, kAsTuple);
  co_return error == asio::error::connection_refused;
}

}  // namespace rudderloom
