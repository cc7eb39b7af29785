#include "rudderloom/http/call_guard.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

#include <thread>  // for sleep_for

namespace rudderloom {
namespace {

constexpr Duration kResponseTime{20};
constexpr Duration kDelay{60};
constexpr Duration kLongTime{10'000};

// A request that may be withdrawn from its endpoint.
class GuardedRequest {
 public:
  GuardedRequest() { guard_.SetResponseDeadline(Now() + kResponseTime); }

  CallGuard& Guard() { return guard_; }

  // Processes what has arrived, which takes some turns of the context.
  void ProcessEvent() {
    asio::co_spawn(
        context_,
        [this]() -> Awaitable<void> {
          for (int i = 0; i < 4; ++i) {
            co_await asio::post(context_, asio::use_awaitable);
          }
          guard_.SetResponseDeadline(Now() + kLongTime);
        },
        asio::detached);
  }

  void RunFor(Duration time) { context_.run_for(time); }

 private:
  asio::io_context context_;
  CallGuards guards_;
  CallGuard guard_{context_, guards_, Now() + kLongTime, [] { return true; }};
};

// Guards against streams that are withdrawn from an endpoint although its event has arrived: the
// node's thread was delayed, and the timer expired first.
TEST_CASE("an endpoint whose event is being processed when its time is over is not silent") {
  GuardedRequest request;
  std::this_thread::sleep_for(kDelay);
  request.ProcessEvent();
  request.RunFor(kDelay);
  CHECK(request.Guard().Cause() == Interruption::kNone);
}

TEST_CASE("an endpoint that has sent nothing when its time is over is silent") {
  GuardedRequest request;
  request.RunFor(3 * kDelay);
  CHECK(request.Guard().Cause() == Interruption::kEndpointSilent);
}

// Guards against a wait that begins after the interruption that was to end it.
TEST_CASE("a request that is interrupted waits for no timer, before or during the wait") {
  for (const Duration before_interruption : {Duration(0), kDelay}) {
    asio::io_context context;
    CallGuards guards;
    CallGuard guard(context, guards, Now() + kLongTime, [] { return true; });
    Timer timer(context, kLongTime);
    Timer interruption(context, before_interruption);
    bool waited = false;
    if (before_interruption == Duration(0)) {
      guard.ClientDisconnected();
    } else {
      interruption.async_wait([&](boost::system::error_code) { guard.ClientDisconnected(); });
    }
    asio::co_spawn(context, guard.AwaitTimer(timer),
                   [&](const std::exception_ptr&) { waited = true; });
    context.run_for(2 * kDelay);
    CHECK(waited);
  }
}

TEST_CASE("a request's deadline may be replaced until it has passed") {
  asio::io_context context;
  CallGuards guards;
  CallGuard guard(context, guards, Now() + kLongTime, [] { return true; });
  guard.SetDeadline(Now() + kDelay);
  context.run_for(2 * kDelay);
  CHECK(guard.Cause() == Interruption::kDeadlineExceeded);
  guard.SetDeadline(Now() + kLongTime);
  CHECK(guard.Cause() == Interruption::kDeadlineExceeded);
}

}  // namespace
}  // namespace rudderloom
