/// @file
/// A time limit for socket operations that leaves the socket open, so that an error can be sent.
#ifndef RUDDERLOOM_HTTP_WATCHDOG_HPP
#define RUDDERLOOM_HTTP_WATCHDOG_HPP

#include <memory>  // for shared_ptr

#include "rudderloom/base/clock.hpp"  // for Duration
#include "rudderloom/http/asio.hpp"   // for tcp

namespace rudderloom {

/// @brief Cancels the pending operations of a socket once its time is up.
/// Beast's own stream timeout closes the socket; this one does not.
/// @ingroup http
class Watchdog {
 public:
  /// @brief Starts to count; `socket` must outlive this object.
  Watchdog(tcp::socket& socket, Duration limit);
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;
  ~Watchdog();

  /// @brief True once the time was up.
  bool Expired() const { return state_->expired; }

 private:
  struct State {
    State(tcp::socket& owner) : timer(owner.get_executor()), socket(&owner) {}
    Timer timer;
    tcp::socket* socket;  // null once the watchdog is gone
    bool expired = false;
  };
  static void Arm(const std::shared_ptr<State>& state, Duration limit);

  std::shared_ptr<State> state_;
};

}  // namespace rudderloom

#endif
