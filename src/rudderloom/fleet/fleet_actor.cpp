#include "rudderloom/fleet/fleet_actor.hpp"

#include <caf/actor_system.hpp>         // for actor_system
#include <caf/actor_system_config.hpp>  // for actor_system_config
#include <caf/event_based_actor.hpp>    // for event_based_actor
#include <caf/send.hpp>                 // for anon_send

#include "rudderloom/fleet/counts_inbox.hpp"  // for CountsInbox

namespace rudderloom {

namespace {

// Notifies the actor that counts of other nodes are waiting in the inbox.
struct InboxFilled {};

}  // namespace

}  // namespace rudderloom

// Messages never leave the process, so they are never serialized.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rudderloom::fleet_message::Any)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rudderloom::InboxFilled)

namespace rudderloom {

namespace {

struct StateOwner {
  FleetState state;
  std::function<void(FleetEffects)> sink;
  CountsInbox inbox;

  StateOwner(FleetState initial, std::function<void(FleetEffects)> effects_sink)
      : state(std::move(initial)), sink(std::move(effects_sink)) {}

  void Handle(const fleet_message::Any& message) { sink(state.Handle(message, Now())); }
};

caf::behavior MakeBehavior(caf::event_based_actor*, const std::shared_ptr<StateOwner>& owner) {
  return {[owner](const fleet_message::Any& message) { owner->Handle(message); },
          [owner](InboxFilled) {
            for (NodeCounts& counts : owner->inbox.TakeAll()) {
              owner->Handle(fleet_message::PeerCountsReceived{std::move(counts)});
            }
          }};
}

// The control state has its own thread, so CAF's scheduler needs only one.
caf::actor_system_config& Config() {
  static caf::actor_system_config config;
  config.set("scheduler.max-threads", 1);
  return config;
}

}  // namespace

struct FleetActor::Impl {
  explicit Impl(std::shared_ptr<StateOwner> state_owner)
      : owner(std::move(state_owner)),
        system(Config()),
        actor(system.spawn<caf::detached>(MakeBehavior, owner)) {}

  std::shared_ptr<StateOwner> owner;
  caf::actor_system system;
  caf::actor actor;
};

FleetActor::FleetActor(FleetSettings settings,
                       std::string incarnation,
                       std::function<void(FleetEffects)> sink)
    : impl_(std::make_unique<Impl>(
          std::make_shared<StateOwner>(FleetState(std::move(settings), std::move(incarnation)),
                                       std::move(sink)))) {}

FleetActor::~FleetActor() {
  caf::anon_send_exit(impl_->actor, caf::exit_reason::user_shutdown);
}

void FleetActor::Post(fleet_message::Any message) {
  auto* counted = std::get_if<fleet_message::PeerCountsReceived>(&message);
  if (counted == nullptr) {
    caf::anon_send(impl_->actor, std::move(message));
    return;
  }
  if (impl_->owner->inbox.Put(std::move(counted->counts))) {
    caf::anon_send(impl_->actor, InboxFilled{});
  }
}

}  // namespace rudderloom
