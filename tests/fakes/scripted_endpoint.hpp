// An endpoint on a port of the kernel's whose answers a test writes byte by byte.
#ifndef RUDDERLOOM_TESTS_FAKES_SCRIPTED_ENDPOINT_HPP
#define RUDDERLOOM_TESTS_FAKES_SCRIPTED_ENDPOINT_HPP

#include <sys/socket.h>  // for setsockopt

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <string>      // for string
#include <vector>      // for vector

#include "rudderloom/http/asio.hpp"  // for Awaitable

namespace rudderloom::fakes {

// What a script answers with: bytes, pauses, and how the connection goes on.
class EndpointAnswer {
 public:
  EndpointAnswer(tcp::socket& socket, int connection) : socket_(socket), connection_(connection) {}

  // Number of the connection: 1 for the first that was accepted.
  int Connection() const { return connection_; }

  // False once the other side has closed.
  Awaitable<bool> Write(std::string bytes) {
    const auto [error, size] = co_await asio::async_write(socket_, asio::buffer(bytes), kAsTuple);
    co_return !error;
  }

  // Waits until the other side closes, or for `limit`; true when it closed.
  Awaitable<bool> AwaitClose(std::chrono::milliseconds limit) {
    Timer timer(socket_.get_executor(), limit);
    timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        socket_.cancel();
      }
    });
    char byte = 0;
    const auto [error, size] = co_await socket_.async_read_some(asio::buffer(&byte, 1), kAsTuple);
    timer.cancel();
    co_return error == asio::error::eof || error == asio::error::connection_reset;
  }

  Awaitable<void> Pause(std::chrono::milliseconds pause) {
    Timer timer(socket_.get_executor(), pause);
    co_await timer.async_wait(kAsTuple);
  }

  // Ends the connection at once, as a process that dies does.
  void Reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }

  // Ends the connection as Reset does, whenever it is closed. Its ports can be used again at once.
  // Asio undoes its own linger option when a socket is destroyed, so the kernel's is set.
  void ResetWhenClosed() {
    const ::linger reset{1, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }

  void Close() {
    socket_.set_option(asio::socket_base::linger(false, 0));
    socket_.close();
  }
  bool Open() const { return socket_.is_open(); }

 private:
  tcp::socket& socket_;
  int connection_;
};

class ScriptedEndpoint {
 public:
  using Script = std::function<Awaitable<void>(const HttpRequest&, EndpointAnswer&)>;
  // Runs once a request's head is in; false if the request was answered, so that its body is
  // discarded.
  using HeadScript = std::function<Awaitable<bool>(const HttpRequest&, EndpointAnswer&)>;

  ScriptedEndpoint(asio::io_context& context, Script script)
      : acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port())),
        state_(std::make_shared<State>()) {
    state_->script = std::move(script);
    asio::co_spawn(context, Accept(), asio::detached);
  }
  ~ScriptedEndpoint() { state_->script = nullptr; }

  void SetHeadScript(HeadScript script) { state_->head_script = std::move(script); }

  const std::string& Address() const { return address_; }
  // Nobody listens at its address any more; open connections go on.
  void StopListening() { acceptor_.close(); }
  const std::vector<HttpRequest>& Requests() const { return state_->requests; }
  int Connections() const { return state_->connections; }
  // Connections on which something arrived that is not a request.
  int Malformed() const { return state_->malformed; }

 private:
  struct State {
    Script script;
    HeadScript head_script;
    std::vector<HttpRequest> requests;
    int connections = 0;
    int malformed = 0;
  };

  Awaitable<void> Accept() {
    while (true) {
      auto [error, socket] = co_await acceptor_.async_accept(kAsTuple);
      if (error) {
        co_return;
      }
      ++state_->connections;
      auto owned = std::make_shared<tcp::socket>(std::move(socket));
      boost::system::error_code ignored;
      owned->set_option(tcp::no_delay(true), ignored);
      asio::co_spawn(acceptor_.get_executor(), Serve(owned, state_, state_->connections),
                     asio::detached);
    }
  }

  static Awaitable<void> Serve(std::shared_ptr<tcp::socket> socket,
                               std::shared_ptr<State> state,
                               int connection) {
    beast::flat_buffer buffer;
    while (socket->is_open()) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(boost::none);
      EndpointAnswer answer(*socket, connection);
      const auto [head_error, head_size] =
          co_await http::async_read_header(*socket, buffer, parser, kAsTuple);
      if (head_error) {
        state->malformed += IsMalformed(head_error) ? 1 : 0;
        co_return;
      }
      bool runs = true;
      if (state->head_script) {
        runs = co_await state->head_script(parser.get(), answer);
      }
      const auto [error, size] = co_await http::async_read(*socket, buffer, parser, kAsTuple);
      if (error || !state->script) {
        co_return;
      }
      if (!runs) {
        continue;
      }
      const HttpRequest request = parser.release();
      state->requests.push_back(request);
      co_await state->script(request, answer);
    }
  }

  static bool IsMalformed(boost::system::error_code error) {
    return error.category() == make_error_code(http::error::bad_method).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
  }

  tcp::acceptor acceptor_;
  std::string address_;
  std::shared_ptr<State> state_;
};

}  // namespace rudderloom::fakes

#endif
