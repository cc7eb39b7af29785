#include "rudderloom/control/control_actor.hpp"

#include <caf/actor_system.hpp>         // for actor_system
#include <caf/actor_system_config.hpp>  // for actor_system_config
#include <caf/event_based_actor.hpp>    // for event_based_actor
#include <caf/send.hpp>                 // for anon_send
#include <ctime>                        // for clock_gettime

// Messages stay within the process and are never serialized.
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
RUDDERLOOM_LOCAL_MESSAGE(HeartbeatReceived)
RUDDERLOOM_LOCAL_MESSAGE(EndpointAnnouncedLeaving)
RUDDERLOOM_LOCAL_MESSAGE(TrafficSampled)
RUDDERLOOM_LOCAL_MESSAGE(Tick)
RUDDERLOOM_LOCAL_MESSAGE(StopRequested)
#undef RUDDERLOOM_LOCAL_MESSAGE

namespace rudderloom {

namespace {

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNano = 1e-9;
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * kNano;
}

// State of the actor between messages.
struct ActorState {
  ControlState state;
  ControlSinks sinks;
  Duration heartbeat;
  TimePoint reported_at;
  std::uint64_t generation = 0;  // of the configuration in the latest snapshot

  template <class Message>
  void Handle(const Message& message) {
    const TimePoint now = Now();
    ControlEffects effects = state.Handle(message, now, UnixSeconds());
    if (!effects.pool.empty()) {
      sinks.effects(std::move(effects.pool));
    }
    bool configuration_changed = false;
    if (effects.snapshot) {
      configuration_changed = effects.snapshot->configuration->generation != generation;
      generation = effects.snapshot->configuration->generation;
      sinks.snapshot(std::move(effects.snapshot));
    }
    const bool heartbeat_due = now - reported_at >= heartbeat;
    if (heartbeat_due) {
      reported_at = now;
      sinks.cpu_seconds(ThreadCpuSeconds());
    }
    if (heartbeat_due || configuration_changed) {
      sinks.report(state.Report(now, heartbeat_due));
    }
  }

  template <class Message>
  auto Handler() {
    return [this](const Message& message) { Handle(message); };
  }
};

caf::behavior MakeBehavior(caf::event_based_actor*,
                           const std::shared_ptr<ActorState>& actor_state) {
  ActorState& k = *actor_state;
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
      k.Handler<message::HeartbeatReceived>(),
      k.Handler<message::EndpointAnnouncedLeaving>(),
      k.Handler<message::TrafficSampled>(),
      k.Handler<message::Tick>(),
      k.Handler<message::StopRequested>(),
  };
}

// The detached actor has its own thread, so one thread is enough for CAF's scheduler.
caf::actor_system_config& ActorSystemConfig() {
  static caf::actor_system_config config;
  config.set("scheduler.max-threads", 1);
  return config;
}

}  // namespace

struct ControlActor::Impl {
  explicit Impl(std::shared_ptr<ActorState> initial_state)
      : actor_state(std::move(initial_state)),
        system(ActorSystemConfig()),
        actor(system.spawn<caf::detached>(MakeBehavior, actor_state)) {}

  std::shared_ptr<ActorState> actor_state;
  caf::actor_system system;
  caf::actor actor;
};

ControlActor::ControlActor(Settings settings,
                           std::string incarnation,
                           std::string peers_address,
                           ControlSinks sinks) {
  const Duration heartbeat = settings.membership.heartbeat;
  auto actor_state = std::make_shared<ActorState>(ActorState{
      ControlState(std::move(settings), std::move(incarnation), std::move(peers_address)),
      std::move(sinks), heartbeat, TimePoint(), 0});
  impl_ = std::make_unique<Impl>(std::move(actor_state));
}

ControlActor::~ControlActor() {
  caf::anon_send_exit(impl_->actor, caf::exit_reason::user_shutdown);
}

void ControlActor::Post(message::Any message) {
  std::visit([this](auto& typed) { caf::anon_send(impl_->actor, std::move(typed)); }, message);
}

}  // namespace rudderloom
