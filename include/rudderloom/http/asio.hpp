/// @file
/// Boost.Asio and Boost.Beast aliases shared by all HTTP code.
#ifndef RUDDERLOOM_HTTP_ASIO_HPP
#define RUDDERLOOM_HTTP_ASIO_HPP

#include <boost/asio/as_tuple.hpp>              // for as_tuple
#include <boost/asio/awaitable.hpp>             // for awaitable
#include <boost/asio/basic_waitable_timer.hpp>  // for basic_waitable_timer
#include <boost/asio/co_spawn.hpp>              // for co_spawn
#include <boost/asio/detached.hpp>              // for detached
#include <boost/asio/executor_work_guard.hpp>   // for make_work_guard
#include <boost/asio/io_context.hpp>            // for io_context
#include <boost/asio/ip/tcp.hpp>                // for tcp
#include <boost/asio/post.hpp>                  // for post
#include <boost/asio/signal_set.hpp>            // for signal_set
#include <boost/asio/this_coro.hpp>             // for this_coro
#include <boost/asio/use_awaitable.hpp>         // for use_awaitable
#include <boost/asio/write.hpp>                 // for async_write
#include <boost/beast/core/flat_buffer.hpp>     // for flat_buffer
#include <boost/beast/core/string.hpp>          // for iequals
#include <boost/beast/http.hpp>                 // for http
#include <string>                               // for string
#include <utility>                              // for pair
#include <vector>                               // for vector

#include "rudderloom/base/clock.hpp"  // for SuspendAwareClock

namespace rudderloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

/// @brief A timer on SuspendAwareClock. A timer that came due while the machine was suspended
/// expires together with the next timer of the same io_context.
/// @ingroup http
using Timer = asio::basic_waitable_timer<SuspendAwareClock>;

/// @brief A coroutine that returns a T.
/// @ingroup http
template <class T>
using Awaitable = asio::awaitable<T>;

/// @brief Completion token that returns (error_code, values...) as a tuple instead of throwing.
/// @ingroup http
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// @brief A complete request with its body in memory; the server's limits bound its size.
/// @ingroup http
using HttpRequest = http::request<http::string_body>;

/// @brief A complete response with its body in memory.
/// @ingroup http
using HttpResponse = http::response<http::string_body>;

/// @brief Header names and values to add to a message.
/// @ingroup http
using HeaderList = std::vector<std::pair<std::string, std::string>>;

}  // namespace rudderloom

#endif
