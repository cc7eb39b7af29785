/// @file
/// Interrupts a request when its client disconnects, its deadline passes, its endpoint is silent or
/// the node stops.
#ifndef RUDDERLOOM_HTTP_CALL_GUARD_HPP
#define RUDDERLOOM_HTTP_CALL_GUARD_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <set>         // for set

#include "rudderloom/base/clock.hpp"  // for TimePoint
#include "rudderloom/http/asio.hpp"   // for asio

namespace rudderloom {

/// @brief Why a request was interrupted.
/// @ingroup http
enum class Interruption {
  kNone,
  kClientDisconnected,
  kDeadlineExceeded,  ///< The client's deadline, the route's timeout, or the end of a planned stop.
  kEndpointSilent,    ///< The endpoint sent nothing before the response deadline.
  kStopping,          ///< The node exits shortly.
};

class CallGuard;

/// @brief The guards of all requests in flight on a node.
/// @ingroup http
using CallGuards = std::set<CallGuard*>;

/// @brief Monitors one request and interrupts its pending operation. Not thread-safe.
/// @ingroup http
class CallGuard {
 public:
  /// @param guards The set in which this guard is registered during its lifetime.
  /// @param may_abandon_endpoint Called when the response deadline passes. If it returns false, the
  /// request keeps waiting for the endpoint.
  CallGuard(asio::io_context& context,
            CallGuards& guards,
            TimePoint deadline_at,
            std::function<bool()> may_abandon_endpoint);
  CallGuard(const CallGuard&) = delete;
  CallGuard& operator=(const CallGuard&) = delete;
  ~CallGuard();

  /// @brief Sets the function that cancels the pending operation on an interruption; empty for
  /// none. If the request is already interrupted, it is called immediately.
  void SetCancel(std::function<void()> cancel);

  /// @brief Replaces the deadline of the request; without effect once it was interrupted.
  void SetDeadline(TimePoint deadline_at);

  /// @brief Sets the time by which the endpoint must send something; empty for no limit.
  void SetResponseDeadline(std::optional<TimePoint> deadline);

  /// @brief Interrupts the request because its client disconnected.
  void ClientDisconnected();

  /// @brief Interrupts the request as if its deadline had passed.
  void ExpireDeadline();

  /// @brief Interrupts the request because the node exits shortly.
  void Stop();

  Interruption Cause() const { return state_->cause; }
  bool Interrupted() const { return state_->cause != Interruption::kNone; }

  /// @brief Clears an interruption for silence, before the next endpoint is tried.
  void ClearSilence();

  /// @brief Timer for other waits; cancelled on an interruption.
  Timer& WaitTimer() { return state_->wait_timer; }

  /// @brief Waits until the timer expires or is cancelled; returns at once if the request is
  /// interrupted, also if that was before. Replaces the function that cancels.
  /// @param timer Must outlive the wait.
  Awaitable<void> AwaitTimer(Timer& timer);

 private:
  struct State {
    State(asio::io_context& context, TimePoint until)
        : timer(context), wait_timer(context), deadline_at(until) {}
    Timer timer;
    Timer wait_timer;
    TimePoint deadline_at;
    std::function<bool()> may_abandon_endpoint;
    std::optional<TimePoint> response_deadline;
    bool confirms_silence = false;  // the response deadline has passed once
    TimePoint timer_expiry;
    std::function<void()> cancel;
    Interruption cause = Interruption::kNone;
    bool alive = true;
  };

  static void Arm(const std::shared_ptr<State>& state);
  static void Interrupt(State& state, Interruption cause);

  CallGuards& guards_;
  std::shared_ptr<State> state_;
};

}  // namespace rudderloom

#endif
