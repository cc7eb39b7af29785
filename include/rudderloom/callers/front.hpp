/// @file
/// The entry node's face towards callers and the balancer.
#ifndef RUDDERLOOM_CALLERS_FRONT_HPP
#define RUDDERLOOM_CALLERS_FRONT_HPP

#include <functional>  // for function
#include <memory>      // for shared_ptr
#include <string>      // for string

#include "rudderloom/callers/call_context.hpp"  // for CallContext
#include "rudderloom/control/contact.hpp"       // for Contact
#include "rudderloom/http/server.hpp"           // for HttpServer

namespace rudderloom {

/// @brief Where the front tells the control state what it learns.
/// @ingroup callers
struct FrontHooks {
  std::function<void(message::Any)> post;
};

/// @brief Serves callers on one io_context; use from its thread only, but for Use.
/// @ingroup callers
class Front {
 public:
  Front(asio::io_context& context,
        const Settings& settings,
        const std::string& incarnation,
        ObjectStore& store,
        const Contact& contact,
        Metrics& metrics,
        FrontHooks hooks);

  /// @brief Listens and serves. Gives the address taken.
  std::string Start();

  /// @brief Takes a new snapshot. May be called from any thread.
  void Use(SnapshotPtr snapshot);

  /// @brief The balancer is told that this node goes; requests are still served.
  void BeginStop();

  /// @brief No new connections or requests; those in flight end.
  void StopAccepting() { server_->Stop(); }

  /// @brief Requests in flight, and changes of claims that wait to be recorded.
  std::size_t Unfinished() const { return server_->Active() + claims_.Pending(); }

 private:
  Awaitable<void> Handle(HttpExchange& exchange);
  Awaitable<void> HandleCall(HttpExchange& exchange, std::string target);
  Awaitable<void> ListModels(HttpExchange& exchange, std::string request_id);
  Awaitable<void> SampleLoop();
  std::optional<RefusalReason> NotServing() const;
  Reply Readiness() const;

  asio::io_context& context_;
  const Settings& settings_;
  const Contact& contact_;
  Metrics& metrics_;
  FrontHooks hooks_;
  Dispatcher dispatcher_;
  HttpClient client_;
  RetryPolicy retries_;
  ClaimKeeper claims_;
  CrashWatch crashes_;
  CallContext shared_;
  std::shared_ptr<HttpServer> server_;
  bool stopping_ = false;
};

}  // namespace rudderloom

#endif
