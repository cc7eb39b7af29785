// Responses to clients that read slowly, and to clients that stop reading.
#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/http/pause.hpp"   // for PauseFor
#include "rudderloom/http/server.hpp"  // for HttpExchange

namespace rudderloom {
namespace {

constexpr std::chrono::seconds kTestTimeout{20};
constexpr Duration kWriteTime{400};
constexpr Duration kReadInterval{20};
constexpr std::size_t kReadBytes = 8 * 1024;
constexpr std::size_t kBufferBytes = 16 * 1024;
constexpr std::size_t kBodyBytes = 1024 * 1024;
// The client needs three times the write time for such a response.
constexpr int kReads = kBodyBytes / kReadBytes;
static_assert(kReads * kReadInterval > 3 * kWriteTime);

// A client with a small receive buffer, and a response that is written to it.
class SlowClient {
 public:
  SlowClient() : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}), client_(context_) {
    client_.open(tcp::v4());
    client_.set_option(asio::socket_base::receive_buffer_size(kBufferBytes));
    client_.connect(acceptor_.local_endpoint());
    acceptor_.accept(socket_);
    limits_.write_time = kWriteTime;
  }

  HttpExchange& Exchange() { return exchange_; }

  // Reads a piece at each interval until it has this many bytes or the connection ends.
  void ReadSteadily(std::size_t bytes) { asio::co_spawn(context_, Read(bytes), asio::detached); }

  // Writes a response and returns the bytes that the client has received in the end.
  template <class Response>
  std::size_t Serve(Response response) {
    asio::co_spawn(context_, std::move(response), asio::detached);
    context_.run_for(kTestTimeout);
    return received_;
  }

 private:
  Awaitable<void> Read(std::size_t bytes) {
    std::string piece(kReadBytes, '\0');
    boost::system::error_code end;
    while (!end && received_ < bytes) {
      const auto [error, size] = co_await client_.async_read_some(asio::buffer(piece), kAsTuple);
      received_ += size;
      end = error;
      co_await PauseFor(context_, kReadInterval);
    }
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  tcp::socket client_;
  tcp::socket socket_{context_};
  HttpLimits limits_;
  const bool closing_ = false;
  const beast::flat_buffer no_further_request_;
  HttpExchange exchange_{socket_, HttpRequest(http::verb::get, "/", 11), limits_, closing_,
                         no_further_request_};
  std::size_t received_ = 0;
};

Reply LongReply() {
  Reply reply;
  reply.body = std::string(kBodyBytes, 'x');
  return reply;
}

Awaitable<void> SendReply(HttpExchange& exchange, bool& sent) {
  Reply reply = LongReply();
  sent = co_await exchange.Send(std::move(reply));
}

Awaitable<void> SendChunk(HttpExchange& exchange, bool& sent) {
  HeaderList no_headers;
  std::string type = "text/plain";
  co_await exchange.StartStream(200, std::move(type), std::move(no_headers));
  const std::string piece(kBodyBytes, 'x');
  sent = co_await exchange.WriteChunk(piece);
}

// Guards against responses that are cut after the write time although their client reads on.
TEST_CASE("a response arrives whole at a client that reads it steadily for a long time") {
  bool sent = false;
  SUBCASE("with a length") {
    SlowClient client;
    client.Exchange().LimitSendBuffer(kBufferBytes);
    client.ReadSteadily(kBodyBytes);
    CHECK(client.Serve(SendReply(client.Exchange(), sent)) >= kBodyBytes);
    CHECK_FALSE(client.Exchange().TooSlow());
  }
  SUBCASE("in chunks") {
    SlowClient client;
    client.Exchange().LimitSendBuffer(kBufferBytes);
    client.ReadSteadily(kBodyBytes);
    CHECK(client.Serve(SendChunk(client.Exchange(), sent)) >= kBodyBytes);
    CHECK_FALSE(client.Exchange().TooSlow());
  }
  // The socket accepts nothing for longer than the write time while its large buffer empties.
  SUBCASE("from a large send buffer") {
    SlowClient client;
    client.Exchange().LimitSendBuffer(kBodyBytes / 4);
    client.ReadSteadily(kBodyBytes);
    CHECK(client.Serve(SendReply(client.Exchange(), sent)) >= kBodyBytes);
    CHECK_FALSE(client.Exchange().TooSlow());
  }
  CHECK(sent);
}

// Guards against connections that are kept for clients that read no further.
TEST_CASE("a response is cut once its client has read nothing for the write time") {
  bool sent = true;
  SlowClient client;
  client.Exchange().LimitSendBuffer(kBufferBytes);
  client.ReadSteadily(kBodyBytes / 8);
  const TimePoint start = Now();
  client.Serve(SendReply(client.Exchange(), sent));
  CHECK_FALSE(sent);
  CHECK(client.Exchange().TooSlow());
  CHECK(Now() - start > kWriteTime);
}

}  // namespace
}  // namespace rudderloom
