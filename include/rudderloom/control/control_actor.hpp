/// @file
/// Runs the control state on its own thread, as a detached CAF actor.
#ifndef RUDDERLOOM_CONTROL_CONTROL_ACTOR_HPP
#define RUDDERLOOM_CONTROL_CONTROL_ACTOR_HPP

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "rudderloom/control/control_state.hpp"  // for ControlEffects
#include "rudderloom/control/messages.hpp"       // for message::Any

namespace rudderloom {

/// @brief Callbacks for the actor's output, called on the actor's thread.
/// @ingroup control
struct ControlSinks {
  std::function<void(PoolEffects)> effects;
  std::function<void(SnapshotPtr)> snapshot;
  std::function<void(std::shared_ptr<const NodeReport>)> report;
  std::function<void(double)> cpu_seconds;  ///< CPU time used by the control thread.
};

/// @brief Passes messages to the control state, one at a time. Post may be called from any thread.
/// @ingroup control
class ControlActor {
 public:
  ControlActor(Settings settings,
               std::string incarnation,
               std::string peers_address,
               ControlSinks sinks);
  ControlActor(const ControlActor&) = delete;
  ControlActor& operator=(const ControlActor&) = delete;
  /// @brief Stops the actor and waits for its thread.
  ~ControlActor();

  void Post(message::Any message);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rudderloom

#endif
