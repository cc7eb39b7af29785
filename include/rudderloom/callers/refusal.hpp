/// @file
/// Error responses for callers: `application/problem+json` with a stable reason.
#ifndef RUDDERLOOM_CALLERS_REFUSAL_HPP
#define RUDDERLOOM_CALLERS_REFUSAL_HPP

#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"   // for Duration
#include "rudderloom/http/server.hpp"  // for Reply

namespace rudderloom {

/// @brief Why a request was refused or failed. Names are stable; see docs/OPERATORS.md.
/// @ingroup callers
enum class RefusalReason {
  kHeaderTooLarge,
  kBodyTooLarge,
  kMalformedRequest,
  kRequestTooSlow,
  kTooManyConnections,
  kUnknownPath,
  kMethodNotAllowed,
  kInvalidHeader,
  kInvalidJson,
  kUnknownModel,
  kUnknownService,
  kNotReady,
  kStopping,
  kIsolated,
  kQueueFull,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kNotResident,
  kEndpointFailed,
  kRetryBudgetSpent,
  kOutcomeUnknown,
  kClaimsUnavailable,
  kCallInProgress,
  kAnswerNotKept,
  kKeyReused,
  kQuarantined,
};

/// @brief Returns the stable name, for example `queue_full`.
/// @ingroup callers
std::string_view NameOf(RefusalReason reason);

/// @brief Whether an endpoint may have executed the refused request.
/// @ingroup callers
enum class ExecutionStatus { kNotExecuted, kUnknown };

/// @brief Content of an error response.
/// @ingroup callers
struct Refusal {
  RefusalReason reason = RefusalReason::kNotReady;
  ExecutionStatus execution = ExecutionStatus::kNotExecuted;
  std::string detail;
  Duration retry_delay{1'000};  ///< Sent as Retry-After, in whole seconds rounded up.
};

/// @brief Returns the HTTP status for a reason.
/// @ingroup callers
unsigned StatusOf(RefusalReason reason);

/// @brief Builds the response. The body includes the `error` object that OpenAI clients expect.
/// @ingroup callers
Reply ToReply(const Refusal& refusal, const std::string& request_id);

/// @brief Serializes the refusal as JSON, for an error event within a stream.
/// @ingroup callers
std::string ToJsonText(const Refusal& refusal, const std::string& request_id);

/// @brief Returns the refusal for a request that could not be read.
/// @ingroup callers
Refusal ToRefusal(ReadFailure failure);

}  // namespace rudderloom

#endif
