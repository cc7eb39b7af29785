#include "rudderloom/control/control_actor.hpp"

#include <caf/actor_system.hpp>         // for actor_system
#include <caf/actor_system_config.hpp>  // for actor_system_config
#include <caf/event_based_actor.hpp>    // for event_based_actor
#include <caf/send.hpp>                 // for anon_send
#include <ctime>                        // for clock_gettime

// Messages stay inside one process, so they are never serialized.
#define RUDDERLOOM_LOCAL_MESSAGE(name) CAF_ALLOW_UNSAFE_MESSAGE_TYPE(rudderloom::message::name)
RUDDERLOOM_LOCAL_MESSAGE(ConfigurationSeen)
RUDDERLOOM_LOCAL_MESSAGE(EndpointsListed)
RUDDERLOOM_LOCAL_MESSAGE(EndpointPut)
RUDDERLOOM_LOCAL_MESSAGE(EndpointRemoved)
RUDDERLOOM_LOCAL_MESSAGE(NodesListed)
RUDDERLOOM_LOCAL_MESSAGE(PoolSeen)
RUDDERLOOM_LOCAL_MESSAGE(PoolCallEnded)
RUDDERLOOM_LOCAL_MESSAGE(OrderEnded)
RUDDERLOOM_LOCAL_MESSAGE(EndpointPolled)
RUDDERLOOM_LOCAL_MESSAGE(PeerHeard)
RUDDERLOOM_LOCAL_MESSAGE(LeavingSaid)
RUDDERLOOM_LOCAL_MESSAGE(TrafficSampled)
RUDDERLOOM_LOCAL_MESSAGE(Tick)
RUDDERLOOM_LOCAL_MESSAGE(StopAsked)
#undef RUDDERLOOM_LOCAL_MESSAGE

namespace rudderloom {

namespace {

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNano = 1e-9;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * kNano;
}

// What the actor keeps between messages.
struct Keeper {
  ControlState state;
  ControlSinks sinks;
  Duration heartbeat;
  TimePoint reported_at;
  std::uint64_t generation = 0;  // of the newest snapshot

  template <class Message>
  void Handle(const Message& message) {
    const TimePoint now = Now();
    ControlEffects effects = state.Handle(message, now, UnixSeconds());
    if (!effects.pool.empty()) {
      sinks.effects(std::move(effects.pool));
    }
    bool changed = false;
    if (effects.snapshot) {
      changed = effects.snapshot->configuration->generation != generation;
      generation = effects.snapshot->configuration->generation;
      sinks.snapshot(std::move(effects.snapshot));
    }
    const bool due = now - reported_at >= heartbeat;
    if (due) {
      reported_at = now;
      sinks.cpu_seconds(ThreadCpuSeconds());
    }
    if (due || changed) {
      sinks.report(state.Report(now, due));
    }
  }

  template <class Message>
  auto Handler() {
    return [this](const Message& message) { Handle(message); };
  }
};

caf::behavior Behave(caf::event_based_actor*, const std::shared_ptr<Keeper>& keeper) {
  Keeper& k = *keeper;
  return {
      k.Handler<message::ConfigurationSeen>(),
      k.Handler<message::EndpointsListed>(),
      k.Handler<message::EndpointPut>(),
      k.Handler<message::EndpointRemoved>(),
      k.Handler<message::NodesListed>(),
      k.Handler<message::PoolSeen>(),
      k.Handler<message::PoolCallEnded>(),
      k.Handler<message::OrderEnded>(),
      k.Handler<message::EndpointPolled>(),
      k.Handler<message::PeerHeard>(),
      k.Handler<message::LeavingSaid>(),
      k.Handler<message::TrafficSampled>(),
      k.Handler<message::Tick>(),
      k.Handler<message::StopAsked>(),
  };
}

// The control state has a thread of its own, so CAF's scheduler needs no more than one.
caf::actor_system_config& Config() {
  static caf::actor_system_config config;
  config.set("scheduler.max-threads", 1);
  return config;
}

}  // namespace

struct ControlActor::Impl {
  explicit Impl(std::shared_ptr<Keeper> kept)
      : keeper(std::move(kept)),
        system(Config()),
        actor(system.spawn<caf::detached>(Behave, keeper)) {}

  std::shared_ptr<Keeper> keeper;
  caf::actor_system system;
  caf::actor actor;
};

ControlActor::ControlActor(Settings settings,
                           std::string incarnation,
                           std::string peers_address,
                           ControlSinks sinks) {
  const Duration heartbeat = settings.membership.heartbeat;
  auto keeper = std::make_shared<Keeper>(
      Keeper{ControlState(std::move(settings), std::move(incarnation), std::move(peers_address)),
             std::move(sinks), heartbeat, TimePoint(), 0});
  impl_ = std::make_unique<Impl>(std::move(keeper));
}

ControlActor::~ControlActor() {
  caf::anon_send_exit(impl_->actor, caf::exit_reason::user_shutdown);
}

void ControlActor::Post(message::Any message) {
  std::visit([this](auto& typed) { caf::anon_send(impl_->actor, std::move(typed)); }, message);
}

}  // namespace rudderloom
