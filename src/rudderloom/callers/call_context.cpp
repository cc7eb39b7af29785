#include "rudderloom/callers/call_context.hpp"

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;
// Allowed while the bodies of all calls exhaust their budget.
constexpr std::size_t kFreeResponseBytes = 256 * 1024;
}  // namespace

Awaitable<void> SendRefusal(CallContext& shared,
                            HttpExchange& exchange,
                            Refusal refusal,
                            std::string request_id) {
  shared.metrics.Count({"rudderloom_refusals_total", "reason", NameOf(refusal.reason)});
  LogLine("refused")
      .With("request_id", request_id)
      .With("reason", NameOf(refusal.reason))
      .With("ran", refusal.execution == ExecutionStatus::kNotExecuted ? "no" : "unknown")
      .With("retry_after_ms", refusal.retry_delay.count());
  Reply reply = ToReply(refusal, request_id);
  co_await exchange.Send(std::move(reply));
}

void EndForGoneCaller(CallContext& shared, HttpExchange& exchange, const std::string& request_id) {
  shared.metrics.Count({"rudderloom_requests_total", "result", "caller_gone"});
  LogLine("caller_gone").With("request_id", request_id);
  exchange.Abort();
}

Refusal ToRefusal(const AdmissionRefusal& refused, bool has_endpoints) {
  Refusal refusal;
  refusal.retry_delay = refused.retry_delay;
  switch (refused.reason) {
    case AdmissionRefusal::Reason::kQueueFull:
      refusal.reason = RefusalReason::kQueueFull;
      break;
    case AdmissionRefusal::Reason::kDeadlineUnreachable:
      refusal.reason = RefusalReason::kDeadlineUnreachable;
      break;
    case AdmissionRefusal::Reason::kDeadlinePassed:
      refusal.reason = has_endpoints ? RefusalReason::kDeadlinePassed : RefusalReason::kNotResident;
      break;
    case AdmissionRefusal::Reason::kStopping:
      refusal.reason = RefusalReason::kStopping;
      break;
  }
  return refusal;
}

Refusal ToRefusal(const GiveUp& given_up, AttemptFailure failure) {
  Refusal refusal;
  refusal.execution =
      given_up.may_have_run ? ExecutionStatus::kUnknown : ExecutionStatus::kNotExecuted;
  refusal.detail = "last failure: " + std::string(NameOf(failure));
  switch (given_up.reason) {
    case GiveUp::Reason::kNotRepeatable:
      refusal.reason = RefusalReason::kOutcomeUnknown;
      break;
    case GiveUp::Reason::kAttempts:
      refusal.reason = RefusalReason::kEndpointFailed;
      break;
    case GiveUp::Reason::kBudget:
      refusal.reason = RefusalReason::kRetryBudgetSpent;
      break;
    case GiveUp::Reason::kDeadline:
      refusal.reason = RefusalReason::kDeadlinePassed;
      break;
  }
  return refusal;
}

Refusal StoppingRefusal(bool may_have_run) {
  Refusal refusal;
  refusal.reason = RefusalReason::kStopping;
  refusal.execution = may_have_run ? ExecutionStatus::kUnknown : ExecutionStatus::kNotExecuted;
  return refusal;
}

Awaitable<void> PauseBeforeRetry(CallGuard& guard, Duration pause) {
  if (!guard.Interrupted()) {
    guard.WaitTimer().expires_after(pause);
    co_await guard.WaitTimer().async_wait(kAsTuple);
  }
}

AttemptFailure ClassifyFailure(const HttpFailure& failure, AttemptFailure on_disconnect) {
  if (!failure.may_have_been_sent) {
    return AttemptFailure::kConnect;
  }
  return failure.timed_out ? AttemptFailure::kTimeout : on_disconnect;
}

Awaitable<std::variant<std::string, HttpFailure>> ReadFullBody(CallContext& shared,
                                                               HttpStream& response) {
  ByteShare held(shared.bodies, kFreeResponseBytes, kMaxResponseBytes);
  co_return co_await ReadBody(response, held);
}

bool ReportIfLeaving(CallContext& shared,
                     const EndpointView& endpoint,
                     const HttpStream& response) {
  if (response.Header(header::kEndpointState) != "leaving") {
    return false;
  }
  shared.on_endpoint_leaving(endpoint.instance);
  return true;
}

}  // namespace rudderloom
