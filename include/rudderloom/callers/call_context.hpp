/// @file
/// What every call of a caller needs while it is served.
#ifndef RUDDERLOOM_CALLERS_CALL_CONTEXT_HPP
#define RUDDERLOOM_CALLERS_CALL_CONTEXT_HPP

#include <functional>  // for function
#include <string>      // for string

#include "rudderloom/attempts/retry_policy.hpp"   // for RetryPolicy
#include "rudderloom/callers/dispatcher.hpp"      // for Dispatcher
#include "rudderloom/callers/request_info.hpp"    // for RequestInfo
#include "rudderloom/claims/claim_keeper.hpp"     // for ClaimKeeper
#include "rudderloom/http/client.hpp"             // for HttpClient
#include "rudderloom/http/pause.hpp"              // for PauseFor
#include "rudderloom/quarantine/crash_watch.hpp"  // for CrashWatch
#include "rudderloom/telemetry/metrics.hpp"       // for Metrics

namespace rudderloom {

/// @brief Parts that the calls of one traffic thread share.
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
  /// @brief Called with `endpoint#incarnation` when an answer says that it is leaving.
  std::function<void(std::string)> leaving;
};

/// @brief Counts a refusal, logs it and sends it at once.
/// @ingroup callers
Awaitable<void> Refuse(CallContext& shared,
                       HttpExchange& exchange,
                       Refusal refusal,
                       std::string request_id);

/// @brief The refusal that admission's decision shows to the caller.
/// @param known Whether any endpoint serves the target at this moment.
/// @ingroup callers
Refusal RefusalOf(const AdmissionRefusal& refused, bool known);

/// @brief The refusal that follows from giving up after a failed attempt.
/// @ingroup callers
Refusal RefusalOf(const GiveUp& given_up, AttemptFailure failure);

/// @brief Heeds an endpoint's word that it is leaving; true when it said so.
/// @ingroup callers
bool HeedLeaving(CallContext& shared, const EndpointView& endpoint, const HttpStream& answer);

/// @brief What a failed exchange means; `cut` says which kind a broken connection is.
/// @ingroup callers
AttemptFailure FailureOf(const HttpFailure& failure, AttemptFailure cut);

/// @brief Reads the rest of an answer, up to the largest that is kept in memory.
/// @ingroup callers
Awaitable<std::variant<std::string, HttpFailure>> ReadWhole(HttpStream& answer);

/// @brief Serves one `POST /v1/chat/completions` or `/v1/completions`.
/// @ingroup callers
Awaitable<void> ServeCompletion(CallContext& shared, HttpExchange& exchange, RequestInfo info);

/// @brief Serves one call of a plain service.
/// @ingroup callers
Awaitable<void> ServeService(CallContext& shared, HttpExchange& exchange, RequestInfo info);

}  // namespace rudderloom

#endif
