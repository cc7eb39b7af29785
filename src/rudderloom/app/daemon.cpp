#include "rudderloom/app/daemon.hpp"

#include <algorithm>  // for min
#include <atomic>     // for atomic
#include <csignal>    // for SIGTERM, SIGHUP
#include <future>     // for promise
#include <iostream>   // for cout
#include <random>     // for random_device
#include <thread>     // for thread

#include "app/wait.hpp"                             // for BlockFor
#include "rudderloom/base/log_line.hpp"             // for LogLine
#include "rudderloom/callers/frontend.hpp"          // for Frontend
#include "rudderloom/control/control_actor.hpp"     // for ControlActor
#include "rudderloom/control/control_shell.hpp"     // for ControlShell
#include "rudderloom/http/destroyable_context.hpp"  // for DestroyableContext
#include "rudderloom/peers/node_server.hpp"         // for NodeServer

namespace rudderloom {

namespace {

// Time at the end of a stop to answer interrupted calls and to store the outcomes of claimed ones:
// at most a quarter of the stop time.
constexpr Duration kMaxFinalTime{1'000};
constexpr int kFinalTimeDivisor = 4;
// Parts of the final time: to close connections, and for the process to exit.
constexpr int kCloseTimeDivisor = 4;
constexpr int kExitTimeDivisor = 8;
// Time after the notice to read the calls that arrived within it.
constexpr Duration kLastCallsTime{50};

std::string NewIncarnation(const std::string& name) {
  std::random_device device;
  constexpr unsigned kHalfBits = 32;
  const std::uint64_t number = (static_cast<std::uint64_t>(device()) << kHalfBits) | device();
  return name + "-" + std::to_string(number);
}

// Counts the calls to the platform and their bytes, for the stores of both threads.
CallObserver CountPlatformCalls(Metrics& metrics) {
  return [&metrics](std::string_view verb, std::string_view kind, std::size_t bytes) {
    const std::string call = std::string(verb) + " " + std::string(kind);
    if (verb != "watch_bytes") {
      metrics.Count({"rudderloom_platform_calls_total", "call", call});
    }
    metrics.Count({"rudderloom_control_bytes_total", "with", "platform"}, bytes);
  };
}

// Owns the components of one entry node; the members are declared in construction order.
class Daemon {
 public:
  explicit Daemon(const Settings& settings)
      : settings_(settings),
        incarnation_(NewIncarnation(settings.name)),
        control_work_(asio::make_work_guard(control_context_)),
        traffic_work_(asio::make_work_guard(traffic_context_)),
        node_server_(settings.peers, settings.membership, contact_, metrics_),
        control_store_(MakeStore(control_context_)),
        traffic_store_(MakeStore(traffic_context_)),
        changer_(control_context_,
                 *control_store_,
                 [this](ConfigurationPtr accepted) {
                   actor_->Post(message::ConfigurationSeen{std::move(accepted)});
                 }),
        shell_(control_context_,
               settings,
               incarnation_,
               node_server_.Address(),
               *control_store_,
               contact_,
               metrics_,
               [this](message::Any any) { actor_->Post(std::move(any)); }),
        front_(traffic_context_,
               settings_,
               incarnation_,
               *traffic_store_,
               contact_,
               metrics_,
               {[this](message::Any any) { actor_->Post(std::move(any)); }}) {}

  int Run() {
    contact_.RecordContact(Now());
    actor_ = std::make_unique<ControlActor>(settings_, incarnation_, node_server_.Address(),
                                            MakeSinks());
    const std::string callers = front_.Start();
    shell_.Start();
    node_server_.Start({[this](message::Any any) { actor_->Post(std::move(any)); },
                        [this](ChangeRequest request, std::function<void(ChangeResult)> done) {
                          Change(std::move(request), std::move(done));
                        }});
    std::thread control([this] { control_context_.run(); });
    std::thread traffic([this] { traffic_context_.run(); });
    LogLine("started")
        .With("node", settings_.name)
        .With("incarnation", incarnation_)
        .With("callers", callers)
        .With("peers", node_server_.Address());
    std::cout << "ready callers=" << callers << " peers=" << node_server_.Address() << std::endl;
    WaitForSignal();
    const bool clean = Stop();
    // Everything that posts to the actor must stop before the actor is destroyed.
    control_context_.stop();
    traffic_context_.stop();
    control.join();
    traffic.join();
    node_server_.Stop();
    control_context_.DestroyCoroutines();
    traffic_context_.DestroyCoroutines();
    actor_.reset();
    LogLine("stopped").With("node", settings_.name).With("clean", clean ? "yes" : "no");
    return clean ? 0 : 1;
  }

 private:
  std::unique_ptr<ObjectStore> MakeStore(asio::io_context& context) {
    return MakeHttpObjectStore(context, settings_.platform.address, settings_.platform.call_time,
                               settings_.platform.watch_time, CountPlatformCalls(metrics_));
  }

  ControlSinks MakeSinks() {
    ControlSinks sinks;
    sinks.effects = [this](PoolEffects effects) { shell_.Execute(std::move(effects)); };
    sinks.snapshot = [this](SnapshotPtr snapshot) {
      metrics_.Set({"rudderloom_generation"},
                   static_cast<double>(snapshot->configuration->generation));
      metrics_.Set({"rudderloom_live_nodes"}, snapshot->live_nodes);
      for (const auto& [name, set] : snapshot->models) {
        metrics_.Set({"rudderloom_serving_endpoints", "model", name},
                     static_cast<double>(set.endpoints.size()));
      }
      front_.UpdateSnapshot(std::move(snapshot));
    };
    sinks.report = [this](std::shared_ptr<const NodeReport> report) {
      released_.store(report->released);
      metrics_.Set({"rudderloom_held_leases"}, static_cast<double>(report->held_pools.size()));
      shell_.UpdateReport(report);
      node_server_.UpdateReport(std::move(report));
    };
    sinks.cpu_seconds = [this](double seconds) {
      metrics_.Set({"rudderloom_control_cpu_seconds"}, seconds);
    };
    return sinks;
  }

  void Change(ChangeRequest request, std::function<void(ChangeResult)> done) {
    ++changes_in_progress_;
    asio::co_spawn(
        control_context_,
        [this, request = std::move(request), done = std::move(done)]() mutable -> Awaitable<void> {
          ChangeResult result = co_await changer_.Make(std::move(request));
          done(std::move(result));
          --changes_in_progress_;
        },
        asio::detached);
  }

  void WaitForSignal() {
    stop_signals_.async_wait([](boost::system::error_code, int) {});
    signal_context_.run();
  }

  struct Unfinished {
    std::size_t calls = 0;
    std::size_t claims = 0;  // outcomes that are not stored yet
    std::size_t connections = 0;
  };

  Unfinished CountUnfinished() {
    std::promise<Unfinished> counted;
    asio::post(traffic_context_, [&] {
      counted.set_value({front_.Active(), front_.UnstoredClaims(), front_.Connections()});
    });
    return counted.get_future().get();
  }

  // Announces the stop to the load balancer and the peers, releases the leases and drains requests
  // in flight. Interrupts those that are still unfinished shortly before the deadline, and returns
  // false if there were any, or if an outcome could not be stored.
  bool Stop() {
    LogLine("stopping").With("node", settings_.name);
    const Duration final_time = std::min(kMaxFinalTime, settings_.stop_time / kFinalTimeDivisor);
    const TimePoint exit_by = Now() + settings_.stop_notice + settings_.stop_time;
    const TimePoint interrupt_at = exit_by - final_time;
    const TimePoint deadline = exit_by - final_time / kExitTimeDivisor;
    const TimePoint close_at = deadline - final_time / kCloseTimeDivisor;
    asio::post(traffic_context_, [this, interrupt_at] { front_.BeginStop(interrupt_at); });
    actor_->Post(message::StopRequested{});
    BlockFor(settings_.stop_notice);
    asio::post(traffic_context_, [this] { front_.StopListening(); });
    BlockFor(kLastCallsTime);
    asio::post(traffic_context_, [this] { front_.RefuseCalls(); });
    BlockUntil(interrupt_at, [this] {
      const Unfinished unfinished = CountUnfinished();
      return unfinished.calls + unfinished.claims + changes_in_progress_ == 0 && released_.load();
    });
    const std::size_t interrupted = CountUnfinished().calls;
    LogLine("ending_stop").With("node", settings_.name).With("interrupted_calls", interrupted);
    asio::post(traffic_context_, [this] { front_.InterruptCalls(); });
    Unregister();
    Unfinished unfinished;
    BlockUntil(close_at, [&] {
      unfinished = CountUnfinished();
      return unfinished.calls + unfinished.claims == 0 && unregistered_.load();
    });
    // Closed last, so that calls on kept connections are refused until then.
    asio::post(traffic_context_, [this] { front_.Close(); });
    BlockUntil(deadline, [&] {
      unfinished = CountUnfinished();
      return unfinished.calls + unfinished.claims + unfinished.connections == 0;
    });
    return interrupted + unfinished.claims == 0;
  }

  void Unregister() {
    asio::co_spawn(control_context_, shell_.Unregister(),
                   [this](const std::exception_ptr&) { unregistered_.store(true); });
  }

  const Settings settings_;
  const std::string incarnation_;
  // Registered for the lifetime of the daemon, so that a second signal does not kill it during
  // the stop.
  asio::io_context signal_context_;
  asio::signal_set stop_signals_{signal_context_, SIGTERM, SIGINT};
  // Settings are read only at the start; unhandled, the signal would kill the process.
  asio::signal_set ignored_signals_{signal_context_, SIGHUP};
  Metrics metrics_;
  ContactMonitor contact_;
  DestroyableContext control_context_{1};
  DestroyableContext traffic_context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> control_work_;
  asio::executor_work_guard<asio::io_context::executor_type> traffic_work_;
  std::atomic<bool> released_{false};
  std::atomic<bool> unregistered_{false};
  std::atomic<std::size_t> changes_in_progress_{0};
  std::unique_ptr<ControlActor> actor_;
  NodeServer node_server_;
  std::unique_ptr<ObjectStore> control_store_;
  std::unique_ptr<ObjectStore> traffic_store_;
  ConfigurationChanger changer_;
  ControlShell shell_;
  Frontend front_;
};

}  // namespace

int RunDaemon(const Settings& settings) {
  Daemon daemon(settings);
  return daemon.Run();
}

}  // namespace rudderloom
