// Answers to the HTTP client that are not valid HTTP.
#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/scripted_endpoint.hpp"  // for ScriptedEndpoint
#include "rudderloom/http/client.hpp"   // for HttpClient

namespace rudderloom {
namespace {

using fakes::EndpointAnswer;
using fakes::ScriptedEndpoint;

constexpr Duration kTimeout{1'000};

using CallResult = std::variant<HttpResponse, HttpFailure>;

// Sends a call whose answer are these bytes, on a connection that stays open.
CallResult CallAnsweredWith(const std::string& bytes) {
  asio::io_context context;
  ScriptedEndpoint server(context,
                          [&](const HttpRequest&, EndpointAnswer& answer) -> Awaitable<void> {
                            std::string copy = bytes;
                            co_await answer.Write(std::move(copy));
                          });
  HttpClient client(context);
  HttpRequest request = MakeRequest(http::verb::get, server.Address(), "/x");
  const CallTimeouts times{kTimeout, kTimeout, kTimeout};
  std::optional<CallResult> result;
  asio::co_spawn(context,
                 client.Call(server.Address(), std::move(request), times, ConnectionReuse::kNever),
                 [&](const std::exception_ptr&, auto received) { result = std::move(received); });
  while (!result) {
    context.run_one();
  }
  return *result;
}

// A broken answer is noticed at once, and the call may have been carried out.
void CheckBroken(const std::string& bytes) {
  CAPTURE(bytes);
  const auto result = CallAnsweredWith(bytes);
  const auto* failure = std::get_if<HttpFailure>(&result);
  CHECK(failure != nullptr);
  if (failure != nullptr) {
    CHECK(failure->may_have_been_sent);
    CHECK_FALSE(failure->timed_out);
  }
}

// Guards against orders, reports and calls to the store that are answered by no answer.
TEST_CASE("an answer to a call whose status is not between 100 and 599 is a failure") {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    const std::string head = "HTTP/1.1 " + std::string(status) + " X\r\n";
    CheckBroken(head + "Content-Length: 2\r\n\r\n{}");
    CheckBroken(head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    CheckBroken("HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 2\r\n\r\n{}");
  }
}

// Guards against calls that take a line for a part of the field before it, or for none.
TEST_CASE("an answer to a call with a blank or a control byte in a field's name is a failure") {
  for (const char* line :
       {" X: a", "\tX: a", "X : a", "X\t: a", "X X: a", "X\x01: a", "\x7fX: a", ": a", "X",
        " Content-Length: 2", "Content-Length : 2", "Content Length: 2"}) {
    const std::string broken = std::string(line) + "\r\n";
    CheckBroken("HTTP/1.1 200 OK\r\n" + broken + "Content-Length: 2\r\n\r\n{}");
    CheckBroken("HTTP/1.1 200 OK\r\nName: value\r\n" + broken + "\r\n{}");
    CheckBroken("HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + broken +
                "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  }
}

// Guards against a coded body that is taken for the body itself.
TEST_CASE("an answer to a call in another transfer coding than chunks is a failure") {
  for (const char* coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "identity", "xchunked", ""}) {
    CheckBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) +
                "\r\n\r\n2\r\n{}\r\n0\r\n\r\n");
  }
}

std::string Repeat(const std::string& part, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += part;
  }
  return text;
}

// Guards against headers that are kept in memory, or read until a timeout, however long they are.
TEST_CASE("an answer to a call whose header doesn't end is a failure") {
  constexpr std::size_t kBytes = 8 * 1024 * 1024;
  const std::string status = "HTTP/1.1 200 OK\r\n";
  for (const std::string& bytes :
       {status + Repeat("X: a\r\n", kBytes), status + Repeat("X", kBytes),
        status + "X: " + Repeat("a", kBytes), "HTTP/1.1 200 " + Repeat("O", kBytes),
        Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", kBytes)}) {
    const auto result = CallAnsweredWith(bytes);
    const auto* failure = std::get_if<HttpFailure>(&result);
    CAPTURE(bytes.substr(0, 64));
    REQUIRE(failure != nullptr);
    CHECK(failure->may_have_been_sent);
    CHECK_FALSE(failure->timed_out);
  }
}

// Guards against many faulty peers that fill the memory together, each within the bound for one.
TEST_CASE("the bodies that calls have read in part are bounded together, and others are read") {
  constexpr std::size_t kCalls = 24;
  constexpr std::size_t kBytes = 3 * 1024 * 1024;
  constexpr std::size_t kMaxHeldBytes = 16 * 1024 * 1024;
  asio::io_context context;
  std::size_t sent = 0;
  const std::string part = "HTTP/1.1 200 OK\r\n\r\n" + std::string(kBytes, 'x');
  ScriptedEndpoint faulty(context,
                          [&](const HttpRequest&, EndpointAnswer& answer) -> Awaitable<void> {
                            std::string bytes = part;
                            co_await answer.Write(std::move(bytes));
                            ++sent;
                          });
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  ScriptedEndpoint sound(context,
                         [&](const HttpRequest&, EndpointAnswer& answer) -> Awaitable<void> {
                           std::string bytes = whole;
                           co_await answer.Write(std::move(bytes));
                         });
  HttpClient client(context);
  std::vector<CallResult> results(kCalls + 1);
  std::size_t ended = 0;
  const auto call = [&](const std::string& address, CallResult& result) {
    HttpRequest request = MakeRequest(http::verb::get, address, "/x");
    const CallTimeouts times{kTimeout, kTimeout, kTimeout};
    asio::co_spawn(context,
                   client.Call(address, std::move(request), times, ConnectionReuse::kNever),
                   [&](const std::exception_ptr&, CallResult received) {
                     result = std::move(received);
                     ++ended;
                   });
  };
  for (std::size_t i = 0; i < kCalls; ++i) {
    call(faulty.Address(), results[i]);
  }
  while (sent < kCalls) {
    context.run_one();
  }
  call(sound.Address(), results[kCalls]);
  while (ended <= kCalls) {
    context.run_one();
  }
  CHECK(std::holds_alternative<HttpResponse>(results[kCalls]));
  std::size_t held_until_timeout = 0;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const auto* failure = std::get_if<HttpFailure>(&results[i]);
    REQUIRE(failure != nullptr);
    held_until_timeout += failure->timed_out ? kBytes : 0;
  }
  CHECK(held_until_timeout <= kMaxHeldBytes);
}

// Guards against bytes behind an answer that are taken for the answer to the next call.
TEST_CASE("a connection that has carried more than the answer isn't used for another call") {
  asio::io_context context;
  const std::string answer_and_more =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nownHTTP/1.1 200 OK\r\nContent-";
  ScriptedEndpoint server(context,
                          [&](const HttpRequest&, EndpointAnswer& answer) -> Awaitable<void> {
                            std::string bytes = answer_and_more;
                            co_await answer.Write(std::move(bytes));
                          });
  HttpClient client(context);
  for (int call = 1; call <= 2; ++call) {
    HttpRequest request = MakeRequest(http::verb::get, server.Address(), "/x");
    const CallTimeouts times{kTimeout, kTimeout, kTimeout};
    std::optional<CallResult> result;
    asio::co_spawn(
        context,
        client.Call(server.Address(), std::move(request), times, ConnectionReuse::kAllowed),
        [&](const std::exception_ptr&, CallResult received) { result = std::move(received); });
    while (!result) {
      context.run_one();
    }
    REQUIRE(std::holds_alternative<HttpResponse>(*result));
    CHECK(std::get<HttpResponse>(*result).body() == "own");
    CHECK(server.Connections() == call);
  }
}

// Guards against sound answers that are taken for broken ones.
TEST_CASE("an answer to a call whose body begins with a blank line is whole") {
  for (const std::string body : {" {}", "\r\n {}", "\t\r\n\t"}) {
    const auto result = CallAnsweredWith("HTTP/1.1 200 OK\r\nName:\t value \r\nContent-Length: " +
                                         std::to_string(body.size()) + "\r\n\r\n" + body);
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).body() == body);
    CHECK(std::get<HttpResponse>(result)["Name"] == "value");
  }
}

}  // namespace
}  // namespace rudderloom
