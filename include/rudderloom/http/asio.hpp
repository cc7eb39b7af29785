/// @file
/// The few names of Boost.Asio and Boost.Beast that every HTTP user in this project shares.
#ifndef RUDDERLOOM_HTTP_ASIO_HPP
#define RUDDERLOOM_HTTP_ASIO_HPP

#include <boost/asio.hpp>   // for io_context, awaitable, tcp
#include <boost/beast.hpp>  // for http
#include <string>           // for string
#include <utility>          // for pair
#include <vector>           // for vector

namespace rudderloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

/// @brief A coroutine that gives a T.
/// @ingroup http
template <class T>
using Awaitable = asio::awaitable<T>;

/// @brief Completion token: the coroutine gets (error_code, values...) and nothing throws.
/// @ingroup http
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// @brief A whole request with its body in memory (bounded by the server's limits).
/// @ingroup http
using HttpRequest = http::request<http::string_body>;

/// @brief A whole answer with its body in memory.
/// @ingroup http
using HttpResponse = http::response<http::string_body>;

/// @brief Header names and values to add to a message.
/// @ingroup http
using HeaderList = std::vector<std::pair<std::string, std::string>>;

}  // namespace rudderloom

#endif
