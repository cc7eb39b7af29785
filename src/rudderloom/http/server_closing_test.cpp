// Requests that arrive while their connection is about to be closed, and handlers that fail.
#include <doctest/doctest.h>  // for TEST_CASE

#include <boost/asio/read.hpp>  // for read

#include <algorithm>  // for count_if
#include <deque>      // for deque
#include <stdexcept>  // for invalid_argument
#include <thread>     // for sleep_for
#include <vector>     // for vector

#include "rudderloom/http/server.hpp"  // for HttpServer

namespace rudderloom {
namespace {

constexpr Duration kTestTimeout{5'000};
// More than a reactor reports in one turn.
constexpr std::size_t kClients = 300;
const std::string kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// A server whose handler answers "done", after Finish() if the target is /wait, and throws if it is
// /throw.
class TestServer {
 public:
  explicit TestServer(Duration idle_time = Duration(60'000)) : finish_(context_, TimePoint::max()) {
    HttpHandlers handlers;
    handlers.handle = [this](HttpExchange& exchange) -> Awaitable<void> {
      const std::string target(exchange.Request().target());
      if (target == "/throw") {
        throw std::invalid_argument("as a test asks");
      }
      if (target == "/wait") {
        co_await finish_.async_wait(kAsTuple);
      }
      Reply reply;
      reply.body = "done";
      co_await exchange.Send(std::move(reply));
    };
    handlers.read_failure = [](ReadFailure) {
      Reply reply;
      reply.status = 503;
      return reply;
    };
    HttpLimits limits;
    limits.idle_time = idle_time;
    server_ = std::make_shared<HttpServer>(context_, limits, std::move(handlers));
    port_ = server_->Listen("127.0.0.1", 0);
  }

  HttpServer& Server() { return *server_; }
  void Finish() { finish_.cancel(); }

  tcp::socket& Connect() {
    tcp::socket& socket = clients_.emplace_back(client_context_);
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    return socket;
  }

  template <class Condition>
  bool RunUntil(Condition condition, Duration limit = kTestTimeout) {
    const TimePoint deadline = Now() + limit;
    while (!condition() && Now() < deadline) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(10));
    }
    return condition();
  }

  // What each client receives until its connection is closed.
  std::vector<std::string> ReadAll() {
    REQUIRE(RunUntil([&] { return server_->Connections() == 0; }));
    std::vector<std::string> received;
    for (tcp::socket& client : clients_) {
      boost::system::error_code end;
      std::string text;
      asio::read(client, asio::dynamic_buffer(text), end);
      received.push_back(text);
    }
    return received;
  }

  void ConnectAll() {
    for (std::size_t i = 0; i < kClients; ++i) {
      Connect();
    }
    REQUIRE(RunUntil([&] { return server_->Connections() == kClients; }));
  }

  void SendAll() {
    for (tcp::socket& client : clients_) {
      asio::write(client, asio::buffer(kRequest));
    }
  }

 private:
  asio::io_context client_context_;
  asio::io_context context_;
  Timer finish_;
  std::shared_ptr<HttpServer> server_;
  std::uint16_t port_ = 0;
  std::deque<tcp::socket> clients_;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::size_t CountAnswered(const std::vector<std::string>& received) {
  return std::count_if(received.begin(), received.end(),
                       [](const std::string& text) { return Contains(text, "done"); });
}

// Guards against timers that win over requests that have arrived: the server's thread may have been
// held up since.
TEST_CASE("requests that have arrived when the idle time is found over are answered") {
  TestServer test(Duration(1'000));
  test.ConnectAll();
  std::this_thread::sleep_for(std::chrono::milliseconds(1'050));
  test.SendAll();
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  CHECK(CountAnswered(test.ReadAll()) == kClients);
}

TEST_CASE("requests that arrive while a stopped server's thread is held up are answered") {
  TestServer test;
  test.ConnectAll();
  test.Server().Stop();
  test.RunUntil([] { return false; }, Duration(5));
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  test.SendAll();
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  CHECK(CountAnswered(test.ReadAll()) == kClients);
}

// Guards against requests that are read and dropped after the server decided to close.
TEST_CASE("a request sent behind one that runs is answered when the server stops") {
  TestServer test;
  tcp::socket& client = test.Connect();
  asio::write(client, asio::buffer(std::string("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")));
  REQUIRE(test.RunUntil([&] { return test.Server().Active() == 1; }));
  asio::write(client, asio::buffer(kRequest));
  test.Server().CloseAfterAnswers();
  test.Server().Stop();
  test.Finish();
  const std::string received = test.ReadAll().front();
  const std::size_t first = received.find("done");
  REQUIRE(first != std::string::npos);
  CHECK(received.find("done", first + 1) != std::string::npos);
}

// Guards against connections closed without an answer when a handler throws.
TEST_CASE("a request whose handler fails before it answers gets 500") {
  TestServer test;
  tcp::socket& client = test.Connect();
  asio::write(client, asio::buffer(std::string("GET /throw HTTP/1.1\r\nHost: x\r\n\r\n")));
  REQUIRE(test.RunUntil([&] { return test.Server().Connections() == 1; }));
  test.Server().Stop();
  CHECK(Contains(test.ReadAll().front(), "HTTP/1.1 500"));
}

// Guards against fields that the parser can't hold: it throws from within a read, which ends the
// process. Trailers are not bounded by the limit on headers.
TEST_CASE("a request with a trailer of 64 KB is answered, and the server goes on") {
  TestServer test;
  tcp::socket& other = test.Connect();
  asio::write(other, asio::buffer(std::string("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")));
  REQUIRE(test.RunUntil([&] { return test.Server().Active() == 1; }));
  tcp::socket& client = test.Connect();
  const std::string request =
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\na\r\n0\r\nX: " +
      std::string(65'534, 't') + "\r\n\r\n";
  asio::write(client, asio::buffer(request));
  CHECK_NOTHROW(test.RunUntil([] { return false; }, Duration(200)));
  test.Finish();
  test.Server().Stop();
  const std::vector<std::string> received = test.ReadAll();
  CHECK(Contains(received.front(), "done"));
  CHECK(Contains(received.back(), "HTTP/1.1 "));
}

}  // namespace
}  // namespace rudderloom
