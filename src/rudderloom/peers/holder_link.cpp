#include "rudderloom/peers/holder_link.hpp"

#include <capnp/ez-rpc.h>  // for EzRpcServer
#include <kj/async-io.h>   // for AsyncIoProvider
#include <kj/timer.h>      // for Timer
#include <future>          // for promise
#include <mutex>           // for mutex
#include <optional>        // for optional
#include <thread>          // for thread
#include <variant>         // for variant
#include <vector>          // for vector

#include "peers/fleet_codec.hpp"         // for Write, Read
#include "peers/peer_connection.hpp"     // for ConnectToPeer
#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

// A caller waits meanwhile. Between two availability zones an answer takes some 5 ms.
constexpr Duration kAskLimit{150};

using WakeFulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

kj::Duration ToKj(Duration duration) {
  return duration.count() * kj::MILLISECONDS;
}

}  // namespace

// Counts on their way to a node.
struct OutgoingReport {
  std::string to;  // address
  NodeCounts counts;
};

// A request that waits for another node's answer.
template <class Question, class Callback>
struct PendingAsk {
  Question question;
  Callback done;
};
using PendingSpend = PendingAsk<SpendAsk, SpendCallback>;
using PendingPermit = PendingAsk<PermitAsk, PermitCallback>;
struct OutgoingAsk {
  std::string to;  // address
  std::variant<PendingSpend, PendingPermit> pending;
};

// Shared by the owner and the event loop's thread.
struct HolderLink::Impl {
  std::string address;
  Duration answer_limit;
  HolderLinkHooks hooks;

  std::mutex mutex;  // guards what follows
  std::optional<OutgoingReport> next;
  std::vector<OutgoingAsk> asks;
  bool under_way = false;
  bool stopping = false;
  kj::Maybe<WakeFulfiller> wake;

  std::promise<unsigned> listening;  // gives the port
  std::promise<void> started;
  bool hooked = false;  // Start was called
  std::thread thread;

  // Ends the loop's present wait.
  void Wake() {
    KJ_IF_MAYBE (fulfiller, wake) {
      (*fulfiller)->fulfill();
      wake = nullptr;
    }
  }
};

namespace {

// Tells in the log what it costs this node's link to answer all others, which grows with the fleet.
class AnswerLog {
 public:
  void Answered(std::size_t bytes) {
    ++answers_;
    bytes_ += bytes;
    const TimePoint now = Now();
    if (now - logged_at_ < kEvery) {
      return;
    }
    LogLine("nodes_answered")
        .With("answers", answers_)
        .With("bytes", bytes_)
        .With("ms", logged_at_ == TimePoint() ? 0 : Between(logged_at_, now).count());
    logged_at_ = now;
    answers_ = 0;
    bytes_ = 0;
  }

 private:
  static constexpr Duration kEvery{1'000};

  std::size_t answers_ = 0;
  std::size_t bytes_ = 0;
  TimePoint logged_at_;
};

// Answers the reports of other nodes.
class PlacementService final : public rpc::PlacementHolder::Server {
 public:
  explicit PlacementService(const HolderLinkHooks& hooks) : hooks_(hooks) {}

