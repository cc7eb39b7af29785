#include "rudderloom/app/fleet_daemon.hpp"

#include <atomic>    // for atomic
#include <csignal>   // for SIGTERM, SIGHUP
#include <future>    // for promise
#include <iostream>  // for cout
#include <mutex>     // for mutex
#include <random>    // for random_device
#include <thread>    // for thread

#include "app/wait.hpp"                                // for BlockFor
#include "platform/dialect.hpp"                        // for MakeDialect
#include "platform/formats.hpp"                        // for MakeFormats
#include "platform/store.hpp"                          // for MakeStore
#include "rudderloom/base/log_line.hpp"                // for LogLine
#include "rudderloom/fleet/fleet_actor.hpp"            // for FleetActor
#include "rudderloom/fleet/fleet_shell.hpp"            // for FleetShell
#include "rudderloom/forwarding/frontend.hpp"          // for FleetFrontend
#include "rudderloom/http/destroyable_context.hpp"     // for DestroyableContext
#include "rudderloom/peers/holder_link.hpp"            // for HolderLink
#include "rudderloom/settings/settings.hpp"            // for ReadFile
#include "rudderloom/store/store_call_log.hpp"         // for StoreCallLog
#include "rudderloom/stream_versions/start_saver.hpp"  // for StartSaver

