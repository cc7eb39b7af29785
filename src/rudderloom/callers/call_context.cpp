#include "rudderloom/callers/call_context.hpp"

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {
constexpr std::size_t kLargestAnswer = 16 * 1024 * 1024;
}

Awaitable<void> Refuse(CallContext& shared,
                       HttpExchange& exchange,
                       Refusal refusal,
                       std::string request_id) {
  shared.metrics.Count({"rudderloom_refusals_total", "reason", NameOf(refusal.reason)});
  LogLine("refused")
      .With("request_id", request_id)
      .With("reason", NameOf(refusal.reason))
      .With("ran", refusal.ran == Ran::kNo ? "no" : "unknown")
      .With("retry_after_ms", refusal.come_back.count());
  Reply reply = ToReply(refusal, request_id);
  co_await exchange.Send(std::move(reply));
}

Refusal RefusalOf(const AdmissionRefusal& refused, bool known) {
  Refusal refusal;
  refusal.come_back = refused.come_back;
  switch (refused.reason) {
    case AdmissionRefusal::Reason::kQueueFull:
      refusal.reason = RefusalReason::kQueueFull;
      break;
    case AdmissionRefusal::Reason::kDeadlineUnreachable:
      refusal.reason = RefusalReason::kDeadlineUnreachable;
      break;
    case AdmissionRefusal::Reason::kDeadlinePassed:
      refusal.reason = known ? RefusalReason::kDeadlinePassed : RefusalReason::kNotResident;
      break;
  }
  return refusal;
}

Refusal RefusalOf(const GiveUp& given_up, AttemptFailure failure) {
  Refusal refusal;
  refusal.ran = given_up.may_have_run ? Ran::kUnknown : Ran::kNo;
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

AttemptFailure FailureOf(const HttpFailure& failure, AttemptFailure cut) {
  if (!failure.may_have_left) {
    return AttemptFailure::kConnect;
  }
  return failure.timed_out ? AttemptFailure::kTimeout : cut;
}

Awaitable<std::variant<std::string, HttpFailure>> ReadWhole(HttpStream& answer) {
  std::string text;
  while (true) {
    auto piece = co_await answer.ReadSome();
    if (auto* failure = std::get_if<HttpFailure>(&piece)) {
      co_return std::move(*failure);
    }
    if (std::holds_alternative<HttpStream::End>(piece)) {
      co_return text;
    }
    text += std::get<std::string>(piece);
    if (text.size() > kLargestAnswer) {
      HttpFailure failure;
      failure.may_have_left = true;
      failure.message = "the answer is too large";
      co_return failure;
    }
  }
}

bool HeedLeaving(CallContext& shared, const EndpointView& endpoint, const HttpStream& answer) {
  if (answer.Header(header::kEndpointState) != "leaving") {
    return false;
  }
  shared.leaving(endpoint.name + "#" + endpoint.incarnation);
  return true;
}

}  // namespace rudderloom
