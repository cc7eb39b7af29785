/// @file
/// Checks whether a process listens on an address.
#ifndef RUDDERLOOM_HTTP_CONNECTION_PROBE_HPP
#define RUDDERLOOM_HTTP_CONNECTION_PROBE_HPP

#include <string>  // for string

#include "rudderloom/base/clock.hpp"  // for Duration
#include "rudderloom/http/asio.hpp"   // for Awaitable

namespace rudderloom {

/// @brief True when the host refuses the connection, so no process listens on the address. False
/// when a connection is accepted, and when the host does not answer within `limit`, because it may
/// be powered off or unreachable.
/// @ingroup http
Awaitable<bool> IsConnectionRefused(asio::io_context& context, std::string address, Duration limit);

}  // namespace rudderloom

#endif
