/// @file
/// HTTP connection to an endpoint that carries one request at a time, and a pool of idle
/// connections.
#ifndef RUDDERLOOM_FORWARDING_ENDPOINT_CONNECTION_HPP
#define RUDDERLOOM_FORWARDING_ENDPOINT_CONNECTION_HPP

#include <deque>     // for deque
#include <map>       // for map
#include <memory>    // for unique_ptr
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "rudderloom/forwarding/header_codec.hpp"  // for AnswerHead
#include "rudderloom/http/answer_head.hpp"         // for AnswerParser
#include "rudderloom/http/asio.hpp"                // for tcp
#include "rudderloom/http/message_limits.hpp"      // for kMaxUnparsedBytes

namespace rudderloom {

/// @brief Why a connection delivered no complete answer.
/// @ingroup forwarding
struct ConnectionFailure {
  bool sent = false;  ///< Part of the request may have been sent.
  std::string message;
  bool refused = false;  ///< Connection refused: no process listens at the address.
  /// This node has no descriptor or memory for the connection, which says nothing about the
  /// endpoint.
  bool local = false;
};

/// @brief A connection and the answer being read from it. Not thread-safe.
///
/// A connection is reused only if its state is certain: the request was written completely, the
/// answer's end was framed by its length, and no surplus bytes followed.
///
/// The write of a request goes on while its answer is read, and nothing waits for its end: it owns
/// the socket and the bytes together with this object, and ends soon after this object has closed
/// the socket.
/// @ingroup forwarding
class EndpointConnection {
 public:
  struct End {};

  explicit EndpointConnection(asio::io_context& context);
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;
  /// @brief Closes the connection, also while a request is written.
  ~EndpointConnection();

  /// @brief Limits the socket's buffers, before it connects. The system holds up to twice the size
  /// for each direction; 0 leaves the sizes to it.
  void LimitBuffers(std::size_t bytes) { buffer_bytes_ = bytes; }
  std::size_t BufferBytes() const { return buffer_bytes_; }

  /// @brief Connects to the address; Close() interrupts it. Fails if Close() was called before.
  Awaitable<std::optional<ConnectionFailure>> Connect(std::string address);

  /// @brief Starts writing a request. The answer may be read at the same time.
  void StartRequest(const HttpRequest& request);

  /// @brief Reads the next answer header, without interim ones. `is_head_request` marks the answer
  /// to a HEAD request, which has no body.
  Awaitable<std::variant<End, ConnectionFailure>> ReadHead(bool is_head_request);

  /// @brief The answer header that was read last.
  const AnswerHead& Head() const;

  /// @brief Reads the next chunk of the body; `End` at its regular end.
  Awaitable<std::variant<std::string, End, ConnectionFailure>> ReadSome();

  /// @brief Reads and discards the rest of the body, so that the next header can be read.
  Awaitable<std::optional<ConnectionFailure>> SkipBody();

  /// @brief Forbids reuse, as the next answer may belong to another request.
  void ForbidReuse() { may_reuse_ = false; }

  /// @brief True if the answer has neither a length nor chunks: it ends with its connection. A
  /// process that exits ends its connections in the same way.
  bool EndsWithConnection() const { return parser_->get().need_eof(); }

  /// @brief True if the connection may carry another request.
  bool Reusable() const;

  /// @brief True if no data is pending and the peer has not closed the connection.
  bool IsIdle();

  /// @brief How long the endpoint keeps the connection open while idle, from its last answer.
  Duration KeepAliveTime() const;

  /// @brief Closes the connection and interrupts pending operations; safe at any time.
  void Close();

 private:
  // The state of the request's write.
  enum class Write { kNone, kRunning, kDone, kFailed };
  // What the write of a request uses until it has completed.
  struct Channel {
    explicit Channel(asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::string request;  // empty once it was written
    Write write = Write::kNone;
  };

  ConnectionFailure Failure(boost::system::error_code error) const;

  std::shared_ptr<Channel> channel_;
  tcp::socket& socket_;  // of the channel
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<AnswerParser> parser_;
  bool may_reuse_ = true;
  bool closed_ = false;
  std::size_t buffer_bytes_ = 0;
};

/// @brief Pool of idle connections by endpoint instance. Not thread-safe.
/// @ingroup forwarding
class ConnectionPool {
 public:
  /// @brief Takes the most recently used connection that is still usable; null if there is none.
  std::unique_ptr<EndpointConnection> Take(const std::string& instance, TimePoint now);

  /// @brief Returns a connection to the pool; closes it if it is not reusable.
  void Put(const std::string& instance,
           std::unique_ptr<EndpointConnection> connection,
           TimePoint now);

  /// @brief Drops an endpoint's connections that have been idle since `since` or longer.
  /// Connections can become unresponsive together without a reset, and each would cost a request
  /// its timeout.
  void DropIdleSince(const std::string& instance, TimePoint since);

  /// @brief Drops all connections.
  void Clear() { idle_.clear(); }

  /// @brief Drops connections of endpoints that are not in `instances`, and those that have
  /// expired.
  void Trim(const std::vector<std::string>& instances, TimePoint now);

 private:
  struct Idle {
    std::unique_ptr<EndpointConnection> connection;
    TimePoint idle_since;
    TimePoint reusable_until;
  };

  std::map<std::string, std::deque<Idle>> idle_;
};

}  // namespace rudderloom

#endif
