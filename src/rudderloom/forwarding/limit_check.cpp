#include "forwarding/limit_check.hpp"

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

std::string TextOf(std::optional<double> requests_per_second) {
  return requests_per_second ? std::to_string(*requests_per_second) : "none";
}

}  // namespace

void NoteLimit(ForwardingState& state,
               const EndpointRecord& endpoint,
               const AnswerTerms& answer,
               TimePoint sent_at) {
  // A refusal that carries no limit says nothing of it.
  const bool names_none = answer.limit.kind == LimitAnnouncement::Kind::kNone;
  if (answer.wrong_instance || (names_none && !answer.is_signed)) {
    return;
  }
  if (answer.limit.kind == LimitAnnouncement::Kind::kUnreadable) {
    state.metrics.Count({"rudderloom_endpoint_limits_unreadable_total"});
    return;
  }
  const EndpointKey key = KeyOf(endpoint.instance);
  if (state.limits.Answered(key, answer.limit, sent_at, Now()) != LimitChange::kChanged) {
    return;
  }
  state.metrics.Count({"rudderloom_endpoint_limits_received_total"});
  LogLine("endpoint_limit")
      .With("endpoint", endpoint.instance)
      .With("requests_per_second", TextOf(state.limits.LimitOf(key)))
      .With("source", "answer");
}

void CountLimitedSend(ForwardingState& state, const EndpointRecord& endpoint) {
  if (state.limits.LimitOf(KeyOf(endpoint.instance))) {
    state.metrics.Count({"rudderloom_limited_endpoint_requests_total", "endpoint", endpoint.id});
  }
}

}  // namespace rudderloom
