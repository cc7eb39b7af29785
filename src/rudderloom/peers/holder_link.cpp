#include "rudderloom/peers/holder_link.hpp"

#include <capnp/ez-rpc.h>  // for EzRpcServer
#include <kj/async-io.h>   // for AsyncIoProvider
#include <kj/timer.h>      // for Timer
#include <future>          // for promise
#include <map>             // for map
#include <mutex>           // for mutex
#include <optional>        // for optional
#include <thread>          // for thread
#include <variant>         // for variant
#include <vector>          // for vector

#include "peers/fleet_codec.hpp"         // for Write, Read
#include "peers/peer_connection.hpp"     // for ConnectToPeer
#include "peers/versions_codec.hpp"      // for Write, Read
#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

// The caller waits for this call. Between two availability zones it takes about 5 ms.
constexpr Duration kCallTimeout{150};
// A grant that comes after the caller has gone on is returned, see `QuotaGrant`. A holder with an
// eighth of its CPU answers within this time.
constexpr Duration kSpendCallTimeout{2'000};
// Calls go to the holder and its standbys; others have been one of them before.
constexpr std::size_t kMaxCallConnections = 16;

using WakeFulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

kj::Duration ToKj(Duration duration) {
  return duration.count() * kj::MILLISECONDS;
}

}  // namespace

// Counts to be sent to a node.
struct OutgoingReport {
  std::string to;  // address
  NodeCounts counts;
};

// A call that waits for the answer of another node.
template <class Parameters, class Callback>
struct PendingCall {
  Parameters parameters;
  Callback done;
};
using PendingSpend = PendingCall<SpendRequest, SpendCallback>;
using PendingPermit = PendingCall<PermitRequest, PermitCallback>;
using PendingStreamQuery = PendingCall<StreamQuery, StreamQueryCallback>;
using PendingConfirmation = PendingCall<StartsToConfirm, ConfirmationCallback>;
struct OutgoingCall {
  std::string to;  // address
  std::variant<PendingSpend,
               PendingPermit,
               PendingStreamQuery,
               PendingConfirmation,
               SlotReport,
               StreamStarts>
      pending;
};

// State shared by the owner and the event loop thread.
struct HolderLink::Impl {
  std::string address;
  Duration answer_limit;
  HolderLinkHooks hooks;

  std::mutex mutex;  // guards the members below, up to `wake`
  std::optional<OutgoingReport> next_report;
  std::vector<OutgoingCall> calls;
  bool report_in_flight = false;
  bool stopping = false;
  kj::Maybe<WakeFulfiller> wake;

  std::promise<unsigned> listening;  // set to the bound port
  std::promise<void> started;
  bool start_called = false;  // Start was called
  std::thread thread;

  // Wakes the event loop if it is waiting.
  void WakeLoop() {
    KJ_IF_MAYBE (fulfiller, wake) {
      (*fulfiller)->fulfill();
      wake = nullptr;
    }
  }
};

namespace {

// Logs the number and size of the responses to other nodes, which grow with the fleet.
class ResponseLog {
 public:
  void Record(std::size_t bytes) {
    ++responses_;
    bytes_ += bytes;
    const TimePoint now = Now();
    if (now - logged_at_ < kLogInterval) {
      return;
    }
    LogLine("nodes_answered")
        .With("answers", responses_)
        .With("bytes", bytes_)
        .With("ms", logged_at_ == TimePoint() ? 0 : Between(logged_at_, now).count());
    logged_at_ = now;
    responses_ = 0;
    bytes_ = 0;
  }

 private:
  static constexpr Duration kLogInterval{1'000};

  std::size_t responses_ = 0;
  std::size_t bytes_ = 0;
  TimePoint logged_at_;
};

// Serves the calls of other nodes.
class PlacementService final : public rpc::PlacementHolder::Server {
 public:
  explicit PlacementService(const HolderLinkHooks& hooks) : hooks_(hooks) {}