namespace rudderloom {

namespace {

// The load balancer probes readiness every second and removes a node after two failed probes.
constexpr Duration kStopNotice{2'600};
constexpr Duration kReportTimeout{600};
// Time reserved before the platform kills the process at the end of the grace period.
constexpr Duration kGraceMargin{700};
// Time to send the responses to interrupted requests.
constexpr Duration kFinalResponseMargin{150};

class FleetDaemon {
 public:
  FleetDaemon(const FleetSettings& settings, std::string settings_file)
      : link_(settings.listen.peers, kReportTimeout),
        settings_(WithPeersAddress(settings, link_.Address())),
        settings_file_(std::move(settings_file)),
        dialect_(platform::MakeDialect()),
        control_work_(asio::make_work_guard(control_context_)),
        traffic_work_(asio::make_work_guard(traffic_context_)),
        grants_(settings.bounds.quota),
        store_(platform::MakeStore(control_context_,
                                   settings.store_address,
                                   settings.store_call_time,
                                   settings.store_watch_time,
                                   CountStoreCalls())),
        front_(
            traffic_context_,
            settings_,
            *dialect_,
            metrics_,
            [this](NodeCounts counts) {
              actor_->Post(fleet_message::NodeSampled{std::move(counts)});
            },
            MakePeerCalls()),
        shell_(control_context_,
               settings_,
               platform::MakeFormats(),
               *store_,
               metrics_,
               [this](fleet_message::Any any) { actor_->Post(std::move(any)); }),
        start_saver_(control_context_,
                     *store_,
                     platform::MakeFormats().stream_start_kind,
                     stream_starts_,
                     metrics_) {}

  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  // Also after a failed start, the link's thread and suspended coroutines must end before the
  // members that they refer to are destroyed.
  ~FleetDaemon() {
    link_.Stop();
    control_context_.DestroyCoroutines();
    traffic_context_.DestroyCoroutines();
  }

  int Run() {
    actor_ = std::make_unique<FleetActor>(
        settings_, NewIncarnation(), [this](FleetEffects effects) { Execute(std::move(effects)); });
    link_.Start(LinkHooks());
    const FleetListeners listen = front_.Start();
    shell_.Start();
    start_saver_.Start();
    std::thread control([this] { control_context_.run(); });
    std::thread traffic([this] { traffic_context_.run(); });
    LogLine("started")
        .With("node", settings_.name)
        .With("availability_zone", settings_.availability_zone)
        .With("version", RUDDERLOOM_VERSION)
        .With("callers", listen.callers)
        .With("peers", listen.peers);
    std::cout << "ready callers=" << listen.callers << " readiness=" << listen.readiness
              << " peers=" << listen.peers << " metrics=" << listen.metrics
              << " gateway=" << listen.gateway << std::endl;
    ServeUntilStopped();
    const bool clean = Stop();
    // Everything that posts to the actor must stop before the actor is destroyed.
    control_context_.stop();
    traffic_context_.stop();
    control.join();
    traffic.join();
    link_.Stop();
    control_context_.DestroyCoroutines();
    traffic_context_.DestroyCoroutines();
    actor_.reset();
    LogLine("stopped").With("node", settings_.name).With("clean", clean ? "yes" : "no");
    return clean ? 0 : 1;
  }

 private:
  static FleetSettings WithPeersAddress(FleetSettings settings, const std::string& peers) {
    settings.listen.peers = peers;
    return settings;
  }

  static std::string NewIncarnation() {
    std::random_device device;
    constexpr unsigned kHalfBits = 32;
    return std::to_string((static_cast<std::uint64_t>(device()) << kHalfBits) | device());
  }

  // Far from the grants of earlier processes, on which reports may still arrive.
  static GrantId NewGrantSeries() {
    std::random_device device;
    constexpr unsigned kHalfBits = 32;
    return static_cast<GrantId>(device()) << kHalfBits;
  }

  // Dispatches the effects of the control state to the threads that carry them out.
  void Execute(FleetEffects effects) {
    if (effects.view) {
      asio::post(traffic_context_, [this, view = std::move(effects.view)]() mutable {
        front_.SetView(std::move(view));
      });
    }
    if (effects.versions) {
      stream_starts_.SetKnowledge(std::move(*effects.versions));
    }
    if (effects.statement) {
      const HolderDigest& digest = effects.statement->common;
      const bool own = digest.holder == settings_.listen.peers;
      metrics_.Set({"rudderloom_lease_held"}, digest.is_authoritative && own ? 1.0 : 0.0);
      metrics_.Set({"rudderloom_word_relayed"}, digest.is_authoritative && !own ? 1.0 : 0.0);
      const std::lock_guard lock(statement_mutex_);
      statement_ = std::move(effects.statement);
    }
    if (effects.followings) {
      metrics_.Set({"rudderloom_endpoints_from_holder"},
                   effects.followings->endpoints == FollowMode::kHolder ? 1.0 : 0.0);
      metrics_.Set({"rudderloom_configuration_from_holder"},
                   effects.followings->configuration == FollowMode::kHolder ? 1.0 : 0.0);
    }
    if (effects.report) {
      link_.Report(effects.report->to, std::move(effects.report->counts));
    }
    released_.store(effects.released);
    if (effects.lease_read || effects.lease_write || effects.read_routes || effects.followings ||
        !effects.placement.orders.empty() || !effects.placement.report_calls.empty()) {
      shell_.Execute(std::move(effects));
    }
  }

  PeerCalls MakePeerCalls() {
    PeerCalls peers;
    peers.ask_for_quota = [this](const std::string& holder, const SpendRequest& ask,
                                 SpendCallback done) {
      RequestSpend(holder, ask, std::move(done));
    };
    peers.ask_for_permit = [this](const std::string& granter, const PermitRequest& ask,
                                  PermitCallback done) {
      RequestPermit(granter, ask, std::move(done));
    };
    peers.report_permit = [this](const std::string& granter, const SlotReport& report) {
      ReportSlot(granter, report);
    };
    peers.report_streams = [this](const std::string& node, const StreamStarts& starts) {
      ReportStreams(node, starts);
    };
    peers.confirm_streams = [this](const std::string& holder, const StartsToConfirm& starts,
                                   ConfirmationCallback done) {
      ConfirmStreams(holder, starts, std::move(done));
    };
    peers.ask_stream_version = [this](const std::string& node, const StreamQuery& query,
                                      StreamQueryCallback done) {
      RequestStreamVersion(node, query, std::move(done));
    };
    peers.find_saved_stream = [this](const StreamQuery& query,
                                     std::function<void(StreamAnswer)> done) {
      asio::post(control_context_,
                 [this, query, done = std::move(done)] { start_saver_.Find(query, done); });
    };
    return peers;
  }

  HolderLinkHooks LinkHooks() {
    HolderLinkHooks hooks;
    hooks.on_counts = [this](NodeCounts counts) {
      actor_->Post(fleet_message::PeerCountsReceived{std::move(counts)});
    };
    hooks.digest_for = [this](const NodeCounts& asking) {
      std::shared_ptr<const DigestSource> statement;
      {
        const std::lock_guard lock(statement_mutex_);
        statement = statement_;
      }
      return statement ? DigestFor(*statement, asking, Now()) : HolderDigest();
    };
    hooks.on_digest = [this](HolderDigest digest, const std::string& from, std::uint64_t number) {
      actor_->Post(fleet_message::DigestReceived{std::move(digest), from, number});
    };
    hooks.on_spend = [this](const SpendRequest& ask) { return AnswerSpend(ask); };
    hooks.on_permit = [this](const PermitRequest& ask) { return AnswerPermit(ask); };
    hooks.on_slot_report = [this](const SlotReport& report) { RecordSlotReport(report); };
    hooks.on_streams_begin = [this](const StartsToConfirm& starts) {
      return stream_starts_.Confirm(starts, Now());
    };
    hooks.stream_version = [this](const StreamQuery& query) {
      return stream_starts_.Answer(query, Now());
    };
    hooks.on_failure = [this](const std::string& to, std::uint64_t number) {
      metrics_.Count({"rudderloom_holder_reports_failed_total"});
      actor_->Post(fleet_message::ReportFailed{to, number});
    };
    return hooks;
  }

  void RequestSpend(const std::string& holder, const SpendRequest& ask, SpendCallback done) {
    if (holder == settings_.listen.peers) {
      done(AnswerSpend(ask));
    } else {
      link_.Ask(holder, ask, std::move(done));
    }
  }

  // Decides whether a request may run, on this node or another one, if this node currently grants
  // quota: as the lease holder, or as a relay while there is no holder.
  SpendAnswer AnswerSpend(const SpendRequest& ask) {
    const std::lock_guard lock(statement_mutex_);
    if (!statement_ || !statement_->grants) {
      return {};
    }
    const SpendAnswer answer = grants_.Ask(ask, *statement_->grants, Now());
    if (answer.verdict == SpendVerdict::kGranted) {
      actor_->Post(fleet_message::RequestGranted{grants_.Last()});
    }
    metrics_.Count({"rudderloom_quota_asks_total", "verdict", NameOf(answer.verdict)});
    return answer;
  }

  void RequestPermit(const std::string& granter, const PermitRequest& ask, PermitCallback done) {
    if (granter == settings_.listen.peers) {
      done(AnswerPermit(ask));
    } else {
      link_.Ask(granter, ask, std::move(done));
    }
  }

  // Decides whether a request may be sent to an endpoint with a limit, if this node currently
  // issues permits: as the lease holder or as its deputy. By the work in flight any node decides.
  PermitAnswer AnswerPermit(const PermitRequest& ask) {
    const std::lock_guard lock(statement_mutex_);
    PermitAnswer answer;
    if (ask.in_flight) {
      answer = permits_.AskInFlight(ask.endpoint, *ask.in_flight, Now());
      metrics_.Count({"rudderloom_in_flight_asks_total", "verdict", NameOf(answer.verdict)});
      return answer;
    }
    if (ask.spacing) {
      answer = permits_.AskForTurn(ask.endpoint, *ask.spacing, Now());
      metrics_.Count({"rudderloom_turn_asks_total", "verdict", NameOf(answer.verdict)});
      return answer;
    }
    if (statement_ && statement_->permits) {
      answer = permits_.Ask(ask, *statement_->permits, Now());
    }
    metrics_.Count({"rudderloom_permit_asks_total", "verdict", NameOf(answer.verdict)});
    return answer;
  }

  void ReportSlot(const std::string& granter, const SlotReport& report) {
    if (granter == settings_.listen.peers) {
      RecordSlotReport(report);
    } else {
      link_.Tell(granter, report);
    }
  }

  void RecordSlotReport(const SlotReport& report) {
    const std::lock_guard lock(statement_mutex_);
    permits_.Report(report, Now());
  }

  void ReportStreams(const std::string& node, const StreamStarts& starts) {
    if (node == settings_.listen.peers) {
      stream_starts_.Record(starts, Now());
    } else {
      link_.Tell(node, starts);
    }
  }

  void ConfirmStreams(const std::string& holder,
                      const StartsToConfirm& starts,
                      ConfirmationCallback done) {
    if (holder == settings_.listen.peers) {
      done(stream_starts_.Confirm(starts, Now()));
    } else {
      link_.Ask(holder, starts, std::move(done));
    }
  }

  void RequestStreamVersion(const std::string& node,
                            const StreamQuery& query,
                            StreamQueryCallback done) {
    if (node == settings_.listen.peers) {
      StreamAnswer answer = stream_starts_.Answer(query, Now());
      answer.from_self = true;
      done(std::move(answer));
    } else {
      link_.Ask(node, query, std::move(done));
    }
  }

  CallObserver CountStoreCalls() {
    return [this](std::string_view verb, std::string_view kind, std::size_t bytes) {
      const std::string call = std::string(verb) + " " + std::string(kind);
      metrics_.Count({"rudderloom_platform_calls_total", "call", call});
      tally_.Count(verb, kind, Now());
      metrics_.Count({"rudderloom_control_bytes_total", "with", "platform"}, bytes);
    };
  }

  void ServeUntilStopped() {
    stop_signals_.async_wait([this](boost::system::error_code, int) { signal_context_.stop(); });
    ListenForReload();
    signal_context_.run();
  }

  void ListenForReload() {
    reload_signals_.async_wait([this](boost::system::error_code error, int) {
      if (!error) {
        Reload();
        ListenForReload();
      }
    });
  }

  // Validates the settings file again. Invalid settings are rejected and change nothing. Addresses
  // are fixed for the lifetime of the process.
  void Reload() {
    auto text = ReadFile(settings_file_);
    if (std::holds_alternative<JsonErrors>(text)) {
      RejectReload("the file can't be read");
      return;
    }
    auto read = ParseFleetSettings(std::get<std::string>(text));
    if (auto* errors = std::get_if<JsonErrors>(&read)) {
      RejectReload(errors->front().Text());
      return;
    }
    metrics_.Count({"rudderloom_reloads_total", "result", "ok"});
    LogLine("reloaded").With("node", std::get<FleetSettings>(read).name);
  }

  void RejectReload(const std::string& error) {
    metrics_.Count({"rudderloom_reloads_total", "result", "refused"});
    LogLine("reload_refused", Severity::kError).With("error", error);
  }

  struct Unfinished {
    std::uint64_t requests = 0;
    std::uint64_t connections = 0;
  };

  Unfinished CountUnfinished() {
    std::promise<Unfinished> counted;
    asio::post(traffic_context_, [&] {
      counted.set_value({front_.Active(), front_.Connections()});
    });
    return counted.get_future().get();
  }

  // Reports not ready, waits until the load balancer has noticed, and drains requests in flight.
  // Interrupts those still in flight shortly before the grace period ends, and returns false if
  // there were any.
  bool Stop() {
    LogLine("stopping").With("node", settings_.name);
    const TimePoint deadline = Now() + settings_.bounds.grace - kGraceMargin;
    const TimePoint interrupt_at = deadline - kFinalResponseMargin;
    asio::post(traffic_context_,
               [this, interrupt_at] { front_.BeginStop(interrupt_at - kFinalResponseMargin); });
    actor_->Post(fleet_message::StopRequested{});
    BlockFor(kStopNotice);
    asio::post(traffic_context_, [this] { front_.StopAccepting(); });
    BlockUntil(interrupt_at, [this] { return CountUnfinished().requests == 0; });
    const bool clean = CountUnfinished().requests == 0;
    asio::post(traffic_context_, [this] { front_.InterruptRequests(); });
    BlockUntil(deadline, [this] {
      const Unfinished unfinished = CountUnfinished();
      return unfinished.requests + unfinished.connections == 0;
    });
    return clean;
  }

  // Declared first: the address that it listens on identifies this node to the others.
  HolderLink link_;
  const FleetSettings settings_;
  const std::string settings_file_;
  Metrics metrics_;
  // Registered for the lifetime of the daemon, so that a signal during the start or the stop
  // does not kill the process.
  asio::io_context signal_context_;
  asio::signal_set stop_signals_{signal_context_, SIGTERM, SIGINT};
  asio::signal_set reload_signals_{signal_context_, SIGHUP};
  std::unique_ptr<HeaderCodec> dialect_;
  DestroyableContext control_context_{1};
  DestroyableContext traffic_context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> control_work_;
  asio::executor_work_guard<asio::io_context::executor_type> traffic_work_;
  std::mutex statement_mutex_;
  std::shared_ptr<const DigestSource> statement_;
  GrantBook grants_;                      // guarded by statement_mutex_
  PermitBook permits_{NewGrantSeries()};  // guarded by statement_mutex_
  KeptStarts stream_starts_;              // of all nodes
  std::atomic<bool> released_{false};
  std::unique_ptr<FleetActor> actor_;
  StoreCallLog tally_;  // used only on the control context's thread
  std::unique_ptr<ObjectStore> store_;
  FleetFrontend front_;
  FleetShell shell_;
  StartSaver start_saver_;
};

}  // namespace

int RunFleetDaemon(const FleetSettings& settings, const std::string& settings_file) {
  FleetDaemon daemon(settings, settings_file);
  return daemon.Run();
}

}  // namespace rudderloom
