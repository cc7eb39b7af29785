/// @file
/// Shared state and helper functions for serving requests.
#ifndef RUDDERLOOM_CALLERS_CALL_CONTEXT_HPP
#define RUDDERLOOM_CALLERS_CALL_CONTEXT_HPP

#include <functional>  // for function
#include <string>      // for string

#include "rudderloom/attempts/retry_policy.hpp"   // for RetryPolicy
#include "rudderloom/callers/dispatcher.hpp"      // for Dispatcher
#include "rudderloom/callers/request_info.hpp"    // for RequestInfo
#include "rudderloom/claims/claim_keeper.hpp"     // for ClaimKeeper
#include "rudderloom/http/byte_budget.hpp"        // for ByteBudget
#include "rudderloom/http/client.hpp"             // for HttpClient
#include "rudderloom/http/call_guard.hpp"         // for CallGuard
#include "rudderloom/quarantine/crash_watch.hpp"  // for CrashWatch
#include "rudderloom/telemetry/metrics.hpp"       // for Metrics

namespace rudderloom {

/// @brief References to the components that all requests of one traffic thread share.
/// @ingroup callers
struct CallContext {
  asio::io_context& context;
  const Settings& settings;
  Dispatcher& dispatcher;
  HttpClient& client;
  RetryPolicy& retries;
  ClaimKeeper& claims;
  Metrics& metrics;
  CrashWatch& crashes;
  ByteBudget& bodies;  ///< Of responses that have been read in part.
  /// @brief Called with `endpoint#incarnation` when a response announces a shutdown.
  std::function<void(std::string)> on_endpoint_leaving;
};

/// @brief Counts and logs a refusal and sends it to the caller.
/// @ingroup callers
Awaitable<void> SendRefusal(CallContext& shared,
                            HttpExchange& exchange,
                            Refusal refusal,
                            std::string request_id);

/// @brief Ends a request whose caller has closed its connection: counts, logs and aborts it.
/// @ingroup callers
void EndForGoneCaller(CallContext& shared, HttpExchange& exchange, const std::string& request_id);

/// @brief Converts a decision of the admission queue to a refusal.
/// @param has_endpoints Whether any endpoint serves the target at present.
/// @ingroup callers
Refusal ToRefusal(const AdmissionRefusal& refused, bool has_endpoints);

/// @brief Converts the decision not to retry after `failure` to a refusal.
/// @ingroup callers
Refusal ToRefusal(const GiveUp& given_up, AttemptFailure failure);

/// @brief Returns the refusal of a call that the stop of the node interrupts.
/// @ingroup callers
Refusal StoppingRefusal(bool may_have_run);

/// @brief Reports the endpoint as leaving if the response header says so. Returns whether it does.
/// @ingroup callers
bool ReportIfLeaving(CallContext& shared, const EndpointView& endpoint, const HttpStream& response);

/// @brief Classifies a failed HTTP exchange.
/// @param on_disconnect Result for a connection that broke after data was sent.
/// @ingroup callers
AttemptFailure ClassifyFailure(const HttpFailure& failure, AttemptFailure on_disconnect);

/// @brief Reads the rest of the response body. Fails if it exceeds 16 MiB, or 256 KiB while the
/// budget for bodies is exhausted.
/// @ingroup callers
Awaitable<std::variant<std::string, HttpFailure>> ReadFullBody(CallContext& shared,
                                                               HttpStream& response);

/// @brief Waits before a retry, at most until `guard` interrupts the request.
/// @ingroup callers
Awaitable<void> PauseBeforeRetry(CallGuard& guard, Duration pause);

/// @brief Serves a `POST /v1/chat/completions` or `POST /v1/completions` request.
/// @ingroup callers
Awaitable<void> ServeCompletion(CallContext& shared,
                                HttpExchange& exchange,
                                CallGuard& guard,
                                RequestInfo info);

/// @brief Serves a request to a plain service under `/services/`.
/// @ingroup callers
Awaitable<void> ServeService(CallContext& shared,
                             HttpExchange& exchange,
                             CallGuard& guard,
                             RequestInfo info);

}  // namespace rudderloom

#endif
