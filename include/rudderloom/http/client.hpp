/// @file
/// HTTP/1.1 client on Boost.Beast that reports for each failure whether any byte may have been
/// sent.
#ifndef RUDDERLOOM_HTTP_CLIENT_HPP
#define RUDDERLOOM_HTTP_CLIENT_HPP

#include <map>       // for map
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"           // for Duration
#include "rudderloom/http/answer_head.hpp"     // for AnswerParser
#include "rudderloom/http/asio.hpp"            // for Awaitable
#include "rudderloom/http/byte_budget.hpp"     // for ByteBudget
#include "rudderloom/http/call_guard.hpp"      // for CallGuard
#include "rudderloom/http/message_limits.hpp"  // for kMaxUnparsedBytes

namespace rudderloom {

/// @brief A call that did not receive a complete response.
/// @ingroup http
struct HttpFailure {
  bool may_have_been_sent = false;  ///< False only when no byte of the request was written.
  bool timed_out = false;
  bool on_reused_connection = false;  ///< The connection had been used by an earlier call.
  std::string message;
};

/// @brief Timeouts for the steps of a call.
/// @ingroup http
struct CallTimeouts {
  Duration connect{1'000};
  Duration first_byte{10'000};  ///< From sending the request to the response header.
  Duration between{10'000};     ///< Between two chunks of the body.
};

/// @brief Whether a call may reuse a pooled connection.
/// The peer may already have closed a reused connection, and then it is unknown whether it read
/// the request. Calls that must not be repeated therefore open a new connection.
/// @ingroup http
enum class ConnectionReuse { kAllowed, kNever };

/// @brief A response whose header has been read and whose body is read incrementally.
/// @ingroup http
class HttpStream {
 public:
  struct End {};

  /// @param guard Closes the connection when it interrupts the request; null for none. It must
  /// outlive the stream.
  HttpStream(tcp::socket socket, CallTimeouts times, CallGuard* guard);
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;
  ~HttpStream();

  /// @brief Sends the request and reads the response header. Interim (1xx) headers are skipped.
  Awaitable<std::variant<End, HttpFailure>> Start(const HttpRequest& request);

  unsigned Status() const;
  std::string Header(std::string_view name) const;

  /// @brief All response headers except the hop-by-hop ones.
  HeaderList EndToEndHeaders() const;

  /// @brief Returns the next chunk of the body, End after a complete body, or a failure.
  Awaitable<std::variant<std::string, End, HttpFailure>> ReadSome();

  /// @brief True once the body is complete and the connection can serve another call: the body's
  /// end was told by its header, and no surplus bytes followed.
  bool Reusable() const;

  tcp::socket TakeSocket() { return std::move(socket_); }

 private:
  HttpFailure FailureAfterSend(boost::system::error_code error, bool timed_out) const;

  tcp::socket socket_;
  CallTimeouts timeouts_;
  CallGuard* guard_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<AnswerParser> parser_;  // of the header that was read last
};

/// @brief Reads the rest of a response's body.
/// @param held Counts what has been read. The body is too long once the share is full.
/// @ingroup http
Awaitable<std::variant<std::string, HttpFailure>> ReadBody(HttpStream& stream, ByteShare& held);

/// @brief Makes the kernel drop a connection once its peer has been silent for `limit`, even while
/// no data is being sent: a peer that lost power or its network link never closes the connection.
/// @ingroup http
void EnableDeadPeerDetection(tcp::socket& socket, Duration limit);

/// @brief Parses an address such as `127.0.0.1:8080`.
/// @throws std::invalid_argument when it is not an IP address and a port.
/// @ingroup http
tcp::endpoint ParseAddress(const std::string& address);

/// @brief HTTP client that addresses servers by IP and pools idle connections. Not thread-safe.
/// @ingroup http
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& context);

  /// @brief Sends a request and returns the response once its header has been read.
  /// @param guard Interrupts the call and the reading of its response; null for none. It must
  /// outlive the returned stream.
  Awaitable<std::variant<std::unique_ptr<HttpStream>, HttpFailure>> Open(
      std::string address,
      HttpRequest request,
      CallTimeouts times,
      ConnectionReuse reuse,
      CallGuard* guard = nullptr);

  /// @brief Sends a request and reads the complete response. Fails if the body has over 4 MiB, or
  /// over 16 KiB while the bodies of all calls that are being read have over 16 MiB.
  Awaitable<std::variant<HttpResponse, HttpFailure>> Call(std::string address,
                                                          HttpRequest request,
                                                          CallTimeouts times,
                                                          ConnectionReuse reuse);

  /// @brief Returns a stream's connection to the pool if it can be reused.
  void Release(const std::string& address, std::unique_ptr<HttpStream> stream);

 private:
  struct IdleConnection {
    tcp::socket socket;
    TimePoint last_used_at;  ///< When the last response on it was completed.
  };

  std::optional<tcp::socket> TakeIdle(const std::string& address);
  Awaitable<std::optional<HttpFailure>> Connect(tcp::socket& socket,
                                                std::string address,
                                                Duration limit,
                                                CallGuard* guard);
  // Closes the pooled connections that were last used at or before `cutoff`.
  void CloseIdleUnusedSince(const std::string& address, TimePoint cutoff);

  asio::io_context& context_;
  // Of the bodies that calls have read in part. Shared with the calls, which may outlive this
  // object while they are destroyed.
  std::shared_ptr<ByteBudget> bodies_;
  std::map<std::string, std::vector<IdleConnection>> idle_connections_;
};

/// @brief Creates a request; a non-empty body is sent as JSON.
/// @ingroup http
HttpRequest MakeRequest(http::verb verb,
                        const std::string& address,
                        const std::string& target,
                        std::string body = {});

}  // namespace rudderloom

#endif
