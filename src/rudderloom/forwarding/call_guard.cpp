#include "rudderloom/forwarding/call_guard.hpp"

#include <algorithm>  // for min

namespace rudderloom {

CallGuard::CallGuard(asio::io_context& context,
                     CallGuards& guards,
                     TimePoint time_up,
                     std::function<bool()> may_give_up)
    : guards_(guards), state_(std::make_shared<State>(context, time_up)) {
  guards_.insert(this);
  state_->may_give_up = std::move(may_give_up);
  Arm(state_);
}

CallGuard::~CallGuard() {
  guards_.erase(this);
  state_->alive = false;
  state_->timer.cancel();
}

void CallGuard::Attach(EndpointConnection* connection) {
  state_->connection = connection;
  if (connection != nullptr && state_->why != Interruption::kNone) {
    connection->Close();
  }
}

void CallGuard::ExpectBefore(std::optional<TimePoint> moment) {
  state_->silent_at = moment;
  // A later moment is noticed when the timer fires; only an earlier one needs it armed anew.
  if (moment && *moment < state_->armed_for) {
    Arm(state_);
  }
}

void CallGuard::ClientGone() {
  Interrupt(*state_, Interruption::kClientGone);
}

void CallGuard::TimeUp() {
  Interrupt(*state_, Interruption::kTimeUp);
}

void CallGuard::ForgetSilence() {
  state_->silent_at.reset();
  if (state_->why == Interruption::kSilent) {
    state_->why = Interruption::kNone;
    Arm(state_);
  }
}

void CallGuard::Interrupt(State& state, Interruption why) {
  if (state.why != Interruption::kNone && state.why != Interruption::kSilent) {
    return;
  }
  state.why = why;
  state.wait_timer.cancel();
  if (state.connection != nullptr) {
    state.connection->Close();
  }
}

void CallGuard::Arm(const std::shared_ptr<State>& state) {
  state->armed_for =
      state->silent_at ? std::min(*state->silent_at, state->time_up) : state->time_up;
  state->timer.expires_at(state->armed_for);
  state->timer.async_wait([state](boost::system::error_code error) {
    if (error || !state->alive || state->why != Interruption::kNone) {
      return;
    }
    const TimePoint now = Now();
    if (now >= state->time_up) {
      Interrupt(*state, Interruption::kTimeUp);
      return;
    }
    if (state->silent_at && now >= *state->silent_at) {
      if (state->may_give_up()) {
        Interrupt(*state, Interruption::kSilent);
        return;
      }
      state->silent_at.reset();
    }
    Arm(state);
  });
}

}  // namespace rudderloom
