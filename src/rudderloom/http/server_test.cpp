// Connections and requests at the stop of a server, and the framing of responses.
#include "rudderloom/http/server.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

constexpr Duration kTestTimeout{5'000};

// A server whose handler answers "done", or streams if the target begins with /stream, with status
// 204 if it is /empty, and after Finish() if it is /wait.
class TestServer {
 public:
  TestServer() : finish_(context_, TimePoint::max()) {
    HttpHandlers handlers;
    handlers.handle = [this](HttpExchange& exchange) -> Awaitable<void> {
      const auto target = exchange.Request().target();
      if (target.starts_with("/stream")) {
        co_await Stream(exchange, target.ends_with("/cut"));
        co_return;
      }
      if (target == "/wait") {
        co_await finish_.async_wait(kAsTuple);
      }
      Reply reply;
      reply.status = target == "/empty" ? 204 : 200;
      reply.body = "done";
      co_await exchange.Send(std::move(reply));
    };
    handlers.read_failure = [](ReadFailure failure) {
      Reply reply;
      reply.status = 503;
      reply.body = failure == ReadFailure::kStopping ? "stopping" : "other";
      return reply;
    };
    server_ = std::make_shared<HttpServer>(context_, HttpLimits(), std::move(handlers));
    port_ = server_->Listen("127.0.0.1", 0);
  }

  HttpServer& Server() { return *server_; }
  void Finish() { finish_.cancel(); }

  tcp::socket Connect() {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    return socket;
  }

  // Serves until the condition holds.
  template <class Condition>
  bool RunUntil(Condition condition) {
    const TimePoint deadline = Now() + kTestTimeout;
    while (!condition() && Now() < deadline) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(10));
    }
    return condition();
  }

  // Serves until the connection is closed; returns what it received.
  std::string ReadUntilClosed(tcp::socket& socket) {
    std::string received;
    ReadUntilClosed(socket, received);
    return received;
  }

  bool EndsWithReset(tcp::socket& socket) {
    std::string received;
    return ReadUntilClosed(socket, received) == asio::error::connection_reset;
  }

 private:
  // Returns how the connection ended.
  boost::system::error_code ReadUntilClosed(tcp::socket& socket, std::string& received) {
    boost::system::error_code end;
    bool closed = false;
    asio::co_spawn(
        context_,
        [&]() -> Awaitable<void> {
          std::string chunk(1024, '\0');
          while (!closed) {
            const auto [error, size] =
                co_await socket.async_read_some(asio::buffer(chunk), kAsTuple);
            received.append(chunk, 0, size);
            end = error;
            closed = static_cast<bool>(error);
          }
        },
        asio::detached);
    REQUIRE(RunUntil([&] { return closed; }));
    return end;
  }

  static Awaitable<void> Stream(HttpExchange& exchange, bool is_cut) {
    HeaderList no_headers;
    std::string type = "text/event-stream";
    co_await exchange.StartStream(200, std::move(type), std::move(no_headers));
    co_await exchange.WriteChunk("piece");
    if (is_cut) {
      exchange.Abort();
    } else {
      co_await exchange.EndStream();
    }
  }

  asio::io_context context_;
  Timer finish_;
  std::shared_ptr<HttpServer> server_;
  std::uint16_t port_ = 0;
};

void Write(tcp::socket& socket, const std::string& bytes) {
  asio::write(socket, asio::buffer(bytes));
}

const std::string kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string kWaitingRequest = "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Guards against clients that send a further request on a connection that the server closes.
TEST_CASE("a response that is sent after the stop began announces that the connection closes") {
  TestServer test;
  tcp::socket client = test.Connect();
  Write(client, kWaitingRequest);
  REQUIRE(test.RunUntil([&] { return test.Server().Active() == 1; }));
  test.Server().CloseAfterAnswers();
  test.Finish();
  const std::string response = test.ReadUntilClosed(client);
  CHECK(Contains(response, "Connection: close"));
  CHECK(Contains(response, "done"));
}

// Guards against connections closed on requests that had already been sent.
TEST_CASE("a request on its way over a kept connection is answered after the server was stopped") {
  TestServer test;
  tcp::socket client = test.Connect();
  REQUIRE(test.RunUntil([&] { return test.Server().Connections() == 1; }));
  Write(client, kRequest);
  test.Server().Stop();
  CHECK(Contains(test.ReadUntilClosed(client), "done"));
}

// Guards against resets of connections that wait in the listening socket's queue.
TEST_CASE("a connection that waits to be accepted is served after the server was stopped") {
  TestServer test;
  tcp::socket client = test.Connect();
  Write(client, kRequest);
  test.Server().Stop();
  CHECK(Contains(test.ReadUntilClosed(client), "done"));
}

// Guards against connections closed without a response to a partial request.
TEST_CASE("requests that were received in part are refused at the end of a stop") {
  const std::string partial_header = "GET / HTTP/1.1\r\nHost";
  const std::string partial_body = "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf";
  for (const std::string& received : {partial_header, partial_body}) {
    TestServer test;
    tcp::socket client = test.Connect();
    Write(client, received);
    REQUIRE(test.RunUntil([&] { return test.Server().Receiving() == 1; }));
    test.Server().Stop();
    test.Server().RefusePartialRequests();
    const std::string response = test.ReadUntilClosed(client);
    CHECK(Contains(response, "503"));
    CHECK(Contains(response, "stopping"));
  }
}

