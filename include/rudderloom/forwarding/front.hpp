/// @file
/// The traffic thread's listeners: clients' requests, the readiness question and metrics.
#ifndef RUDDERLOOM_FORWARDING_FRONT_HPP
#define RUDDERLOOM_FORWARDING_FRONT_HPP

#include <memory>  // for shared_ptr

#include "rudderloom/fleet/fleet_settings.hpp"  // for FleetSettings
#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

/// @brief Serves clients from the newest view. All methods run on the traffic thread.
/// @ingroup forwarding
class FleetFront {
 public:
  FleetFront(asio::io_context& context,
             const FleetSettings& settings,
             const Dialect& dialect,
             Metrics& metrics,
             std::function<void(NodeCounts)> on_sample,
             AskHolder ask_holder,
             AskForPermit ask_for_permit);

  /// @brief Begins to listen; gives the addresses taken. Nothing is ready before a configuration
  /// and the endpoints are known.
  FleetListeners Start();

  /// @brief Takes a new view.
  void Use(FleetViewPtr view);

  /// @brief Says "not ready", and asks clients to reconnect elsewhere after their answers.
  /// @param stop_deadline Upper bound on the deadline of requests that arrive from now on.
  void BeginStop(TimePoint stop_deadline);

  /// @brief Accepts no more connections; idle ones are closed.
  void StopAccepting();

  /// @brief Interrupts all requests in flight; those without a started answer get an error answer.
  void InterruptRequests();

  /// @brief Requests being answered now.
  std::uint64_t Active() const { return server_->Active(); }

 private:
  bool Ready() const;
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
  std::shared_ptr<HttpServer> readiness_;
  std::shared_ptr<HttpServer> metrics_server_;
  std::function<void(NodeCounts)> on_sample_;
  Timer sample_timer_;
  bool sample_soon_ = false;  // traffic has met what the control state should know
  bool stopping_ = false;
};

}  // namespace rudderloom

#endif
