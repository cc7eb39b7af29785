// Waits on the traffic thread for an answer that comes on any thread.
#ifndef RUDDERLOOM_FORWARDING_AWAIT_ANSWER_HPP
#define RUDDERLOOM_FORWARDING_AWAIT_ANSWER_HPP

#include <functional>  // for function
#include <memory>      // for make_shared
#include <optional>    // for optional

#include "rudderloom/http/asio.hpp"  // for Awaitable, Timer

namespace rudderloom {

// Longer than the link between nodes waits for the answer of a node that is there.
constexpr Duration kNodeAnswerLimit{250};

// `ask` is called once with a callback that takes the answer, or nothing when none came. Gives
// nothing after `kNodeAnswerLimit`.
template <class Answer, class Ask>
Awaitable<std::optional<Answer>> AwaitAnswer(asio::io_context& context, Ask ask) {
  struct Waiting {
    Timer timer;
    std::optional<Answer> answer;
  };
  auto waiting = std::make_shared<Waiting>(Waiting{Timer(context), {}});
  waiting->timer.expires_after(kNodeAnswerLimit);
  ask([&context, waiting](std::optional<Answer> answer) {
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
