/// @file
/// The one thread that owns the control state: a detached CAF actor behind a plain interface.
#ifndef RUDDERLOOM_CONTROL_CONTROL_ACTOR_HPP
#define RUDDERLOOM_CONTROL_CONTROL_ACTOR_HPP

#include <functional>  // for function
#include <memory>      // for unique_ptr
#include <string>      // for string

#include "rudderloom/control/control_state.hpp"  // for ControlEffects
#include "rudderloom/control/messages.hpp"       // for message::Any

namespace rudderloom {

/// @brief Where the actor's decisions go. All are called on the actor's thread.
/// @ingroup control
struct ControlSinks {
  std::function<void(PoolEffects)> effects;
  std::function<void(SnapshotPtr)> snapshot;
  std::function<void(std::shared_ptr<const NodeReport>)> report;
  std::function<void(double)> cpu_seconds;  ///< Of the control thread so far.
};

/// @brief Hands messages to the control state, one at a time. Post may be called from any thread.
/// @ingroup control
class ControlActor {
 public:
  ControlActor(Settings settings,
               std::string incarnation,
               std::string peers_address,
               ControlSinks sinks);
  ControlActor(const ControlActor&) = delete;
  ControlActor& operator=(const ControlActor&) = delete;
  /// @brief Ends the actor and waits for its thread.
  ~ControlActor();

  void Post(message::Any message);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rudderloom

#endif
