/// @file
/// Checks whether a process listens on an address.
#ifndef RUDDERLOOM_HTTP_CONNECTION_PROBE_HPP
#define RUDDERLOOM_HTTP_CONNECTION_PROBE_HPP

#include <string>  // for string

#include "rudderloom/base/clock.hpp"  // for Duration, TimePoint
#include "rudderloom/http/asio.hpp"   // for Awaitable

namespace rudderloom {

/// @brief Waits until the host refuses a connection, so no process listens on the address. Tries
/// again until then, as a process that exits may close connections before it stops listening.
/// @param attempt_timeout Time for one attempt; a host that does not answer may be powered off or
/// unreachable.
/// @return False if no connection was refused until `deadline`.
/// @ingroup http
Awaitable<bool> AwaitConnectionRefusal(asio::io_context& context,
                                       std::string address,
                                       Duration attempt_timeout,
                                       TimePoint deadline);

}  // namespace rudderloom

#endif
