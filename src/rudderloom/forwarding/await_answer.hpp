// Awaits an answer on the traffic thread that may arrive on any thread.
#ifndef RUDDERLOOM_FORWARDING_AWAIT_ANSWER_HPP
#define RUDDERLOOM_FORWARDING_AWAIT_ANSWER_HPP

#include <functional>  // for function
#include <memory>      // for make_shared
#include <optional>    // for optional

#include "rudderloom/http/asio.hpp"  // for Awaitable, Timer

namespace rudderloom {

// Longer than the node link's own timeout for a live node.
constexpr Duration kNodeAnswerTimeout{250};

// Calls `send_request` once with a callback that takes the answer, or an empty value if there is
// none. Returns empty after `kNodeAnswerTimeout`.
template <class Answer, class SendRequest>
Awaitable<std::optional<Answer>> AwaitAnswer(asio::io_context& context, SendRequest send_request) {
  struct Waiting {
    Timer timer;
    std::optional<Answer> answer;
  };
  auto waiting = std::make_shared<Waiting>(Waiting{Timer(context), {}});
  waiting->timer.expires_after(kNodeAnswerTimeout);
  send_request([&context, waiting](std::optional<Answer> answer) {
    asio::post(context, [waiting, answer] {
      waiting->answer = answer;
      waiting->timer.cancel();
    });
  });
  co_await waiting->timer.async_wait(kAsTuple);
  co_return waiting->answer;
}

}  // namespace rudderloom

#endif
