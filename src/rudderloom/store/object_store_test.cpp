// Lists of the store client from a server that sends what the test sets.
#include "rudderloom/store/object_store.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "rudderloom/http/server.hpp"  // for HttpServer

namespace rudderloom {
namespace {

constexpr Duration kCallTime{2'000};

std::variant<ObjectList, StoreError> ListFrom(const std::string& body) {
  asio::io_context context;
  HttpHandlers handlers;
  handlers.handle = [&](HttpExchange& exchange) -> Awaitable<void> {
    Reply reply;
    reply.body = body;
    co_await exchange.Send(std::move(reply));
  };
  handlers.read_failure = [](ReadFailure) { return Reply(); };
  const auto server = std::make_shared<HttpServer>(context, HttpLimits(), std::move(handlers));
  const std::string address = "127.0.0.1:" + std::to_string(server->Listen("127.0.0.1", 0));
  const auto store = MakeHttpObjectStore(context, address, kCallTime, kCallTime,
                                         [](std::string_view, std::string_view, std::size_t) {});
  std::optional<std::variant<ObjectList, StoreError>> result;
  asio::co_spawn(
      context, [&]() -> Awaitable<void> { result = co_await store->List("nodes"); },
      asio::detached);
  while (!result) {
    context.run_one();
  }
  return *result;
}

// Guards against a response that is not a list taken as one without objects.
TEST_CASE("a list without items or revision is an error, and an empty one is not") {
  for (const char* body : {"{}", R"({"metadata":{"resourceVersion":"7"}})", R"({"items":[]})",
                           R"({"metadata":{"resourceVersion":"7"},"items":{}})",
                           R"({"metadata":{"resourceVersion":"x"},"items":[]})"}) {
    CAPTURE(body);
    const auto listed = ListFrom(body);
    REQUIRE(std::holds_alternative<StoreError>(listed));
    CHECK(std::get<StoreError>(listed).kind == StoreError::Kind::kUnknown);
  }
  const auto empty = ListFrom(R"({"metadata":{"resourceVersion":"7"},"items":[]})");
  REQUIRE(std::holds_alternative<ObjectList>(empty));
  CHECK(std::get<ObjectList>(empty).objects.empty());
  CHECK(std::get<ObjectList>(empty).version == StoreRevision(0, 7));
}

// Guards against a line without end that fills the memory.
TEST_CASE("a watch whose line doesn't end is ended") {
  constexpr std::size_t kMaxSent = 32 * 1024 * 1024;
  asio::io_context context;
  std::size_t sent = 0;
  const std::string piece(64 * 1024, 'x');
  HttpHandlers handlers;
  handlers.handle = [&](HttpExchange& exchange) -> Awaitable<void> {
    HeaderList headers;
    std::string type = "application/json";
    bool open = co_await exchange.StartStream(200, std::move(type), std::move(headers));
    while (open && sent < kMaxSent) {
      open = co_await exchange.WriteChunk(piece);
      sent += piece.size();
    }
    exchange.Abort();
  };
  handlers.read_failure = [](ReadFailure) { return Reply(); };
  const auto server = std::make_shared<HttpServer>(context, HttpLimits(), std::move(handlers));
  const std::string address = "127.0.0.1:" + std::to_string(server->Listen("127.0.0.1", 0));
  const auto store = MakeHttpObjectStore(context, address, kCallTime, kCallTime,
                                         [](std::string_view, std::string_view, std::size_t) {});
  std::optional<StoreError> ended;
  asio::co_spawn(
      context,
      [&]() -> Awaitable<void> {
        const auto ignore = [](const WatchEvent&) {};
        ended = co_await store->Watch("nodes", StoreRevision(0, 1), ignore);
      },
      asio::detached);
  while (!ended) {
    context.run_one();
  }
  CHECK(ended->kind == StoreError::Kind::kUnreachable);
  CHECK(sent < kMaxSent / 2);
}

}  // namespace
}  // namespace rudderloom
