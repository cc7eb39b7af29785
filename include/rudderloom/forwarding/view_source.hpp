/// @file
/// Holds the latest fleet view and lets requests wait for the next one.
#ifndef RUDDERLOOM_FORWARDING_VIEW_SOURCE_HPP
#define RUDDERLOOM_FORWARDING_VIEW_SOURCE_HPP

#include <set>  // for set

#include "rudderloom/fleet/fleet_view.hpp"  // for FleetViewPtr
#include "rudderloom/http/asio.hpp"         // for Awaitable

namespace rudderloom {

/// @brief Provides fleet views to the traffic thread. Not thread-safe.
/// @ingroup forwarding
class ViewSource {
 public:
  const FleetViewPtr& Current() const { return current_; }

  /// @brief Replaces the view and wakes all waiters.
  void SetView(FleetViewPtr view) {
    current_ = std::move(view);
    WakeAll();
  }

  /// @brief Wakes all waiters without a new view.
  void WakeAll() {
    for (Timer* timer : waiting_) {
      timer->cancel();
    }
  }

  /// @brief Waits for the next view, until `until` or until the timer is cancelled.
  Awaitable<void> WaitForNext(Timer& timer, TimePoint until) {
    timer.expires_at(until);
    waiting_.insert(&timer);
    co_await timer.async_wait(kAsTuple);
    waiting_.erase(&timer);
  }

  /// @brief Number of requests waiting for a view.
  std::size_t Waiting() const { return waiting_.size(); }

 private:
  FleetViewPtr current_ = std::make_shared<const FleetView>();
  std::set<Timer*> waiting_;
};

}  // namespace rudderloom

#endif
