#include "rudderloom/peers/node_server.hpp"

#include <capnp/ez-rpc.h>  // for EzRpcServer
#include <kj/async-io.h>   // for AsyncIoProvider
#include <kj/timer.h>      // for Timer
#include <future>          // for promise
#include <map>             // for map
#include <mutex>           // for mutex
#include <thread>          // for thread

#include "node.capnp.h"                  // for rpc::Node
#include "peers/heartbeat_codec.hpp"     // for Write, Read
#include "peers/operator_codec.hpp"      // for Write, Read
#include "peers/peer_connection.hpp"     // for ConnectToPeer
#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

constexpr std::size_t kBytesPerWord = 8;

kj::Duration ToKj(Duration duration) {
  return duration.count() * kj::MILLISECONDS;
}

}  // namespace

// State shared by the owner and the event loop thread.
struct NodeServer::Impl {
  Impl(const ListenerSettings& listener_settings,
       MembershipSettings membership_settings,
       ContactMonitor& last_contact,
       Metrics& node_metrics)
      : listener(listener_settings),
        membership(membership_settings),
        contact(last_contact),
        metrics(node_metrics) {}

  std::shared_ptr<const NodeReport> Report() const {
    const std::lock_guard lock(mutex);
    return report;
  }

  ListenerSettings listener;
  MembershipSettings membership;
  ContactMonitor& contact;
  Metrics& metrics;
  NodeServerHooks hooks;
  mutable std::mutex mutex;
  std::shared_ptr<const NodeReport> report = std::make_shared<NodeReport>();
  std::promise<unsigned> port;
  std::promise<void> started;
  bool start_called = false;  // Start was called
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop;
  std::thread thread;
};

// Serves the calls of peers and operators. Used on the event loop thread.
class NodeService final : public rpc::Node::Server {
 public:
  using Report = std::function<std::shared_ptr<const NodeReport>()>;

  NodeService(Report report,
              const MembershipSettings& membership,
              const NodeServerHooks& hooks,
              ContactMonitor& contact,
              Metrics& metrics)
      : report_(std::move(report)),
        membership_(membership),
        hooks_(hooks),
        contact_(contact),
        metrics_(metrics) {}

  kj::Promise<void> heartbeat(HeartbeatContext context) override {
    const auto received = context.getParams().getMine();
    metrics_.Count({"rudderloom_control_bytes_total", "with", "peers"},
                   received.totalSize().wordCount * kBytesPerWord);
    contact_.RecordContact(Now());
    hooks_.post(Read(received));
    Write(*report_(), context.getResults().initYours());
    metrics_.Count({"rudderloom_control_bytes_total", "with", "peers"},
                   context.getResults().totalSize().wordCount * kBytesPerWord);
    return kj::READY_NOW;
  }

