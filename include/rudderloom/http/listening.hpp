/// @file
/// Whether a process listens at an address.
#ifndef RUDDERLOOM_HTTP_LISTENING_HPP
#define RUDDERLOOM_HTTP_LISTENING_HPP

#include <string>  // for string

#include "rudderloom/base/clock.hpp"  // for Duration
#include "rudderloom/http/asio.hpp"   // for Awaitable

namespace rudderloom {

/// @brief True when the machine answers that no process listens there. A machine that doesn't
/// answer within `limit` tells nothing: its power or its link may be gone.
/// @ingroup http
Awaitable<bool> NobodyListens(asio::io_context& context, std::string address, Duration limit);

}  // namespace rudderloom

#endif
