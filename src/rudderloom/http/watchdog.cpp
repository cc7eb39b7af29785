#include "rudderloom/http/watchdog.hpp"

namespace rudderloom {

namespace {
// A composed operation may be between two steps when the first cancel arrives, and then nothing is
// pending to cancel. The cancel is therefore repeated.
constexpr Duration kCancelRetryInterval{20};
// How often progress is looked for within the time limit.
constexpr int kProgressChecks = 8;
}  // namespace

Watchdog::Watchdog(tcp::socket& socket, Duration limit)
    : state_(std::make_shared<State>(socket, nullptr)) {
  Arm(state_, limit);
}

Watchdog::Watchdog(tcp::socket& socket, Duration limit, ProgressCheck has_progressed)
    : state_(std::make_shared<State>(socket, std::move(has_progressed))) {
  CheckProgress(state_, limit / kProgressChecks);
}

Watchdog::~Watchdog() {
  state_->socket = nullptr;
  state_->timer.cancel();
}

void Watchdog::Arm(const std::shared_ptr<State>& state, Duration limit) {
  state->timer.expires_after(limit);
  state->timer.async_wait([state](boost::system::error_code error) {
    if (error || state->socket == nullptr) {
      return;
    }
    state->expired = true;
    boost::system::error_code ignored;
    state->socket->cancel(ignored);
    Arm(state, kCancelRetryInterval);
  });
}

void Watchdog::CheckProgress(const std::shared_ptr<State>& state, Duration interval) {
  state->timer.expires_after(interval);
  state->timer.async_wait([state, interval](boost::system::error_code error) {
    if (error || state->socket == nullptr) {
      return;
    }
    state->idle_checks = state->has_progressed() ? 0 : state->idle_checks + 1;
    if (state->idle_checks < kProgressChecks) {
      CheckProgress(state, interval);
    } else {
      Arm(state, Duration(0));
    }
  });
}

}  // namespace rudderloom
