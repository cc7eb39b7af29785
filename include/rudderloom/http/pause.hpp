/// @file
/// Delays a coroutine.
#ifndef RUDDERLOOM_HTTP_PAUSE_HPP
#define RUDDERLOOM_HTTP_PAUSE_HPP

#include "rudderloom/base/clock.hpp"  // for Duration
#include "rudderloom/http/asio.hpp"   // for Awaitable

namespace rudderloom {

/// @brief Resumes after `pause`; other coroutines of the io_context keep running.
/// @ingroup http
inline Awaitable<void> PauseFor(asio::io_context& context, Duration pause) {
  Timer timer(context, pause);
  co_await timer.async_wait(kAsTuple);
}

}  // namespace rudderloom

#endif
