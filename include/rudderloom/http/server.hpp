/// @file
/// HTTP/1.1 server on Boost.Beast: limits, complete and streamed responses, and graceful shutdown.
#ifndef RUDDERLOOM_HTTP_SERVER_HPP
#define RUDDERLOOM_HTTP_SERVER_HPP

#include <cstdint>      // for uint16_t, uint64_t
#include <functional>   // for function
#include <memory>       // for shared_ptr
#include <set>          // for set
#include <string>       // for string
#include <string_view>  // for string_view
#include <variant>      // for variant

#include "rudderloom/base/clock.hpp"           // for Duration
#include "rudderloom/http/asio.hpp"            // for Awaitable, HttpRequest
#include "rudderloom/http/byte_budget.hpp"     // for ByteBudget
#include "rudderloom/http/watchdog.hpp"        // for Watchdog
#include "rudderloom/http/write_progress.hpp"  // for WriteProgress

namespace rudderloom {

/// @brief Limits on the memory and time of a connection, and on the number of connections.
/// @ingroup http
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Duration header_time{5'000};  ///< From the first byte of a request to the end of its body.
  Duration idle_time{60'000};   ///< Between requests on one connection.
  Duration write_time{10'000};  ///< For the peer to take a further part of a response.
  std::uint32_t connections = 4096;
};

/// @brief Why a request could not be read or a connection was refused.
/// @ingroup http
enum class ReadFailure {
  kHeaderTooLarge,
  kBodyTooLarge,
  kMalformed,
  kTooSlow,
  kTooManyConnections,
  kStopping,  ///< The server stopped before the request was complete.
  kNoMemory,  ///< Bodies of other requests take the memory for them.
};

/// @brief A complete response.
/// @ingroup http
struct Reply {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
  HeaderList headers;
};

/// @brief One request and its response on a server connection.
/// @ingroup http
class HttpExchange {
 public:
  /// @param closing Whether the server closes connections after their response; read when the
  /// response is sent.
  /// @param received Data received after the request: a pipelined request, which is still served.
  HttpExchange(tcp::socket& socket,
               HttpRequest request,
               const HttpLimits& limits,
               const bool& closing,
               const beast::flat_buffer& received);
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  ~HttpExchange();

  const HttpRequest& Request() const { return request_; }

  /// @brief Sends a complete response; false when the peer has disconnected or reads too slowly.
  Awaitable<bool> Send(Reply reply);

  /// @brief Sends the header of a response whose body follows in pieces: in chunks, or, for a
  /// client that speaks HTTP/1.0, until the connection closes.
  Awaitable<bool> StartStream(unsigned status, std::string content_type, HeaderList headers);

  /// @brief Sends one piece of the body and waits until the socket has accepted it. Sends nothing
  /// if the response has no body, as the response to a HEAD request.
  Awaitable<bool> WriteChunk(std::string_view data);

  /// @brief Ends the body.
  Awaitable<bool> EndStream();

  /// @brief Closes the connection before the end of the body, so that the client detects
  /// truncation.
  void Abort() { aborted_ = true; }

  /// @brief True when the peer has closed its side of the connection; never blocks.
  bool PeerClosed();

  /// @brief Calls `on_close` once, from the io_context, if the peer closes the connection before
  /// StopWatching. A peer that sends more data in the meantime is no longer watched.
  void WatchPeer(std::function<void()> on_close);
  void StopWatching();

  bool Started() const { return started_; }
  bool KeepAlive() const { return keep_alive_ && ended_ && !aborted_; }
  bool TooSlow() const { return too_slow_; }

  /// @brief Limits what the system holds of the response to twice this many bytes; 0 leaves it to
  /// the system. A peer that reads too slowly is then reset, so that nothing is held for it any
  /// more.
  void LimitSendBuffer(std::size_t bytes);
  /// @brief True if the rest of the response must be discarded when the connection closes.
  /// A close would look like the end of a body that ends with its connection.
  bool MustReset() const {
    return (too_slow_ && send_buffer_limited_) || (framing_ == Framing::kUntilClose && !ended_);
  }

  /// @brief Closes the connection after this response, which carries `Connection: close`.
  void CloseAfterAnswer() { request_.keep_alive(false); }

 private:
  struct PeerWatch {
    std::function<void()> on_close;
  };

  // How the client finds the end of the body.
  enum class Framing { kNoBody, kLength, kChunks, kUntilClose };

  bool DecideKeepAlive();
  bool HasBody(unsigned status) const;
  Framing StreamFraming(unsigned status) const;
  template <class Buffers>
  Awaitable<bool> Write(const Buffers& buffers);

  tcp::socket& socket_;
  HttpRequest request_;
  const HttpLimits& limits_;
  const bool& closing_;
  const beast::flat_buffer& received_;
  Framing framing_ = Framing::kLength;
  bool keep_alive_ = false;  // as announced in the response
  bool started_ = false;
  bool ended_ = false;
  bool aborted_ = false;
  bool too_slow_ = false;
  bool send_buffer_limited_ = false;
  WriteProgress progress_;
  std::shared_ptr<PeerWatch> watch_;
};

/// @brief Callbacks of a server.
/// @ingroup http
struct HttpHandlers {
  /// @brief Handles one request; must send a response or abort.
  std::function<Awaitable<void>(HttpExchange&)> handle;
  /// @brief Returns the response for a request that could not be read.
  std::function<Reply(ReadFailure)> read_failure;
  /// @brief Called when a response was abandoned because the peer read too slowly.
  std::function<void()> slow_reader;
};

/// @brief Accepts connections until stopped. Must be used only from the io_context's thread.
/// @ingroup http
class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  HttpServer(asio::io_context& context, HttpLimits limits, HttpHandlers handlers);

  /// @brief Listens on an IP address; with port 0 the kernel chooses one. Returns the port.
  /// @throws boost::system::system_error when the address cannot be bound.
  std::uint16_t Listen(const std::string& ip, std::uint16_t port);

  /// @brief Closes each connection after its next response.
  void CloseAfterAnswers() { close_after_response_ = true; }

  /// @brief Sets the limits, effective from the next request on.
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }

  /// @brief Bounds the bytes of request bodies over all requests that use the budget, which must
  /// outlive the server. Bodies that exceed it are refused while they are received.
  void LimitBodies(ByteBudget& budget) { bodies_ = &budget; }

  /// @brief Accepts no new connections, except those that already wait to be accepted.
  void StopListening();

  /// @brief Stops listening and closes idle connections. Requests that are already on their way are
  /// still served.
  void Stop();

  /// @brief Refuses the requests that have been received in part only.
  void RefusePartialRequests();

  /// @brief Number of requests in progress.
  std::uint64_t Active() const { return active_requests_; }

  /// @brief Number of requests that have been received in part.
  std::size_t Receiving() const { return reading_.size(); }

  /// @brief Number of open connections.
  std::uint64_t Connections() const { return connections_; }

 private:
  using RequestParser = http::request_parser<http::string_body>;

  Awaitable<void> AcceptLoop();
  void ServeInBackground(tcp::socket socket);
  void AcceptWaitingConnections();
  Awaitable<void> Serve(tcp::socket socket);
  Awaitable<bool> AwaitRequest(tcp::socket& socket, beast::flat_buffer& buffer);
  Awaitable<bool> ServeOne(tcp::socket& socket, beast::flat_buffer& buffer);
  Awaitable<std::variant<boost::system::error_code, ReadFailure>> ReadRequest(
      tcp::socket& socket,
      beast::flat_buffer& buffer,
      RequestParser& parser,
      ByteShare& body);
  Awaitable<void> AnswerFailed(HttpExchange& exchange);
  Awaitable<void> Refuse(tcp::socket& socket, ReadFailure failure);
  static Awaitable<void> DiscardInput(tcp::socket& socket);

  asio::io_context& context_;
  ByteBudget unbounded_bodies_;
  ByteBudget* bodies_ = &unbounded_bodies_;
  HttpLimits limits_;
  HttpHandlers handlers_;
  tcp::acceptor acceptor_;
  std::uint64_t active_requests_ = 0;
  std::uint64_t connections_ = 0;
  std::set<tcp::socket*> idle_sockets_;  // waiting for a request; Stop() cancels their reads
  std::set<Watchdog*> reading_;          // timeouts of the requests received in part
  bool close_after_response_ = false;
  bool stopping_ = false;
  bool refuse_partial_requests_ = false;
};

}  // namespace rudderloom

#endif
