// Awaits an answer on the traffic thread that may arrive on any thread.
#ifndef RUDDERLOOM_FORWARDING_AWAIT_ANSWER_HPP
#define RUDDERLOOM_FORWARDING_AWAIT_ANSWER_HPP

#include <functional>  // for function
#include <memory>      // for make_shared
#include <optional>    // for optional

#include "rudderloom/http/asio.hpp"        // for Awaitable, Timer
#include "rudderloom/http/call_guard.hpp"  // for CallGuard

namespace rudderloom {

// Longer than the node link's own timeout for a live node.
constexpr Duration kNodeAnswerTimeout{250};

// Calls `send_request` once with a callback that takes the answer, or an empty value if there is
// none. Returns empty after `kNodeAnswerTimeout`, and when the request of `guard` is interrupted;
// an answer that comes later is passed to `on_late` on the traffic thread. A null guard interrupts
// nothing.
template <class Answer, class SendRequest>
Awaitable<std::optional<Answer>> AwaitAnswer(asio::io_context& context,
                                             CallGuard* guard,
                                             SendRequest send_request,
                                             std::function<void(const Answer&)> on_late = {}) {
  if (guard != nullptr && guard->Interrupted()) {
    co_return std::nullopt;
  }
  struct Waiting {
    Timer timer;
    std::optional<Answer> answer;
    bool timed_out = false;
  };
  auto waiting = std::make_shared<Waiting>(Waiting{Timer(context), {}});
  waiting->timer.expires_after(kNodeAnswerTimeout);
  send_request([&context, waiting, on_late](std::optional<Answer> answer) {
    asio::post(context, [waiting, answer, on_late] {
      if (waiting->timed_out) {
        if (answer && on_late) {
          on_late(*answer);
        }
        return;
      }
      waiting->answer = answer;
      waiting->timer.cancel();
    });
  });
  if (guard != nullptr) {
    co_await guard->AwaitTimer(waiting->timer);
  } else {
    co_await waiting->timer.async_wait(kAsTuple);
  }
  waiting->timed_out = !waiting->answer;
  co_return waiting->answer;
}

}  // namespace rudderloom

#endif
