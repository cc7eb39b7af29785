#include "rudderloom/http/client.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/scripted_endpoint.hpp"  // for ScriptedEndpoint

namespace rudderloom {
namespace {

using fakes::EndpointAnswer;
using fakes::ScriptedEndpoint;
using std::chrono::milliseconds;

constexpr Duration kTimeout{150};

using CallResult = std::variant<HttpResponse, HttpFailure>;

// Sends `count` concurrent calls and returns their results.
std::vector<CallResult> CallConcurrently(asio::io_context& context,
                                         HttpClient& client,
                                         const std::string& address,
                                         std::size_t count) {
  std::vector<CallResult> results(count);
  std::size_t pending = count;
  for (CallResult& result : results) {
    HttpRequest request = MakeRequest(http::verb::get, address, "/");
    const CallTimeouts times{kTimeout, kTimeout, kTimeout};
    asio::co_spawn(context,
                   client.Call(address, std::move(request), times, ConnectionReuse::kAllowed),
                   [&](const std::exception_ptr&, CallResult received) {
                     result = std::move(received);
                     --pending;
                   });
  }
  while (pending > 0) {
    context.run_one();
  }
  return results;
}

TEST_CASE("a timeout on a pooled connection closes the others that were idle before it") {
  asio::io_context context;
  int last_silent_connection = 0;
  ScriptedEndpoint server(context,
                          [&](const HttpRequest&, EndpointAnswer& answer) -> Awaitable<void> {
                            if (answer.Connection() <= last_silent_connection) {
                              co_await answer.AwaitClose(milliseconds(5'000));
                              co_return;
                            }
                            co_await answer.Pause(milliseconds(20));
                            std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                            co_await answer.Write(std::move(bytes));
                          });
  HttpClient client(context);
  for (const CallResult& answer : CallConcurrently(context, client, server.Address(), 3)) {
    CHECK(std::holds_alternative<HttpResponse>(answer));
  }
  REQUIRE(server.Connections() == 3);
  last_silent_connection = 3;
  const CallResult first = CallConcurrently(context, client, server.Address(), 1)[0];
  REQUIRE(std::holds_alternative<HttpFailure>(first));
  CHECK(std::get<HttpFailure>(first).timed_out);
  CHECK(std::get<HttpFailure>(first).on_reused_connection);
  const CallResult second = CallConcurrently(context, client, server.Address(), 1)[0];
  CHECK(std::holds_alternative<HttpResponse>(second));
  CHECK(server.Connections() == 4);
}

// Guards against calls that keep waiting for an endpoint when the node stops.
TEST_CASE("an interrupted call fails at once and tells whether the request may have been sent") {
  asio::io_context context;
  int requests = 0;
  ScriptedEndpoint server(context,
                          [&](const HttpRequest&, EndpointAnswer& answer) -> Awaitable<void> {
                            ++requests;
                            co_await answer.AwaitClose(milliseconds(5'000));
                          });
  HttpClient client(context);
  CallGuards guards;
  for (const bool sent : {true, false}) {
    CallGuard guard(context, guards, TimePoint::max(), [] { return true; });
    std::optional<HttpFailure> failure;
    HttpRequest request = MakeRequest(http::verb::get, server.Address(), "/");
    asio::co_spawn(
        context,
        client.Open(server.Address(), std::move(request), CallTimeouts(), ConnectionReuse::kNever,
                    &guard),
        [&](const std::exception_ptr&, auto opened) { failure = std::get<HttpFailure>(opened); });
    while (sent && requests == 0) {
      context.run_one();
    }
    guard.Stop();
    const TimePoint interrupted_at = Now();
    while (!failure) {
      context.run_one();
    }
    CHECK(Between(interrupted_at, Now()) < kTimeout);
    CHECK(failure->may_have_been_sent == sent);
  }
  CHECK(requests == 1);
}

}  // namespace
}  // namespace rudderloom
