/// @file
/// A timeout for socket operations that leaves the socket open, so that an error can be sent.
#ifndef RUDDERLOOM_HTTP_WATCHDOG_HPP
#define RUDDERLOOM_HTTP_WATCHDOG_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <utility>     // for move

#include "rudderloom/base/clock.hpp"  // for Duration
#include "rudderloom/http/asio.hpp"   // for tcp

namespace rudderloom {

/// @brief Cancels the pending operations of a socket once the timeout expires.
/// Beast's own stream timeout closes the socket; this one does not.
/// @ingroup http
class Watchdog {
 public:
  /// @brief Returns true if the operation has progressed since the last call.
  using ProgressCheck = std::function<bool()>;

  /// @brief Starts the timeout; `socket` must outlive this object.
  Watchdog(tcp::socket& socket, Duration limit);

  /// @brief Starts a timeout that expires once the operation has not progressed for `limit`.
  Watchdog(tcp::socket& socket, Duration limit, ProgressCheck has_progressed);
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;
  ~Watchdog();

  /// @brief Lets the timeout expire now.
  void Expire() { Arm(state_, Duration(0)); }

  /// @brief True once the timeout has expired.
  bool Expired() const { return state_->expired; }

 private:
  struct State {
    State(tcp::socket& owner, ProgressCheck check)
        : timer(owner.get_executor()), socket(&owner), has_progressed(std::move(check)) {}
    Timer timer;
    tcp::socket* socket;  // null once the watchdog is destroyed
    ProgressCheck has_progressed;
    int idle_checks = 0;  // in a row
    bool expired = false;
  };
  static void Arm(const std::shared_ptr<State>& state, Duration limit);
  static void CheckProgress(const std::shared_ptr<State>& state, Duration interval);

  std::shared_ptr<State> state_;
};

}  // namespace rudderloom

#endif
