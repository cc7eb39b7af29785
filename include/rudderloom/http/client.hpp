/// @file
/// HTTP/1.1 client on Boost.Beast that says, for each failure, whether a byte may have left.
#ifndef RUDDERLOOM_HTTP_CLIENT_HPP
#define RUDDERLOOM_HTTP_CLIENT_HPP

#include <map>      // for map
#include <memory>   // for unique_ptr
#include <string>   // for string
#include <variant>  // for variant
#include <vector>   // for vector

#include "rudderloom/base/clock.hpp"  // for Duration
#include "rudderloom/http/asio.hpp"   // for Awaitable

namespace rudderloom {

/// @brief A call that got no whole answer.
/// @ingroup http
struct HttpFailure {
  bool may_have_left = false;  ///< False only when no byte of the request was written.
  bool timed_out = false;
  bool on_reused = false;  ///< The connection had carried an earlier call.
  std::string message;
};

/// @brief How long the steps of a call may take.
/// @ingroup http
struct CallTimes {
  Duration connect{1'000};
  Duration first_byte{10'000};  ///< From the request written to the answer's header read.
  Duration between{10'000};     ///< Between two pieces of the body.
};

/// @brief Whether a call may use a connection that carried others before.
/// A reused connection may have been closed by the other side, after which one can't tell
/// whether the request was read; calls that may not be repeated take a fresh one.
/// @ingroup http
enum class Reuse { kAllowed, kNever };

/// @brief An answer whose header is read and whose body is read piece by piece.
/// @ingroup http
class HttpStream {
 public:
  struct End {};

  HttpStream(tcp::socket socket, CallTimes times);

  /// @brief Sends the request and reads the header of the answer.
  Awaitable<std::variant<End, HttpFailure>> Start(const HttpRequest& request);

  unsigned Status() const;
  std::string Header(std::string_view name) const;

  /// @brief All headers of the answer but those that concern one connection only.
  HeaderList EndToEndHeaders() const;

  /// @brief The next piece of the body, its proper end, or a failure.
  Awaitable<std::variant<std::string, End, HttpFailure>> ReadSome();

  /// @brief True once the body ended properly and the connection may carry another call.
  bool Reusable() const;

  tcp::socket TakeSocket() { return std::move(socket_); }

 private:
  HttpFailure FailureAfterSend(boost::system::error_code error, bool timed_out) const;

  tcp::socket socket_;
  CallTimes times_;
  beast::flat_buffer buffer_;
  http::response_parser<http::buffer_body> parser_;
};

/// @brief Makes the kernel give a connection up once its other side has been silent for `limit`,
/// also while nothing is being sent: a peer that lost power or was cut off never says so.
/// @ingroup http
void GuardAgainstSilence(tcp::socket& socket, Duration limit);

/// @brief Splits `127.0.0.1:8080`; throws std::invalid_argument when it isn't an IP and a port.
/// @ingroup http
tcp::endpoint ParseAddress(const std::string& address);

/// @brief Calls by IP number, with idle connections kept for reuse. One thread only.
/// @ingroup http
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& context) : context_(context) {}

  /// @brief Sends a request and gives the answer with its header read.
  Awaitable<std::variant<std::unique_ptr<HttpStream>, HttpFailure>> Open(std::string address,
                                                                         HttpRequest request,
                                                                         CallTimes times,
                                                                         Reuse reuse);

  /// @brief Sends a request and reads the whole answer.
  Awaitable<std::variant<HttpResponse, HttpFailure>> Call(std::string address,
                                                          HttpRequest request,
                                                          CallTimes times,
                                                          Reuse reuse);

  /// @brief Gives a stream's connection back for reuse when that is safe.
  void Release(const std::string& address, std::unique_ptr<HttpStream> stream);

 private:
  struct Idle {
    tcp::socket socket;
    TimePoint used_at;  ///< When an answer last came on it.
  };

  std::optional<tcp::socket> TakeIdle(const std::string& address);
  // Closes the connections on which nothing has come since `moment`.
  void DropIdleSince(const std::string& address, TimePoint moment);

  asio::io_context& context_;
  std::map<std::string, std::vector<Idle>> idle_;
};

/// @brief A request without or with a JSON body.
/// @ingroup http
HttpRequest MakeRequest(http::verb verb,
                        const std::string& address,
                        const std::string& target,
                        std::string body = {});

}  // namespace rudderloom

#endif
