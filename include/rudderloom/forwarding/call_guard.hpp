/// @file
/// Ends what a request waits for when its client leaves, its time is up or an endpoint is silent.
#ifndef RUDDERLOOM_FORWARDING_CALL_GUARD_HPP
#define RUDDERLOOM_FORWARDING_CALL_GUARD_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <optional>    // for optional
#include <set>         // for set

#include "rudderloom/base/clock.hpp"                      // for TimePoint
#include "rudderloom/forwarding/endpoint_connection.hpp"  // for EndpointConnection
#include "rudderloom/http/asio.hpp"                       // for asio

namespace rudderloom {

/// @brief Why a wait was ended from outside.
/// @ingroup forwarding
enum class Interruption {
  kNone,
  kClientGone,
  kTimeUp,  ///< The client's deadline, the route's timeout, or the end of a planned stop.
  kSilent,  ///< The endpoint gave nothing for too long.
};

class CallGuard;

/// @brief The guards of all requests in flight on a node.
/// @ingroup forwarding
using CallGuards = std::set<CallGuard*>;

/// @brief Watches over one request. One thread only.
/// @ingroup forwarding
class CallGuard {
 public:
  /// @param guards The set in which this guard is registered during its lifetime.
  /// @param may_give_up Asked when an endpoint has been silent for too long; where it says no, the
  /// endpoint is waited for on.
  CallGuard(asio::io_context& context,
            CallGuards& guards,
            TimePoint time_up,
            std::function<bool()> may_give_up);
  CallGuard(const CallGuard&) = delete;
  CallGuard& operator=(const CallGuard&) = delete;
  ~CallGuard();

  /// @brief The connection to close at an interruption; null for none.
  void Attach(EndpointConnection* connection);

  /// @brief The endpoint must give something before this moment; empty: no such limit.
  void ExpectBefore(std::optional<TimePoint> moment);

  /// @brief The client closed its connection.
  void ClientGone();

  /// @brief Interrupts the request as if its deadline had passed.
  void TimeUp();

  Interruption Why() const { return state_->why; }

  /// @brief Forgets a silence, before the next endpoint is tried.
  void ForgetSilence();

  /// @brief Timer for other waits, cancelled at an interruption.
  Timer& WaitTimer() { return state_->wait_timer; }

 private:
  struct State {
    State(asio::io_context& context, TimePoint until)
        : timer(context), wait_timer(context), time_up(until) {}
    Timer timer;
    Timer wait_timer;
    TimePoint time_up;
    std::function<bool()> may_give_up;
    std::optional<TimePoint> silent_at;
    TimePoint armed_for;
    EndpointConnection* connection = nullptr;
    Interruption why = Interruption::kNone;
    bool alive = true;
  };

  static void Arm(const std::shared_ptr<State>& state);
  static void Interrupt(State& state, Interruption why);

  CallGuards& guards_;
  std::shared_ptr<State> state_;
};

}  // namespace rudderloom

#endif
