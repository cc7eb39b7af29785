// A caller that controls the bytes of its connection and the order in which they are sent.
#ifndef RUDDERLOOM_TESTS_PROCESS_RAW_CALLER_HPP
#define RUDDERLOOM_TESTS_PROCESS_RAW_CALLER_HPP

#include <string>  // for string

#include "process/cluster.hpp"  // for Response

namespace rudderloom::tests {

/// @brief What a caller had received when its connection ended or the response was complete.
struct Received {
  bool header = false;    ///< The header of a response arrived.
  bool complete = false;  ///< The body arrived up to its proper end.
  Response response;      ///< With the part of the body that arrived.
  std::string Reason() const;
  std::string Ran() const;
  /// @brief Returns whether this is a stream whose last event is an error and that is cut after it.
  bool IsFailedStream() const;
  /// @brief Returns a line for the messages of failed checks.
  std::string Text() const;
};

/// @brief One connection to a node; bytes are sent at once and responses are read when asked for.
class RawCaller {
 public:
  explicit RawCaller(const std::string& address);
  RawCaller(const std::string& address, const std::string& bytes);
  void Send(const std::string& bytes);
  /// @brief Reads the next response; `Received::complete` is false at its end or timeout.
  Received Receive(Duration timeout = Duration(500));
  /// @brief Reads until `text` has arrived; returns false at a timeout or the connection's end.
  bool ReceiveText(const std::string& text, Duration timeout = Duration(5'000));
  /// @brief Returns whether the peer closes the connection without a further byte.
  bool EndsSilently(Duration timeout = Duration(500));

 private:
  bool RunFor(Duration timeout, const bool& done);

  asio::io_context context_;
  tcp::socket socket_{context_};
  beast::flat_buffer buffer_;
};

/// @brief Returns the bytes of a request with a JSON body; a GET without one if `body` is empty.
std::string RequestBytes(const std::string& target,
                         const std::string& body = {},
                         const std::string& headers = {});

/// @brief Returns whether a new connection to the address is accepted.
bool Accepts(const std::string& address);

}  // namespace rudderloom::tests

#endif
