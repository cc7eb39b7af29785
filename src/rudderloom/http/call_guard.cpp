#include "rudderloom/http/call_guard.hpp"

#include <algorithm>  // for min
#include <utility>    // for move

namespace rudderloom {

namespace {
// After a delay of this thread, timers expire before what has arrived meanwhile is processed.
constexpr Duration kArrivalTime{10};
}  // namespace

CallGuard::CallGuard(asio::io_context& context,
                     CallGuards& guards,
                     TimePoint deadline_at,
                     std::function<bool()> may_abandon_endpoint)
    : guards_(guards), state_(std::make_shared<State>(context, deadline_at)) {
  guards_.insert(this);
  state_->may_abandon_endpoint = std::move(may_abandon_endpoint);
  Arm(state_);
}

CallGuard::~CallGuard() {
  guards_.erase(this);
  state_->alive = false;
  state_->timer.cancel();
}

void CallGuard::SetCancel(std::function<void()> cancel) {
  state_->cancel = std::move(cancel);
  if (state_->cancel && Interrupted()) {
    state_->cancel();
  }
}

void CallGuard::SetDeadline(TimePoint deadline_at) {
  state_->deadline_at = deadline_at;
  if (!Interrupted()) {
    Arm(state_);
  }
}

Awaitable<void> CallGuard::AwaitTimer(Timer& timer) {
  if (Interrupted()) {
    co_return;
  }
  SetCancel([&timer] { timer.cancel(); });
  co_await timer.async_wait(kAsTuple);
  SetCancel({});
}

void CallGuard::SetResponseDeadline(std::optional<TimePoint> deadline) {
  state_->response_deadline = deadline;
  state_->confirms_silence = false;
  // A later deadline is handled when the timer fires; only an earlier one requires rearming.
  if (deadline && *deadline < state_->timer_expiry) {
    Arm(state_);
  }
}

void CallGuard::ClientDisconnected() {
  Interrupt(*state_, Interruption::kClientDisconnected);
}

void CallGuard::ExpireDeadline() {
  Interrupt(*state_, Interruption::kDeadlineExceeded);
}

void CallGuard::Stop() {
  Interrupt(*state_, Interruption::kStopping);
}

void CallGuard::ClearSilence() {
  state_->response_deadline.reset();
  if (state_->cause == Interruption::kEndpointSilent) {
    state_->cause = Interruption::kNone;
    Arm(state_);
  }
}

void CallGuard::Interrupt(State& state, Interruption cause) {
  if (state.cause != Interruption::kNone && state.cause != Interruption::kEndpointSilent) {
    return;
  }
  state.cause = cause;
  state.wait_timer.cancel();
  if (state.cancel) {
    state.cancel();
  }
}

void CallGuard::Arm(const std::shared_ptr<State>& state) {
  state->timer_expiry = state->response_deadline
                            ? std::min(*state->response_deadline, state->deadline_at)
                            : state->deadline_at;
  state->timer.expires_at(state->timer_expiry);
  state->timer.async_wait([state](boost::system::error_code error) {
    if (error || !state->alive || state->cause != Interruption::kNone) {
      return;
    }
    const TimePoint now = Now();
    if (now >= state->deadline_at) {
      Interrupt(*state, Interruption::kDeadlineExceeded);
      return;
    }
    if (state->response_deadline && now >= *state->response_deadline) {
      if (!state->confirms_silence) {
        state->confirms_silence = true;
        state->response_deadline = now + kArrivalTime;
        Arm(state);
        return;
      }
      if (state->may_abandon_endpoint()) {
        Interrupt(*state, Interruption::kEndpointSilent);
        return;
      }
      state->response_deadline.reset();
    }
    Arm(state);
  });
}

}  // namespace rudderloom