  kj::Promise<void> report(ReportContext context) override {
    NodeCounts counts = Read(context.getParams().getCounts());
    const HolderDigest digest = hooks_.digest_for(counts);
    hooks_.on_counts(std::move(counts));
    Write(digest, context.getResults().initDigest());
    if (digest.is_authoritative) {
      log_.Record(context.getResults().totalSize().wordCount * sizeof(capnp::word));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> spend(SpendContext context) override {
    const SpendRequest ask{context.getParams().getCustomer(), context.getParams().getAmount()};
    Write(hooks_.on_spend(ask), context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> permit(PermitContext context) override {
    Write(hooks_.on_permit(Read(context.getParams())), context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> streamsBegin(StreamsBeginContext context) override {
    const bool confirmed = hooks_.on_streams_begin(Read(context.getParams()));
    context.getResults().setConfirmed(confirmed);
    return kj::READY_NOW;
  }

  kj::Promise<void> streamVersion(StreamVersionContext context) override {
    Write(hooks_.stream_version(Read(context.getParams())), context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> slotUsed(SlotUsedContext context) override {
    hooks_.on_slot_report(Read(context.getParams()));
    return kj::READY_NOW;
  }

 private:
  const HolderLinkHooks& hooks_;
  ResponseLog log_;
};

// Sends this node's reports, one at a time, and its calls to other nodes.
template <class Impl>
class Reporter final : public kj::TaskSet::ErrorHandler {
 public:
  Reporter(Impl& impl, kj::AsyncIoProvider& provider)
      : impl_(impl), timer_(provider.getTimer()), network_(provider.getNetwork()), tasks_(*this) {}

  // Runs until the link is stopped.
  kj::Promise<void> Loop() {
    return WaitForWork().then([this]() -> kj::Promise<void> {
      std::optional<OutgoingReport> report;
      std::vector<OutgoingCall> calls;
      {
        const std::lock_guard lock(impl_.mutex);
        if (impl_.stopping) {
          return kj::READY_NOW;
        }
        calls.swap(impl_.calls);
        if (!impl_.report_in_flight) {
          report.swap(impl_.next_report);
          impl_.report_in_flight = report.has_value();
        }
      }
      if (report) {
        tasks_.add(Report(report->to, report->counts));
      }
      for (OutgoingCall& call : calls) {
        std::visit([&](auto& pending) { tasks_.add(Ask(call.to, std::move(pending))); },
                   call.pending);
      }
      return Loop();
    });
  }

  void taskFailed(kj::Exception&& error) override {
    LogLine("report_task_failed", Severity::kWarning).With("error", error.getDescription().cStr());
  }

 private:
  // Completes when there are calls to send, or a report to send and none in flight.
  kj::Promise<void> WaitForWork() {
    const std::lock_guard lock(impl_.mutex);
    if (impl_.stopping || !impl_.calls.empty() || (impl_.next_report && !impl_.report_in_flight)) {
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    impl_.wake = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }

  void ReportFinished() {
    const std::lock_guard lock(impl_.mutex);
    impl_.report_in_flight = false;
    impl_.WakeLoop();
  }

  kj::Promise<void> Report(const std::string& address, const NodeCounts& counts) {
    return timer_.timeoutAfter(ToKj(impl_.answer_limit), ConnectAndReport(address, counts))
        .then([this]() { ReportFinished(); },
              [this, address, number = counts.report_number](kj::Exception&&) {
                report_connection_.reset();
                ReportFinished();
                impl_.hooks.on_failure(address, number);
              });
  }

  kj::Promise<void> ConnectAndReport(const std::string& address, const NodeCounts& counts) {
    if (report_connection_ && report_address_ == address) {
      return Exchange(report_connection_, address, counts);
    }
    report_connection_.reset();
    return ConnectToPeer(network_, address)
        .then([this, address, counts](std::shared_ptr<PeerConnection>&& connection) {
          report_connection_ = connection;
          report_address_ = address;
          return Exchange(connection, address, counts);
        });
  }

  kj::Promise<void> Exchange(std::shared_ptr<PeerConnection> connection,
                             const std::string& address,
                             const NodeCounts& counts) {
    auto holder = connection->main.castAs<rpc::PlacementHolder>();
    auto request = holder.reportRequest();
    Write(counts, request.initCounts());
    return request.send()
        .then([this, address, number = counts.report_number, sent_at = Now()](auto&& response) {
          HolderDigest digest = Read(response.getDigest());
          // The response may have been built right after the request was sent.
          AddTransitTime(digest, Between(sent_at, Now()));
          impl_.hooks.on_digest(std::move(digest), address, number);
        })
        .attach(kj::mv(connection));
  }

  static Duration TimeoutOf(const PendingSpend&) { return kSpendCallTimeout; }

  template <class Pending>
  static Duration TimeoutOf(const Pending&) {
    return kCallTimeout;
  }

  template <class Pending>
  kj::Promise<void> Ask(const std::string& to, Pending pending) {
    auto shared_call = std::make_shared<Pending>(std::move(pending));
    return timer_
        .timeoutAfter(ToKj(TimeoutOf(*shared_call)), ConnectAndCall(to, shared_call->parameters))
        .then([shared_call](auto&& answer) { shared_call->done(answer); },
              [this, to, shared_call](kj::Exception&&) {
                call_connections_.erase(to);
                shared_call->done(std::nullopt);
              });
  }

  // A lost report only keeps the grant for its lifetime.
  kj::Promise<void> Ask(const std::string& to, SlotReport report) {
    return Tell(to, [report](rpc::PlacementHolder::Client granter) {
      auto request = granter.slotUsedRequest();
      Write(report, request);
      return request.send().ignoreResult();
    });
  }

  // Streams of a lost report can't be taken up at other nodes.
  kj::Promise<void> Ask(const std::string& to, StreamStarts starts) {
    return Tell(to, [starts = std::move(starts)](rpc::PlacementHolder::Client node) {
      auto request = node.streamsBeginRequest();
      Write({starts, ""}, request);
      return request.send().ignoreResult();
    });
  }

  template <class Send>
  kj::Promise<void> Tell(const std::string& to, Send send) {
    auto sent = CallConnection(to).then(
        [send = std::move(send)](std::shared_ptr<PeerConnection>&& connection) {
          auto told = send(connection->main.castAs<rpc::PlacementHolder>());
          return told.attach(kj::mv(connection));
        });
    return timer_.timeoutAfter(ToKj(kCallTimeout), kj::mv(sent))
        .then([]() {}, [this, to](kj::Exception&&) { call_connections_.erase(to); });
  }

  template <class Parameters>
  auto ConnectAndCall(const std::string& to, const Parameters& parameters) {
    return CallConnection(to).then([parameters](std::shared_ptr<PeerConnection>&& connection) {
      auto answer = Call(connection->main.castAs<rpc::PlacementHolder>(), parameters);
      return answer.attach(kj::mv(connection));
    });
  }

  static kj::Promise<SpendAnswer> Call(rpc::PlacementHolder::Client holder,
                                       const SpendRequest& ask) {
    auto request = holder.spendRequest();
    request.setCustomer(ask.customer);
    request.setAmount(ask.amount);
    return request.send().then([](auto&& response) { return Read(response); });
  }

  static kj::Promise<PermitAnswer> Call(rpc::PlacementHolder::Client granter,
                                        const PermitRequest& ask) {
    auto request = granter.permitRequest();
    Write(ask, request);
    return request.send().then([](auto&& response) { return Read(response); });
  }

  static kj::Promise<StreamAnswer> Call(rpc::PlacementHolder::Client node,
                                        const StreamQuery& query) {
    auto request = node.streamVersionRequest();
    Write(query, request);
    return request.send().then([](auto&& response) { return Read(response); });
  }

  static kj::Promise<bool> Call(rpc::PlacementHolder::Client holder,
                                const StartsToConfirm& starts) {
    auto request = holder.streamsBeginRequest();
    Write(starts, request);
    return request.send().then([](auto&& response) { return response.getConfirmed(); });
  }

  // Calls to one node share a connection. Reports use a separate one, because they may go to a
  // relay.
  kj::Promise<std::shared_ptr<PeerConnection>> CallConnection(const std::string& to) {
    auto found = call_connections_.find(to);
    if (found == call_connections_.end()) {
      if (call_connections_.size() >= kMaxCallConnections) {
        call_connections_.clear();
      }
      found = call_connections_.emplace(to, ConnectToPeer(network_, to).fork()).first;
    }
    return found->second.addBranch();
  }

  Impl& impl_;
  kj::Timer& timer_;
  kj::Network& network_;
  std::shared_ptr<PeerConnection> report_connection_;
  std::string report_address_;
  std::map<std::string, kj::ForkedPromise<std::shared_ptr<PeerConnection>>> call_connections_;
  kj::TaskSet tasks_;
};

// Main function of the event loop thread.
template <class Impl>
void RunEventLoop(Impl& impl) {
  capnp::EzRpcServer server(kj::heap<PlacementService>(impl.hooks), impl.address);
  auto& wait_scope = server.getWaitScope();
  impl.listening.set_value(server.getPort().wait(wait_scope));
  impl.started.get_future().wait();
  Reporter<Impl> reporter(impl, server.getIoProvider());
  reporter.Loop().wait(wait_scope);
}

}  // namespace

HolderLink::HolderLink(const std::string& address, Duration answer_limit)
    : impl_(std::make_shared<Impl>()) {
  impl_->address = address;
  impl_->answer_limit = answer_limit;
  auto listening = impl_->listening.get_future();
  impl_->thread = std::thread([impl = impl_] {
    try {
      RunEventLoop(*impl);
    } catch (const kj::Exception& error) {
      LogLine("holder_link_failed", Severity::kError).With("error", error.getDescription().cStr());
      try {
        impl->listening.set_exception(
            std::make_exception_ptr(std::runtime_error(error.getDescription().cStr())));
      } catch (const std::future_error&) {
        // The port was set already, so the constructor has returned.
      }
    }
  });
  try {
    address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(listening.get());
    impl_->address = address_;
  } catch (...) {
    impl_->thread.join();
    throw;
  }
}

HolderLink::~HolderLink() {
  Stop();
}

void HolderLink::Start(HolderLinkHooks hooks) {
  impl_->hooks = std::move(hooks);
  impl_->start_called = true;
  impl_->started.set_value();
}

void HolderLink::Report(const std::string& to, NodeCounts counts) {
  const std::lock_guard lock(impl_->mutex);
  if (impl_->next_report) {
    MergeUnreported(impl_->next_report->counts, counts);
  }
  impl_->next_report = OutgoingReport{to, std::move(counts)};
  impl_->WakeLoop();
}

void HolderLink::Ask(const std::string& holder, const SpendRequest& ask, SpendCallback done) {
  const std::lock_guard lock(impl_->mutex);
  impl_->calls.push_back({holder, PendingSpend{ask, std::move(done)}});
  impl_->WakeLoop();
}

void HolderLink::Ask(const std::string& granter, const PermitRequest& ask, PermitCallback done) {
  const std::lock_guard lock(impl_->mutex);
  impl_->calls.push_back({granter, PendingPermit{ask, std::move(done)}});
  impl_->WakeLoop();
}

void HolderLink::Tell(const std::string& granter, const SlotReport& report) {
  const std::lock_guard lock(impl_->mutex);
  impl_->calls.push_back({granter, report});
  impl_->WakeLoop();
}

void HolderLink::Tell(const std::string& node, const StreamStarts& starts) {
  const std::lock_guard lock(impl_->mutex);
  impl_->calls.push_back({node, starts});
  impl_->WakeLoop();
}

void HolderLink::Ask(const std::string& node, const StreamQuery& query, StreamQueryCallback done) {
  const std::lock_guard lock(impl_->mutex);
  impl_->calls.push_back({node, PendingStreamQuery{query, std::move(done)}});
  impl_->WakeLoop();
}

void HolderLink::Ask(const std::string& node,
                     const StartsToConfirm& starts,
                     ConfirmationCallback done) {
  const std::lock_guard lock(impl_->mutex);
  impl_->calls.push_back({node, PendingConfirmation{starts, std::move(done)}});
  impl_->WakeLoop();
}

void HolderLink::Stop() {
  if (!impl_->thread.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
    impl_->WakeLoop();
  }
  if (!impl_->start_called) {
    impl_->started.set_value();
  }
  impl_->thread.join();
  // Callbacks of unsent calls may own objects that must not outlive Stop.
  impl_->calls.clear();
}

}  // namespace rudderloom
