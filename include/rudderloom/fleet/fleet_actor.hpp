/// @file
/// The thread that owns the fleet's control state: a detached CAF actor.
#ifndef RUDDERLOOM_FLEET_FLEET_ACTOR_HPP
#define RUDDERLOOM_FLEET_FLEET_ACTOR_HPP

#include <functional>  // for function
#include <memory>      // for unique_ptr

#include "rudderloom/fleet/fleet_state.hpp"  // for FleetEffects

namespace rudderloom {

/// @brief Passes messages to the control state, one at a time. `Post` is thread-safe.
/// @ingroup fleet
class FleetActor {
 public:
  /// @param sink Receives the effects of each message, on the actor's thread.
  FleetActor(FleetSettings settings,
             std::string incarnation,
             std::function<void(FleetEffects)> sink);
  FleetActor(const FleetActor&) = delete;
  FleetActor& operator=(const FleetActor&) = delete;
  /// @brief Stops the actor and joins its thread.
  ~FleetActor();

  void Post(fleet_message::Any message);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rudderloom

#endif
