/// @file
/// One connection to an endpoint, which carries one request at a time.
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

#include "rudderloom/forwarding/dialect.hpp"  // for AnswerHead
#include "rudderloom/http/asio.hpp"           // for tcp

namespace rudderloom {

/// @brief Why a connection gave no (whole) answer.
/// @ingroup forwarding
struct ConnectionFailure {
  bool sent = false;  ///< A byte of the request may have left this process.
  std::string message;
  bool refused = false;  ///< The connect was answered: no process listens at the address.
};

/// @brief A connection and the answer that is being read from it. One thread only.
///
/// A connection is used again only when nothing about it is in doubt: the request was written
/// whole, the answer ended by its own length, and no byte too many came.
/// @ingroup forwarding
class EndpointConnection {
 public:
  struct End {};

  explicit EndpointConnection(asio::io_context& context);

  /// @brief Connects; Close() from elsewhere ends the wait.
  Awaitable<std::optional<ConnectionFailure>> Connect(std::string address);

  /// @brief Begins to write a request while the answer may already be read.
  void StartRequest(const HttpRequest& request);

  /// @brief Reads the next head; `answers_head` tells a HEAD request, whose answer has no body.
  Awaitable<std::variant<End, ConnectionFailure>> ReadHead(bool answers_head);

  /// @brief The head that was read.
  const AnswerHead& Head() const;

  /// @brief The next piece of the body, its proper end, or a failure.
  Awaitable<std::variant<std::string, End, ConnectionFailure>> ReadSome();

  /// @brief Reads the rest of the body and drops it, so that the next head can be read.
  Awaitable<std::optional<ConnectionFailure>> SkipBody();

  /// @brief The next answer may have been meant for somebody else: never use it again.
  void Distrust() { trusted_ = false; }

  /// @brief True when the connection may carry another request.
  bool Reusable() const;

  /// @brief True while nothing came and the other side did not close.
  bool StillQuiet();

  /// @brief How long the endpoint keeps it while idle, as its last answer said.
  Duration KeptFor() const;

  /// @brief Ends whatever is under way; safe at any time.
  void Close();

 private:
  using Parser = http::response_parser<http::buffer_body>;
  struct Write {
    std::string bytes;
    bool done = false;
    bool failed = false;
  };

  ConnectionFailure Failure(boost::system::error_code error) const;

  tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  std::shared_ptr<Write> write_;
  bool trusted_ = true;
};

/// @brief Idle connections by endpoint instance. One thread only.
/// @ingroup forwarding
class ConnectionPool {
 public:
  /// @brief The connection used last that is still good; empty when there is none.
  std::unique_ptr<EndpointConnection> Take(const std::string& instance, TimePoint now);

  /// @brief Keeps a reusable connection; others are closed.
  void Put(const std::string& instance,
           std::unique_ptr<EndpointConnection> connection,
           TimePoint now);

  /// @brief Drops an endpoint's connections on which nothing has come since `moment`: connections
  /// may go silent together, without a reset, and each would cost a request its time.
  void DropSince(const std::string& instance, TimePoint moment);

  /// @brief Drops the connections of endpoints that are not in `instances`, and those that rest.
  void Trim(const std::vector<std::string>& instances, TimePoint now);

 private:
  struct Idle {
    std::unique_ptr<EndpointConnection> connection;
    TimePoint used_at;
    TimePoint good_until;
  };

  std::map<std::string, std::deque<Idle>> idle_;
};

}  // namespace rudderloom

#endif