  kj::Promise<void> configuration(ConfigurationContext context) override {
    const auto report = report_();
    if (report->configuration &&
        report->configuration->generation > context.getParams().getNewerThan()) {
      context.getResults().setJson(boost::json::serialize(ToJson(*report->configuration)));
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> change(ChangeContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    // std::function requires copyable captures, so the fulfiller and the result are shared.
    auto fulfiller =
        std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<void>>>(kj::mv(pair.fulfiller));
    auto shared_result = std::make_shared<ChangeResult>();
    hooks_.change(Read(context.getParams().getRequest()),
                  [fulfiller, shared_result](ChangeResult result) {
                    *shared_result = std::move(result);
                    (*fulfiller)->fulfill();
                  });
    return pair.promise.then([context, shared_result]() mutable {
      Write(*shared_result, context.getResults().initResult());
    });
  }

  kj::Promise<void> get(GetContext context) override {
    const auto report = report_();
    if (!report->configuration) {
      return kj::READY_NOW;
    }
    auto out = context.getResults().initConfiguration();
    out.setGeneration(report->configuration->generation);
    out.setAuthor(report->configuration->author);
    out.setJson(boost::json::serialize(ToJson(*report->configuration)));
    return kj::READY_NOW;
  }

  kj::Promise<void> status(StatusContext context) override {
    const auto report = report_();
    if (report->configuration) {
      Write(*report, membership_, context.getResults().initStatus());
    }
    return kj::READY_NOW;
  }

 private:
  Report report_;
  const MembershipSettings& membership_;
  const NodeServerHooks& hooks_;
  ContactMonitor& contact_;
  Metrics& metrics_;
};

// Sends heartbeats to the targets in the report and fetches newer configurations from peers.
class HeartbeatSender final : public kj::TaskSet::ErrorHandler {
 public:
  HeartbeatSender(NodeService::Report report,
                  const MembershipSettings& membership,
                  const NodeServerHooks& hooks,
                  ContactMonitor& contact,
                  Metrics& metrics,
                  kj::AsyncIoProvider& provider)
      : report_(std::move(report)),
        membership_(membership),
        hooks_(hooks),
        contact_(contact),
        metrics_(metrics),
        timer_(provider.getTimer()),
        network_(provider.getNetwork()),
        tasks_(*this) {
    tasks_.add(Loop());
  }

  void taskFailed(kj::Exception&& error) override {
    LogLine("heartbeat_task_failed", Severity::kWarning)
        .With("error", error.getDescription().cStr());
  }

 private:
  kj::Promise<void> Loop() {
    return timer_.afterDelay(ToKj(membership_.heartbeat)).then([this]() {
      const auto report = report_();
      contact_.SetPeersKnown(report->peers_known);
      for (const Member& target : report->targets) {
        tasks_.add(SendHeartbeat(target.state.peers_address, report));
      }
      return Loop();
    });
  }

  kj::Promise<void> SendHeartbeat(const std::string& address,
                                  const std::shared_ptr<const NodeReport>& report) {
    if (address.empty()) {
      return kj::READY_NOW;
    }
    return timer_.timeoutAfter(ToKj(membership_.silent_after), ConnectAndSend(address, report))
        .catch_([this, address](kj::Exception&&) {
          connections_.erase(address);
          metrics_.Count({"rudderloom_heartbeats_failed_total"});
        });
  }

  kj::Promise<void> ConnectAndSend(const std::string& address,
                                   const std::shared_ptr<const NodeReport>& report) {
    const auto found = connections_.find(address);
    if (found != connections_.end()) {
      return Exchange(found->second, report);
    }
    return ConnectToPeer(network_, address)
        .then([this, address, report](std::shared_ptr<PeerConnection>&& connection) {
          connections_[address] = connection;
          return Exchange(connection, report);
        });
  }

  kj::Promise<void> Exchange(std::shared_ptr<PeerConnection> connection,
                             const std::shared_ptr<const NodeReport>& report) {
    auto peer = connection->main.castAs<rpc::Peer>();
    auto request = peer.heartbeatRequest();
    Write(*report, request.initMine());
    metrics_.Count({"rudderloom_control_bytes_total", "with", "peers"},
                   request.totalSize().wordCount * kBytesPerWord);
    const std::uint64_t own_generation = report->self.generation;
    return request.send()
        .then([this, peer, own_generation](auto&& response) mutable -> kj::Promise<void> {
          const auto reply = response.getYours();
          metrics_.Count({"rudderloom_control_bytes_total", "with", "peers"},
                         reply.totalSize().wordCount * kBytesPerWord);
          contact_.RecordContact(Now());
          message::HeartbeatReceived heartbeat = Read(reply);
          const std::uint64_t peer_generation = heartbeat.state.generation;
          hooks_.post(std::move(heartbeat));
          return peer_generation > own_generation ? FetchConfiguration(peer, own_generation)
                                                  : kj::Promise<void>(kj::READY_NOW);
        })
        .attach(kj::mv(connection));
  }

  kj::Promise<void> FetchConfiguration(rpc::Peer::Client peer, std::uint64_t newer_than) {
    auto request = peer.configurationRequest();
    request.setNewerThan(newer_than);
    return request.send().then([this](auto&& response) {
      auto parsed = ParseJsonObject(response.getJson().cStr(), "/");
      const auto* object = std::get_if<boost::json::object>(&parsed);
      if (object == nullptr) {
        return;
      }
      auto read = ConfigurationFromJson(*object);
      if (auto* configuration = std::get_if<Configuration>(&read)) {
        metrics_.Count({"rudderloom_configurations_from_peers_total"});
        hooks_.post(message::ConfigurationSeen{
            std::make_shared<const Configuration>(std::move(*configuration))});
      }
    });
  }

  NodeService::Report report_;
  const MembershipSettings& membership_;
  const NodeServerHooks& hooks_;
  ContactMonitor& contact_;
  Metrics& metrics_;
  kj::Timer& timer_;
  kj::Network& network_;
  std::map<std::string, std::shared_ptr<PeerConnection>> connections_;
  kj::TaskSet tasks_;
};

namespace {

// Main function of the event loop thread.
template <class Impl>
void RunEventLoop(const std::shared_ptr<Impl>& impl) {
  const auto report = [impl] { return impl->Report(); };
  auto service =
      kj::heap<NodeService>(report, impl->membership, impl->hooks, impl->contact, impl->metrics);
  capnp::EzRpcServer server(kj::mv(service), impl->listener.address, impl->listener.port);
  auto& wait_scope = server.getWaitScope();
  auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
  impl->stop = kj::mv(stop.fulfiller);
  impl->port.set_value(server.getPort().wait(wait_scope));
  // Calls are served only after Start has set the hooks.
  impl->started.get_future().wait();
  HeartbeatSender sender(report, impl->membership, impl->hooks, impl->contact, impl->metrics,
                         server.getIoProvider());
  stop.promise.wait(wait_scope);
}

}  // namespace

NodeServer::NodeServer(const ListenerSettings& listener,
                       MembershipSettings membership,
                       ContactMonitor& contact,
                       Metrics& metrics)
    : impl_(std::make_shared<Impl>(listener, membership, contact, metrics)) {
  auto port = impl_->port.get_future();
  impl_->thread = std::thread([impl = impl_] {
    try {
      RunEventLoop(impl);
    } catch (...) {
      // The constructor rethrows errors that occur before the port is set; later ones are logged.
      try {
        impl->port.set_exception(std::current_exception());
      } catch (const std::future_error&) {
        LogLine("node_server_failed", Severity::kError);
      }
    }
  });
  try {
    address_ = listener.address + ":" + std::to_string(port.get());
  } catch (...) {
    impl_->thread.join();
    throw;
  }
}

NodeServer::~NodeServer() {
  Stop();
}

void NodeServer::Stop() {
  if (!impl_->thread.joinable()) {
    return;
  }
  if (!impl_->start_called) {
    impl_->started.set_value();
  }
  impl_->stop->fulfill();
  impl_->thread.join();
}

void NodeServer::Start(NodeServerHooks hooks) {
  impl_->hooks = std::move(hooks);
  impl_->start_called = true;
  impl_->started.set_value();
}

void NodeServer::UpdateReport(std::shared_ptr<const NodeReport> report) {
  const std::lock_guard lock(impl_->mutex);
  impl_->report = std::move(report);
}

}  // namespace rudderloom
