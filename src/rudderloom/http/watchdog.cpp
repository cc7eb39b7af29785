#include "rudderloom/http/watchdog.hpp"

namespace rudderloom {

namespace {
// A composed operation may be between two steps when the first cancel arrives, and then nothing is
// pending to cancel. The cancel is therefore repeated.
constexpr Duration kCancelRetryInterval{20};
}  // namespace

Watchdog::Watchdog(tcp::socket& socket, Duration limit) : state_(std::make_shared<State>(socket)) {
  Arm(state_, limit);
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

}  // namespace rudderloom
