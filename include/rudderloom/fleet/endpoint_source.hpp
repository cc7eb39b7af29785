/// @file
/// Where a node learns the list of endpoints from: the store, or the holder of the lease.
#ifndef RUDDERLOOM_FLEET_ENDPOINT_SOURCE_HPP
#define RUDDERLOOM_FLEET_ENDPOINT_SOURCE_HPP

#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief How a node follows the list of endpoints.
/// @ingroup fleet
enum class EndpointFollowing {
  kStore,      ///< By a watch of its own.
  kForOthers,  ///< By a watch of its own whose answers come often: the others rely on them.
  kHolder,     ///< By what the holder tells; the store is not called.
};

/// @brief Decides where from. Pure; time is passed in.
///
/// Each call to the store has its price, so one node calls for all. The others rely on it only
/// while they hear from it, and only while its own list was confirmed by the store a short while
/// ago: a holder that is cut off, frozen or slow is as good as none.
/// @ingroup fleet
class EndpointSource {
 public:
  /// @param oldest How old the holder's list may be before a node asks the store itself.
  explicit EndpointSource(Duration oldest) : oldest_(oldest) {}

  /// @brief The store has just confirmed this node's list.
  void Confirmed(TimePoint now) { confirmed_at_ = now; }

  /// @brief When the store last confirmed this node's list; nothing before the first time.
  std::optional<TimePoint> ConfirmedAt() const { return confirmed_at_; }

  /// @brief The holder has told its list; `age` is how long ago the store confirmed it.
  void Heard(Duration age, TimePoint now);

  /// @brief How to follow the list now.
  EndpointFollowing Choose(bool holds, TimePoint now);

 private:
  bool HolderIsFresh(TimePoint now) const;

  Duration oldest_;
  std::optional<TimePoint> confirmed_at_;
  std::optional<TimePoint> holder_confirmed_at_;
  std::optional<TimePoint> fresh_since_;
};

}  // namespace rudderloom

#endif
