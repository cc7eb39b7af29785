#include "rudderloom/callers/refusal.hpp"

#include <array>           // for array
#include <boost/json.hpp>  // for object

namespace rudderloom {

namespace json = boost::json;

namespace {

struct ReasonEntry {
  RefusalReason reason;
  std::string_view name;
  unsigned status;
  std::string_view title;
};

constexpr std::array kReasons{
    ReasonEntry{RefusalReason::kHeaderTooLarge, "header_too_large", 431, "The header is too large"},
    ReasonEntry{RefusalReason::kBodyTooLarge, "body_too_large", 413, "The body is too large"},
    ReasonEntry{RefusalReason::kMalformedRequest, "malformed_request", 400, "Not an HTTP request"},
    ReasonEntry{RefusalReason::kRequestTooSlow, "request_too_slow", 408,
                "The request came too slowly"},
    ReasonEntry{RefusalReason::kTooManyConnections, "too_many_connections", 503,
                "Too many connections"},
    ReasonEntry{RefusalReason::kUnknownPath, "unknown_path", 404, "No such path"},
    ReasonEntry{RefusalReason::kMethodNotAllowed, "method_not_allowed", 405,
                "Method not allowed here"},
    ReasonEntry{RefusalReason::kInvalidHeader, "invalid_header", 400, "A header makes no sense"},
    ReasonEntry{RefusalReason::kInvalidJson, "invalid_json", 400, "The body makes no sense"},
    ReasonEntry{RefusalReason::kUnknownModel, "unknown_model", 404, "No such model or adapter"},
    ReasonEntry{RefusalReason::kUnknownService, "unknown_service", 404, "No such service"},
    ReasonEntry{RefusalReason::kNotReady, "not_ready", 503, "This entry node is not ready yet"},
    ReasonEntry{RefusalReason::kStopping, "stopping", 503, "This entry node is stopping"},
    ReasonEntry{RefusalReason::kIsolated, "isolated", 503,
                "This entry node is cut off from the others"},
    ReasonEntry{RefusalReason::kQueueFull, "queue_full", 429, "Too many requests wait"},
    ReasonEntry{RefusalReason::kDeadlineUnreachable, "deadline_unreachable", 429,
                "The wait would be longer than the deadline"},
    ReasonEntry{RefusalReason::kDeadlinePassed, "deadline_passed", 504, "The deadline has passed"},
    ReasonEntry{RefusalReason::kNotResident, "not_resident", 503,
                "No endpoint holds the model now"},
    ReasonEntry{RefusalReason::kEndpointFailed, "endpoint_failed", 502, "Endpoints failed"},
    ReasonEntry{RefusalReason::kRetryBudgetSpent, "retry_budget_spent", 503,
                "Too many retries already"},
    ReasonEntry{RefusalReason::kOutcomeUnknown, "outcome_unknown", 502, "The call may have run"},
    ReasonEntry{RefusalReason::kClaimsUnavailable, "claims_unavailable", 503,
                "Calls with an Idempotency-Key can't be claimed now"},
    ReasonEntry{RefusalReason::kCallInProgress, "call_in_progress", 409,
                "The call with this key has not ended"},
    ReasonEntry{RefusalReason::kAnswerNotKept, "answer_not_kept", 409,
                "The call with this key ran, and its answer was not kept"},
    ReasonEntry{RefusalReason::kKeyReused, "key_reused", 422,
                "The key was used for another request"},
    ReasonEntry{RefusalReason::kQuarantined, "quarantined", 502,
                "The endpoints that ran this request ended; it is sent to no more of them"},
};

const ReasonEntry& FindReason(RefusalReason reason) {
  for (const ReasonEntry& entry : kReasons) {
    if (entry.reason == reason) {
      return entry;
    }
  }
  return kReasons.front();
}

std::int64_t ToRetryAfterSeconds(Duration duration) {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  return std::max<std::int64_t>(
      1, (duration.count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond);
}

}  // namespace

std::string_view NameOf(RefusalReason reason) {
  return FindReason(reason).name;
}

unsigned StatusOf(RefusalReason reason) {
  return FindReason(reason).status;
}

std::string ToJsonText(const Refusal& refusal, const std::string& request_id) {
  const ReasonEntry& entry = FindReason(refusal.reason);
  const std::string message = refusal.detail.empty() ? std::string(entry.title) : refusal.detail;
  const json::object error{{"message", message},
                           {"type", entry.status < 500 ? "invalid_request_error" : "server_error"},
                           {"param", nullptr},
                           {"code", entry.name}};
  return json::serialize(
      json::object{{"title", entry.title},
                   {"status", entry.status},
                   {"detail", message},
                   {"reason", entry.name},
                   {"ran", refusal.execution == ExecutionStatus::kNotExecuted ? "no" : "unknown"},
                   {"retry_after", ToRetryAfterSeconds(refusal.retry_delay)},
                   {"request_id", request_id},
                   {"error", error}});
}

Reply ToReply(const Refusal& refusal, const std::string& request_id) {
  Reply reply;
  reply.status = StatusOf(refusal.reason);
  reply.content_type = "application/problem+json";
  reply.body = ToJsonText(refusal, request_id);
  reply.headers.emplace_back("X-Request-Id", request_id);
  reply.headers.emplace_back("Retry-After",
                             std::to_string(ToRetryAfterSeconds(refusal.retry_delay)));
  return reply;
}

Refusal ToRefusal(ReadFailure failure) {
  Refusal refusal;
  switch (failure) {
    case ReadFailure::kHeaderTooLarge:
      refusal.reason = RefusalReason::kHeaderTooLarge;
      break;
    case ReadFailure::kBodyTooLarge:
      refusal.reason = RefusalReason::kBodyTooLarge;
      break;
    case ReadFailure::kMalformed:
      refusal.reason = RefusalReason::kMalformedRequest;
      break;
    case ReadFailure::kTooSlow:
      refusal.reason = RefusalReason::kRequestTooSlow;
      break;
    case ReadFailure::kTooManyConnections:
      refusal.reason = RefusalReason::kTooManyConnections;
      break;
    case ReadFailure::kNoMemory:
    case ReadFailure::kStopping:
      refusal.reason = RefusalReason::kStopping;
      break;
  }
  return refusal;
}

}  // namespace rudderloom
