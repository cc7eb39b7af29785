/// @file
/// HTTP listeners of the traffic thread: client requests, readiness and metrics.
#ifndef RUDDERLOOM_FORWARDING_FRONTEND_HPP
#define RUDDERLOOM_FORWARDING_FRONTEND_HPP

#include <memory>  // for shared_ptr

#include "rudderloom/fleet/fleet_settings.hpp"  // for FleetSettings
#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

/// @brief Serves clients from the latest view. All methods run on the traffic thread.
/// @ingroup forwarding
class FleetFrontend {
 public:
  FleetFrontend(asio::io_context& context,
                const FleetSettings& settings,
                const HeaderCodec& dialect,
                Metrics& metrics,
                std::function<void(NodeCounts)> on_sample,
                PeerCalls peers);

  /// @brief Starts listening and returns the bound addresses. Reports not ready until a
  /// configuration and the endpoints are known.
  FleetListeners Start();

  /// @brief Installs a new view.
  void SetView(FleetViewPtr view);

  /// @brief Reports not ready and asks clients to reconnect elsewhere after their current answer.
  /// @param stop_deadline Upper bound on the deadline of requests that arrive from now on.
  void BeginStop(TimePoint stop_deadline);

  /// @brief Stops accepting connections and closes idle ones.
  void StopAccepting();

  /// @brief Interrupts all requests in flight; those whose answer has not started get an error
  /// answer, as do requests that have been received in part.
  void InterruptRequests();

  /// @brief Number of requests in progress.
  std::uint64_t Active() const { return server_->Active() + gateway_server_->Active(); }

  /// @brief Number of open connections from clients and nodes.
  std::uint64_t Connections() const {
    return server_->Connections() + gateway_server_->Connections();
  }

 private:
  bool Ready() const;
  Awaitable<void> ServeClient(HttpExchange& exchange);
  Awaitable<void> ServeNode(HttpExchange& exchange);
  void RecordRefusalForMemory(std::string_view bound);
  Awaitable<void> RefuseForMemory(HttpExchange& exchange, HeaderList headers);
  Awaitable<void> AnswerReadiness(HttpExchange& exchange);
  Awaitable<void> AnswerMetrics(HttpExchange& exchange);
  Awaitable<void> TrimLoop();
  Awaitable<void> SampleLoop();
  void Sample();
  std::shared_ptr<HttpServer> MakeServer(std::function<Awaitable<void>(HttpExchange&)> handle);

  asio::io_context& context_;
  FleetSettings settings_;
  Metrics& metrics_;
  ForwardingState state_;
  std::shared_ptr<HttpServer> server_;
  std::shared_ptr<HttpServer> gateway_server_;  // requests of other nodes
  std::shared_ptr<HttpServer> readiness_;
  std::shared_ptr<HttpServer> metrics_server_;
  std::function<void(NodeCounts)> on_sample_;
  Timer sample_timer_;
  bool sample_requested_ = false;  // the next sample is due at once
  bool stopping_ = false;
};

}  // namespace rudderloom

#endif
