#include "rudderloom/http/client.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include "fakes/scripted_endpoint.hpp"  // for ScriptedEndpoint

namespace rudderloom {
namespace {

using fakes::EndpointAnswer;
using fakes::ScriptedEndpoint;
using std::chrono::milliseconds;

constexpr Duration kLimit{150};

using Answer = std::variant<HttpResponse, HttpFailure>;

// Sends `count` calls at once and gives their answers.
std::vector<Answer> CallAtOnce(asio::io_context& context,
                               HttpClient& client,
                               const std::string& address,
                               std::size_t count) {
  std::vector<Answer> answers(count);
  std::size_t left = count;
  for (Answer& answer : answers) {
    HttpRequest request = MakeRequest(http::verb::get, address, "/");
    const CallTimes times{kLimit, kLimit, kLimit};
    asio::co_spawn(context, client.Call(address, std::move(request), times, Reuse::kAllowed),
                   [&](const std::exception_ptr&, Answer got) {
                     answer = std::move(got);
                     --left;
                   });
  }
  while (left > 0) {
    context.run_one();
  }
  return answers;
}

TEST_CASE("of connections that fell silent together, one call finds out for all") {
  asio::io_context context;
  int silent_up_to = 0;
  ScriptedEndpoint server(context,
                          [&](const HttpRequest&, EndpointAnswer& answer) -> Awaitable<void> {
                            if (answer.Connection() <= silent_up_to) {
                              co_await answer.AwaitClose(milliseconds(5'000));
                              co_return;
                            }
                            co_await answer.Pause(milliseconds(20));
                            std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                            co_await answer.Write(std::move(bytes));
                          });
  HttpClient client(context);
  for (const Answer& answer : CallAtOnce(context, client, server.Address(), 3)) {
    CHECK(std::holds_alternative<HttpResponse>(answer));
  }
  REQUIRE(server.Connections() == 3);
  silent_up_to = 3;
  const Answer first = CallAtOnce(context, client, server.Address(), 1)[0];
  REQUIRE(std::holds_alternative<HttpFailure>(first));
  CHECK(std::get<HttpFailure>(first).timed_out);
  CHECK(std::get<HttpFailure>(first).on_reused);
  const Answer second = CallAtOnce(context, client, server.Address(), 1)[0];
  CHECK(std::holds_alternative<HttpResponse>(second));
  CHECK(server.Connections() == 4);
}

}  // namespace
}  // namespace rudderloom