  kj::Promise<void> report(ReportContext context) override {
    NodeCounts counts = Read(context.getParams().getCounts());
    const HolderDigest digest = hooks_.digest_for(counts);
    hooks_.on_counts(std::move(counts));
    Write(digest, context.getResults().initDigest());
    if (digest.holds) {
      log_.Answered(context.getResults().totalSize().wordCount * sizeof(capnp::word));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> spend(SpendContext context) override {
    const SpendAsk ask{context.getParams().getCustomer(), context.getParams().getAmount()};
    Write(hooks_.on_spend(ask), context.getResults());
    return kj::READY_NOW;
  }

  kj::Promise<void> permit(PermitContext context) override {
    const auto params = context.getParams();
    const PermitAsk ask{params.getEndpoint(), params.getRequestsPerSecond(),
                        Duration(params.getMostWaitMs())};
    Write(hooks_.on_permit(ask), context.getResults());
    return kj::READY_NOW;
  }

 private:
  const HolderLinkHooks& hooks_;
  AnswerLog log_;
};

// Reports this node's counts, one report at a time.
template <class Impl>
class Reporter final : public kj::TaskSet::ErrorHandler {
 public:
  Reporter(Impl& impl, kj::AsyncIoProvider& provider)
      : impl_(impl), timer_(provider.getTimer()), network_(provider.getNetwork()), tasks_(*this) {}

  // Ends when the link is stopped.
  kj::Promise<void> Loop() {
    return NextTurn().then([this]() -> kj::Promise<void> {
      std::optional<OutgoingReport> report;
      std::vector<OutgoingAsk> asks;
      {
        const std::lock_guard lock(impl_.mutex);
        if (impl_.stopping) {
          return kj::READY_NOW;
        }
        asks.swap(impl_.asks);
        if (!impl_.under_way) {
          report.swap(impl_.next);
          impl_.under_way = report.has_value();
        }
      }
      if (report) {
        tasks_.add(Report(report->to, report->counts));
      }
      for (OutgoingAsk& ask : asks) {
        std::visit([&](auto& pending) { tasks_.add(Ask(ask.to, std::move(pending))); },
                   ask.pending);
      }
      return Loop();
    });
  }

  void taskFailed(kj::Exception&& error) override {
    LogLine("report_task_failed", Severity::kWarning).With("error", error.getDescription().cStr());
  }

 private:
  // When there is something to ask, or to report with nothing under way.
  kj::Promise<void> NextTurn() {
    const std::lock_guard lock(impl_.mutex);
    if (impl_.stopping || !impl_.asks.empty() || (impl_.next && !impl_.under_way)) {
      return kj::READY_NOW;
    }
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    impl_.wake = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }

  void Ended() {
    const std::lock_guard lock(impl_.mutex);
    impl_.under_way = false;
    impl_.Wake();
  }

  kj::Promise<void> Report(const std::string& address, const NodeCounts& counts) {
    return timer_.timeoutAfter(ToKj(impl_.answer_limit), ConnectAndReport(address, counts))
        .then([this]() { Ended(); },
              [this, address, number = counts.report_number](kj::Exception&&) {
                connection_.reset();
                Ended();
                impl_.hooks.on_failure(address, number);
              });
  }

  kj::Promise<void> ConnectAndReport(const std::string& address, const NodeCounts& counts) {
    if (connection_ && connected_to_ == address) {
      return Exchange(connection_, address, counts);
    }
    connection_.reset();
    return ConnectToPeer(network_, address)
        .then([this, address, counts](std::shared_ptr<PeerConnection>&& connection) {
          connection_ = connection;
          connected_to_ = address;
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
        .then([this, address, number = counts.report_number, asked_at = Now()](auto&& response) {
          HolderDigest digest = Read(response.getDigest());
          // The answer may have been made right after the question was sent.
          MakeOlder(digest, Between(asked_at, Now()));
          impl_.hooks.on_digest(std::move(digest), address, number);
        })
        .attach(kj::mv(connection));
  }

  template <class Pending>
  kj::Promise<void> Ask(const std::string& to, Pending pending) {
    auto asked = std::make_shared<Pending>(std::move(pending));
    return timer_.timeoutAfter(ToKj(kAskLimit), ConnectAndAsk(to, asked->question))
        .then([asked](auto&& answer) { asked->done(answer); },
              [this, asked](kj::Exception&&) {
                asking_ = nullptr;
                asked->done(std::nullopt);
              });
  }

  template <class Question>
  auto ConnectAndAsk(const std::string& to, const Question& question) {
    return AskingConnection(to).then([question](std::shared_ptr<PeerConnection>&& connection) {
      auto answer = Call(connection->main.castAs<rpc::PlacementHolder>(), question);
      return answer.attach(kj::mv(connection));
    });
  }

  static kj::Promise<SpendAnswer> Call(rpc::PlacementHolder::Client holder, const SpendAsk& ask) {
    auto request = holder.spendRequest();
    request.setCustomer(ask.customer);
    request.setAmount(ask.amount);
    return request.send().then([](auto&& response) { return Read(response); });
  }

  static kj::Promise<PermitAnswer> Call(rpc::PlacementHolder::Client granter,
                                        const PermitAsk& ask) {
    auto request = granter.permitRequest();
    request.setEndpoint(ask.endpoint);
    request.setRequestsPerSecond(ask.requests_per_second);
    request.setMostWaitMs(static_cast<std::uint32_t>(ask.most_wait.count()));
    return request.send().then([](auto&& response) { return Read(response); });
  }

  // One connection for all asks, beside the one for reports, which may lead to a relay.
  kj::Promise<std::shared_ptr<PeerConnection>> AskingConnection(const std::string& holder) {
    if (asking_ == nullptr || asking_to_ != holder) {
      asking_to_ = holder;
      asking_ = ConnectToPeer(network_, holder).fork();
    }
    KJ_IF_MAYBE (connection, asking_) {
      return connection->addBranch();
    }
    KJ_UNREACHABLE;
  }

  Impl& impl_;
  kj::Timer& timer_;
  kj::Network& network_;
  std::shared_ptr<PeerConnection> connection_;
  std::string connected_to_;
  kj::Maybe<kj::ForkedPromise<std::shared_ptr<PeerConnection>>> asking_;
  std::string asking_to_;
  kj::TaskSet tasks_;
};

// Body of the event loop's thread.
template <class Impl>
void RunLoop(Impl& impl) {
  capnp::EzRpcServer server(kj::heap<PlacementService>(impl.hooks), impl.address);
  auto& scope = server.getWaitScope();
  impl.listening.set_value(server.getPort().wait(scope));
  impl.started.get_future().wait();
  Reporter<Impl> reporter(impl, server.getIoProvider());
  reporter.Loop().wait(scope);
}

}  // namespace

HolderLink::HolderLink(const std::string& address, Duration answer_limit)
    : impl_(std::make_shared<Impl>()) {
  impl_->address = address;
  impl_->answer_limit = answer_limit;
  auto listening = impl_->listening.get_future();
  impl_->thread = std::thread([impl = impl_] {
    try {
      RunLoop(*impl);
    } catch (const kj::Exception& error) {
      LogLine("holder_link_failed", Severity::kError).With("error", error.getDescription().cStr());
      try {
        impl->listening.set_exception(
            std::make_exception_ptr(std::runtime_error(error.getDescription().cStr())));
      } catch (const std::future_error&) {
        // It had begun to listen: the owner was told already.
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
  impl_->hooked = true;
  impl_->started.set_value();
}

void HolderLink::Report(const std::string& to, NodeCounts counts) {
  const std::lock_guard lock(impl_->mutex);
  if (impl_->next) {
    AddUntold(impl_->next->counts, counts);
  }
  impl_->next = OutgoingReport{to, std::move(counts)};
  impl_->Wake();
}

void HolderLink::Ask(const std::string& holder, const SpendAsk& ask, SpendCallback done) {
  const std::lock_guard lock(impl_->mutex);
  impl_->asks.push_back({holder, PendingSpend{ask, std::move(done)}});
  impl_->Wake();
}

void HolderLink::Ask(const std::string& granter, const PermitAsk& ask, PermitCallback done) {
  const std::lock_guard lock(impl_->mutex);
  impl_->asks.push_back({granter, PendingPermit{ask, std::move(done)}});
  impl_->Wake();
}

void HolderLink::Stop() {
  if (!impl_->thread.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
    impl_->Wake();
  }
  if (!impl_->hooked) {
    impl_->started.set_value();
  }
  impl_->thread.join();
  // Callbacks of asks that were never sent may hold what must not outlive this call.
  impl_->asks.clear();
}

}  // namespace rudderloom