TEST_CASE("idle connections are closed by a stop") {
  TestServer test;
  tcp::socket client = test.Connect();
  REQUIRE(test.RunUntil([&] { return test.Server().Connections() == 1; }));
  test.Server().Stop();
  CHECK(test.ReadUntilClosed(client).empty());
  CHECK(test.RunUntil([&] { return test.Server().Connections() == 0; }));
}

// Guards against requests of clients that rely on an idle timeout raised while they rest.
TEST_CASE("a connection that rests while the idle timeout is raised stays open") {
  constexpr Duration kFirstTimeout{100};
  HttpLimits limits;
  limits.idle_time = kFirstTimeout;
  TestServer test;
  test.Server().SetLimits(limits);
  tcp::socket client = test.Connect();
  REQUIRE(test.RunUntil([&] { return test.Server().Connections() == 1; }));
  const TimePoint idle_since = Now();
  limits.idle_time = kTestTimeout;
  test.Server().SetLimits(limits);
  test.RunUntil([&] { return Now() - idle_since > 3 * kFirstTimeout; });
  Write(client, kRequest);
  CHECK(test.RunUntil([&] { return client.available() > 0; }));
  test.Server().Stop();
  CHECK(Contains(test.ReadUntilClosed(client), "done"));
}

TEST_CASE("a connection is closed after the idle timeout") {
  HttpLimits limits;
  limits.idle_time = Duration(100);
  TestServer test;
  test.Server().SetLimits(limits);
  tcp::socket client = test.Connect();
  CHECK(test.ReadUntilClosed(client).empty());
}

std::string RequestWith(const std::string& method,
                        const std::string& target,
                        const std::string& version = "1.1") {
  return method + " " + target + " HTTP/" + version + "\r\nHost: x\r\n\r\n";
}

// Returns all responses to requests that are sent one after another; the server stops then.
std::string ResponsesTo(TestServer& test, const std::string& requests, std::uint64_t connections) {
  tcp::socket client = test.Connect();
  Write(client, requests);
  REQUIRE(test.RunUntil([&] { return test.Server().Connections() == connections; }));
  test.Server().Stop();
  return test.ReadUntilClosed(client);
}

// Guards against bodies that a client takes for the next response on its connection.
TEST_CASE("responses without a body carry none, and the connection goes on") {
  for (const std::string& first : {RequestWith("HEAD", "/"), RequestWith("HEAD", "/stream"),
                                   RequestWith("GET", "/empty"), RequestWith("HEAD", "/empty")}) {
    CAPTURE(first);
    TestServer test;
    const std::string responses = ResponsesTo(test, first + kRequest, 1);
    const std::size_t end_of_head = responses.find("\r\n\r\n");
    REQUIRE(end_of_head != std::string::npos);
    CHECK(responses.compare(end_of_head + 4, 9, "HTTP/1.1 ") == 0);
    CHECK_FALSE(Contains(responses.substr(0, end_of_head), "Transfer-Encoding"));
    CHECK(Contains(responses.substr(end_of_head), "done"));
  }
}

// Guards against chunks that a client without chunked framing takes for parts of the body.
TEST_CASE("a stream to an HTTP/1.0 client ends with its connection") {
  TestServer test;
  tcp::socket client = test.Connect();
  Write(client, RequestWith("GET", "/stream", "1.0"));
  const std::string response = test.ReadUntilClosed(client);
  CHECK_FALSE(Contains(response, "Transfer-Encoding"));
  CHECK(response.ends_with("\r\n\r\npiece"));
}

// Guards against a part of a stream that looks whole, as the connection is its only end.
TEST_CASE("a stream to an HTTP/1.0 client that is cut ends with a reset") {
  TestServer test;
  tcp::socket client = test.Connect();
  Write(client, RequestWith("GET", "/stream/cut", "1.0"));
  CHECK(test.EndsWithReset(client));
}

// Guards against a client that stops reading just before the end and is not counted.
TEST_CASE("a client that reads too slowly at the end of a stream is reported as too slow") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket client(context);
  client.connect(acceptor.local_endpoint());
  tcp::socket socket = acceptor.accept();
  HttpLimits limits;
  limits.write_time = Duration(50);
  const bool closing = false;
  const beast::flat_buffer received;
  HttpExchange exchange(socket, HttpRequest(), limits, closing, received);
  socket.non_blocking(true);
  const std::string filler(1'024, 'x');
  boost::system::error_code full;
  while (!full) {
    socket.write_some(asio::buffer(filler), full);
  }
  bool ended = true;
  asio::co_spawn(
      context, [&]() -> Awaitable<void> { ended = co_await exchange.EndStream(); }, asio::detached);
  context.run();
  CHECK_FALSE(ended);
  CHECK(exchange.TooSlow());
}

}  // namespace
}  // namespace rudderloom
