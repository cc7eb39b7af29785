/// @file
/// The HTTP server of an entry node for callers, health checks and metrics.
#ifndef RUDDERLOOM_CALLERS_FRONTEND_HPP
#define RUDDERLOOM_CALLERS_FRONTEND_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <string>      // for string

#include "rudderloom/callers/call_context.hpp"  // for CallContext
#include "rudderloom/control/contact.hpp"       // for ContactMonitor
#include "rudderloom/http/server.hpp"           // for HttpServer

namespace rudderloom {

/// @brief Callbacks of the front.
/// @ingroup callers
struct FrontendHooks {
  std::function<void(message::Any)> post;  ///< Sends a message to the control state.
};

/// @brief Serves callers on one io_context. Only UpdateSnapshot may be called from other threads.
/// @ingroup callers
class Frontend {
 public:
  Frontend(asio::io_context& context,
           const Settings& settings,
           const std::string& incarnation,
           ObjectStore& store,
           const ContactMonitor& contact,
           Metrics& metrics,
           FrontendHooks hooks);

  /// @brief Starts listening and serving. Returns the bound address and port.
  std::string Start();

  /// @brief Replaces the snapshot. May be called from any thread.
  void UpdateSnapshot(SnapshotPtr snapshot);

  /// @brief Makes the readiness check fail, so that the load balancer stops sending requests.
  /// Requests are still served, except those that can't start before `deadline`.
  void BeginStop(TimePoint deadline);

  /// @brief Accepts no new connections. Those that wait to be accepted are served.
  void StopListening() { server_->StopListening(); }

  /// @brief Refuses new calls; those in flight go on.
  void RefuseCalls() { refusing_ = true; }

  /// @brief Interrupts the calls in flight. Each is answered with what is known of its execution,
  /// and the outcomes of claimed ones are recorded.
  void InterruptCalls();

  /// @brief Refuses new calls, closes the connections without a request in flight and refuses
  /// requests that have been received in part.
  void Close();

  /// @brief Number of requests in flight.
  std::size_t Active() const { return server_->Active(); }

  /// @brief Number of claim updates that are not stored yet.
  std::size_t UnstoredClaims() const { return claims_.Pending(); }

  std::size_t Connections() const { return server_->Connections(); }

 private:
  Awaitable<void> Handle(HttpExchange& exchange);
  Awaitable<void> HandleCall(HttpExchange& exchange, std::string target);
  Awaitable<void> ListModels(HttpExchange& exchange, std::string request_id);
  Awaitable<void> SampleLoop();
  std::optional<RefusalReason> UnavailableReason() const;
  Reply Readiness() const;

  asio::io_context& context_;
  const Settings& settings_;
  const ContactMonitor& contact_;
  Metrics& metrics_;
  FrontendHooks hooks_;
  Dispatcher dispatcher_;
  HttpClient client_;
  RetryPolicy retries_;
  ClaimKeeper claims_;
  CrashWatch crashes_;
  ByteBudget bodies_;
  CallContext shared_;
  CallGuards guards_;
  std::shared_ptr<HttpServer> server_;
  bool stopping_ = false;
  bool refusing_ = false;
};

}  // namespace rudderloom

#endif
