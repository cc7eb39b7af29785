#include "rudderloom/forwarding/endpoint_connection.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <optional>  // for optional

#include "fakes/no_descriptors.hpp"  // for NoDescriptors

namespace rudderloom {
namespace {

constexpr std::size_t kRequestBytes = 3 * 1024 * 1024;
constexpr int kBufferBytes = 8 * 1024;
constexpr const char* kHead = "HTTP/1.1 200 OK\r\n\r\n";

// Answers a part of a request that is never read whole, and resets the connection.
Awaitable<void> AnswerInPart(tcp::acceptor& acceptor) {
  auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
  const std::string bytes = std::string(kHead) + "part";
  co_await asio::async_write(socket, asio::buffer(bytes), kAsTuple);
  Timer pause(acceptor.get_executor(), std::chrono::milliseconds(50));
  co_await pause.async_wait(kAsTuple);
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

struct ReadAnswer {
  bool done = false;
  bool whole = false;
  std::string body;
};

Awaitable<void> Read(EndpointConnection& connection, std::string address, ReadAnswer& answer) {
  co_await connection.Connect(std::move(address));
  HttpRequest request(http::verb::post, "/x", 11);
  request.body() = std::string(kRequestBytes, 'x');
  request.prepare_payload();
  connection.StartRequest(request);
  co_await connection.ReadHead(false);
  while (!answer.done) {
    auto chunk = co_await connection.ReadSome();
    if (auto* data = std::get_if<std::string>(&chunk)) {
      answer.body += *data;
      continue;
    }
    answer.done = true;
    answer.whole = std::holds_alternative<EndpointConnection::End>(chunk);
  }
}

// Guards against a reset that only the write of the request is told of: the read then sees a close.
TEST_CASE("an answer without a length whose connection is reset during the request isn't whole") {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::v4());
  acceptor.set_option(asio::socket_base::receive_buffer_size(kBufferBytes));
  acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
  acceptor.listen();
  asio::co_spawn(context, AnswerInPart(acceptor), asio::detached);
  EndpointConnection connection(context);
  connection.LimitBuffers(kBufferBytes);
  ReadAnswer answer;
  const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  asio::co_spawn(context, Read(connection, address, answer), asio::detached);
  while (!answer.done) {
    context.run_one();
  }
  CHECK(answer.body == "part");
  CHECK_FALSE(answer.whole);
}

// Sends one answer and closes the connection.
Awaitable<void> Answer(tcp::acceptor& acceptor, std::string bytes) {
  auto [error, socket] = co_await acceptor.async_accept(kAsTuple);
  std::string request(64, '\0');
  co_await socket.async_read_some(asio::buffer(request), kAsTuple);
  co_await asio::async_write(socket, asio::buffer(bytes), kAsTuple);
}

struct ReadResult {
  bool has_head = false;
  bool whole = false;
};

Awaitable<void> ReadWhole(EndpointConnection& connection, std::string address, ReadResult& result) {
  co_await connection.Connect(std::move(address));
  const HttpRequest request(http::verb::get, "/x", 11);
  connection.StartRequest(request);
  const auto head = co_await connection.ReadHead(false);
  result.has_head = std::holds_alternative<EndpointConnection::End>(head);
  if (result.has_head) {
    const auto failure = co_await connection.SkipBody();
    result.whole = !failure;
  }
}

ReadResult ResultOf(const std::string& answer) {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(context, Answer(acceptor, answer), asio::detached);
  EndpointConnection connection(context);
  ReadResult result;
  const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  asio::co_spawn(context, ReadWhole(connection, address, result), asio::detached);
  CHECK_NOTHROW(context.run());
  return result;
}

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

// Guards against answers with large headers that are taken for broken ones.
TEST_CASE("an answer with a header of 12 KB is read") {
  const std::string field = "X: " + std::string(12'000, 'x') + "\r\n";
  CHECK(ResultOf(kChunkedHead + field + "\r\n0\r\n\r\n").whole);
}

// Guards against fields that the parser can't hold: it throws from within the read, which ends the
// process.
TEST_CASE("an answer with a trailer of 64 KB is broken, and nothing is thrown") {
  const ReadResult result =
      ResultOf(kChunkedHead + "\r\n0\r\nX: " + std::string(65'534, 'x') + "\r\n\r\n");
  CHECK(result.has_head);
  CHECK_FALSE(result.whole);
}

// Guards against parts of a chunk's line that are kept without a bound.
TEST_CASE("an answer with an endless chunk extension is broken") {
  const ReadResult result =
      ResultOf(kChunkedHead + "\r\n1;" + std::string(1'000'000, 'x') + "\r\na\r\n0\r\n\r\n");
  CHECK(result.has_head);
  CHECK_FALSE(result.whole);
}

// Guards against endpoints that are taken for unreachable by a node without free descriptors.
TEST_CASE("a connection that finds no descriptor is a failure of this node") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  EndpointConnection connection(context);
  std::optional<ConnectionFailure> failure;
  asio::co_spawn(
      context,
      [&]() -> Awaitable<void> {
        std::string copy = address;
        failure = co_await connection.Connect(std::move(copy));
      },
      asio::detached);
  const tests::NoDescriptors no_descriptors;
  context.run();
  REQUIRE(failure);
  CHECK(failure->local);
  CHECK_FALSE(failure->refused);
}

// Guards against a request that is sent although its connection was closed before it was opened.
TEST_CASE("a connection that was closed doesn't connect") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  EndpointConnection connection(context);
  connection.Close();
  std::optional<ConnectionFailure> failure;
  asio::co_spawn(
      context, connection.Connect("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())),
      [&](const std::exception_ptr&, auto result) { failure = std::move(result); });
  context.run();
  REQUIRE(failure);
  CHECK_FALSE(failure->sent);
  CHECK_FALSE(failure->refused);
}

}  // namespace
}  // namespace rudderloom
