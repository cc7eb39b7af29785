/// @file
/// Refusals as callers see them: `application/problem+json` with a stable reason.
#ifndef RUDDERLOOM_CALLERS_REFUSAL_HPP
#define RUDDERLOOM_CALLERS_REFUSAL_HPP

#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"   // for Duration
#include "rudderloom/http/server.hpp"  // for Reply

namespace rudderloom {

/// @brief Why a request gets no answer of its own. Names are stable; see docs/OPERATORS.md.
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

/// @brief The stable name, for example `queue_full`.
/// @ingroup callers
std::string_view NameOf(RefusalReason reason);

/// @brief Whether the refused request may have had an effect.
/// @ingroup callers
enum class Ran { kNo, kUnknown };

/// @brief One refusal.
/// @ingroup callers
struct Refusal {
  RefusalReason reason = RefusalReason::kNotReady;
  Ran ran = Ran::kNo;
  std::string detail;
  Duration come_back{1'000};  ///< Shown as Retry-After, in whole seconds rounded up.
};

/// @brief The HTTP status of a reason.
/// @ingroup callers
unsigned StatusOf(RefusalReason reason);

/// @brief The answer to send; it also carries the `error` object that OpenAI clients look for.
/// @ingroup callers
Reply ToReply(const Refusal& refusal, const std::string& request_id);

/// @brief The refusal as one JSON text, for an error event within a stream.
/// @ingroup callers
std::string ToJsonText(const Refusal& refusal, const std::string& request_id);

/// @brief The refusal for a request that could not be read.
/// @ingroup callers
Refusal RefusalOf(ReadFailure failure);

}  // namespace rudderloom

#endif
