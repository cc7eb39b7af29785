#include "forwarding/limit_check.hpp"

#include <algorithm>  // for any_of, max

#include "forwarding/await_answer.hpp"                  // for AwaitAnswer
#include "rudderloom/base/log_line.hpp"                 // for LogLine
#include "rudderloom/forwarding/in_flight_granter.hpp"  // for InFlightGranter

namespace rudderloom {

namespace {

std::string TextOf(std::optional<double> per_second) {
  return per_second ? std::to_string(*per_second) : "none";
}

// Delay before an endpoint is chosen again after its permit granter gave no answer.
constexpr Duration kPermitRetryDelay{300};

// The node that currently grants permits; empty if none is known.
std::string PermitGranter(const FleetView& view, TimePoint now) {
  return now < view.holder_permits_until ? view.quota_holder : view.deputy;
}

void RecordRetryAfter(ForwardingState& state,
                      const EndpointRecord& endpoint,
                      const AnswerMetadata& answer) {
  if (answer.has_unreadable_retry_after) {
    state.metrics.Count({"rudderloom_endpoint_limits_unreadable_total"});
  }
  if (answer.retry_after) {
    state.metrics.Count({"rudderloom_endpoint_pauses_total", "service", endpoint.service});
    state.pauses.Pause(KeyOf(endpoint.instance), Now() + *answer.retry_after);
  }
}

void RecordLeaving(ForwardingState& state,
                   const EndpointRecord& endpoint,
                   const AnswerMetadata& answer) {
  if (answer.has_unreadable_leaving) {
    state.metrics.Count({"rudderloom_endpoint_limits_unreadable_total"});
  }
  if (!answer.leaving) {
    return;
  }
  const bool is_new = state.leaving.insert_or_assign(endpoint.instance, Now()).second;
  if (is_new) {
    state.metrics.Count({"rudderloom_endpoints_leaving_total"});
    LogLine("endpoint_leaving").With("endpoint", endpoint.instance).With("source", "answer");
  }
}

// An unsigned answer may not be the endpoint's own: only a limit that it names counts.
LimitAnnouncement Credible(LimitAnnouncement announcement, bool is_signed) {
  if (announcement.kind == LimitAnnouncement::Kind::kNone && !is_signed) {
    announcement.kind = LimitAnnouncement::Kind::kUnreadable;
  }
  return announcement;
}

void RecordLimits(ForwardingState& state,
                  const EndpointRecord& endpoint,
                  const AnswerMetadata& answer,
                  TimePoint sent_at) {
  for (const LimitAnnouncement& announcement : {answer.limit, answer.tolerated_rejections}) {
    if (announcement.kind == LimitAnnouncement::Kind::kUnreadable) {
      state.metrics.Count({"rudderloom_endpoint_limits_unreadable_total"});
    }
  }
  const LimitAnnouncements announced{Credible(answer.limit, answer.is_signed),
                                     Credible(answer.tolerated_rejections, answer.is_signed)};
  const EndpointKey key = KeyOf(endpoint.instance);
  if (state.limits.Answered(key, announced, sent_at, Now()) != LimitChange::kChanged) {
    return;
  }
  state.sample_soon();
  state.metrics.Count({"rudderloom_endpoint_limits_received_total"});
  LogLine("endpoint_limit")
      .With("endpoint", endpoint.instance)
      .With("requests_per_second", TextOf(state.limits.LimitOf(key)))
      .With("rejections_per_second", TextOf(state.limits.ToleranceOf(key)))
      .With("source", "answer");
}

// The endpoint may have started to drain during the wait, or have asked for a pause.
bool StillUsable(const ForwardingState& state, const std::string& instance) {
  const FleetViewPtr& view = state.views.Current();
  return !state.leaving.contains(instance) && !state.pauses.Paused(KeyOf(instance), Now()) &&
         std::any_of(
             view->endpoints.begin(), view->endpoints.end(),
             [&](const FleetEndpoint& endpoint) { return endpoint.record.instance == instance; });
}

// Counts and logs decisions on in-flight terms.
void RecordInFlight(ForwardingState& state,
                    const PermitNeeds& needs,
                    const std::string& granter,
                    const AcquiredPermit& permit) {
  state.metrics.Count({"rudderloom_in_flight_permits_total", "result", NameOf(permit.in_flight)});
  if (permit.in_flight == InFlightOutcome::kGranted || !state.log_quota.Allows(Now())) {
    return;
  }
  LogLine("in_flight_not_granted")
      .With("result", NameOf(permit.in_flight))
      .With("endpoint", needs.endpoint.instance)
      .With("granter", granter.empty() ? "none" : granter)
      .With("cost", needs.in_flight->cost)
      .With("limit", needs.in_flight->limit)
      .With("wait_ms", permit.wait.count());
}

// Asks the granting node of the endpoint.
Awaitable<AcquiredPermit> AskInFlight(ForwardingState& state,
                                      CallGuard& guard,
                                      const PermitNeeds& needs) {
  AcquiredPermit permit;
  permit.in_flight = InFlightOutcome::kUnanswered;
  permit.may_send = true;
  const EndpointKey key = KeyOf(needs.endpoint.instance);
  const TimePoint asked_at = Now();
  const std::string granter =
      InFlightGranter(*state.views.Current(), key, state.silent_granters, asked_at);
  std::optional<PermitAnswer> answer;
  if (!granter.empty()) {
    PermitRequest ask;
    ask.endpoint = key;
    ask.in_flight = needs.in_flight;
    const auto send = [&](auto done) { state.peers.ask_for_permit(granter, ask, std::move(done)); };
    const InFlightUntil until = needs.in_flight->until;
    const auto is_unused = std::make_shared<bool>(false);
    const auto return_late = [&state, is_unused, granter, key, asked_at,
                              until](const PermitAnswer& late) {
      if (*is_unused && late.by_in_flight && late.verdict == PermitVerdict::kGranted) {
        std::make_shared<SlotUse>(state, granter, key, late.grant, asked_at, until);
      }
    };
    answer = co_await AwaitAnswer<PermitAnswer>(state.context, &guard, send, return_late);
    *is_unused = guard.Interrupted();
    permit.may_send = !*is_unused;
    if (answer && answer->by_in_flight) {
      state.silent_granters.Answered(granter, asked_at);
    } else if (!*is_unused) {
      state.silent_granters.NoAnswer(granter, asked_at, Now());
    }
  }
  if (answer && answer->by_in_flight && answer->verdict == PermitVerdict::kGranted) {
    permit.in_flight = InFlightOutcome::kGranted;
    permit.slot = std::make_shared<SlotUse>(state, granter, key, answer->grant, asked_at,
                                            needs.in_flight->until);
  } else if (answer && answer->by_in_flight && answer->verdict == PermitVerdict::kRefused) {
    permit.in_flight = InFlightOutcome::kRefused;
    permit.may_send = false;
    permit.wait = answer->wait;
  }
  RecordInFlight(state, needs, granter, permit);
  co_return permit;
}

// Asks the lease holder or its deputy.
Awaitable<AcquiredPermit> AcquireLimitPermit(ForwardingState& state,
                                             CallGuard& guard,
                                             PermitNeeds needs) {
  AcquiredPermit permit;
  const EndpointKey key = KeyOf(needs.endpoint.instance);
  const std::optional<double> limit = state.limits.LimitOf(key);
  if (!limit && !needs.slot) {
    permit.may_send = true;
    co_return permit;
  }
  const std::uint32_t nodes = state.views.Current()->live_nodes;
  const TimePoint asked_at = Now();
  const std::string granter = PermitGranter(*state.views.Current(), asked_at);
  std::optional<PermitAnswer> answer;
  if (!granter.empty()) {
    const PermitRequest ask{key, limit, std::max(Duration(0), needs.max_wait), needs.slot};
    const auto send = [&](auto done) { state.peers.ask_for_permit(granter, ask, std::move(done)); };
    answer = co_await AwaitAnswer<PermitAnswer>(state.context, &guard, send);
  }
  if (guard.Interrupted()) {
    co_return permit;
  }
  if (!answer || answer->verdict == PermitVerdict::kNotGranting) {
    if (state.limits.MaySendWithoutPermit(key, nodes, Now())) {
      state.metrics.Count({"rudderloom_permits_total", "result", "unasked"});
      permit.may_send = true;
      co_return permit;
    }
    state.metrics.Count({"rudderloom_permits_total", "result", "unanswered"});
    state.limits.Refused(key, kPermitRetryDelay, nodes, Now());
    co_return permit;
  }
  state.limits.GranterAnswered(key);
  state.metrics.Count({"rudderloom_permits_total", "result", NameOf(answer->verdict)});
  if (answer->verdict == PermitVerdict::kRefused) {
    state.limits.Refused(key, answer->wait, nodes, Now());
    co_return permit;
  }
  if (answer->grant != 0) {
    permit.slot = std::make_shared<SlotUse>(state, granter, key, answer->grant, asked_at);
  }
  if (answer->wait > Duration(0)) {
    guard.WaitTimer().expires_after(answer->wait);
    co_await guard.WaitTimer().async_wait(kAsTuple);
  }
  permit.may_send =
      guard.Cause() == Interruption::kNone && StillUsable(state, needs.endpoint.instance);
  co_return permit;
}

}  // namespace

void RecordAnnouncements(ForwardingState& state,
                         const EndpointRecord& endpoint,
                         const AnswerMetadata& answer,
                         TimePoint sent_at) {
  if (answer.wrong_instance) {
    return;
  }
  RecordRetryAfter(state, endpoint, answer);
  RecordLeaving(state, endpoint, answer);
  RecordLimits(state, endpoint, answer, sent_at);
}

void RecordRejection(ForwardingState& state, const EndpointRejection& rejection) {
  const EndpointRecord& endpoint = rejection.endpoint;
  const bool free_slot_known = rejection.known_requests < endpoint.slots;
  state.metrics.Count(
      {"rudderloom_endpoint_rejections_total", "known_free_slot", free_slot_known ? "yes" : "no"});
  if (!state.log_quota.Allows(Now())) {
    return;
  }
  LogLine("endpoint_rejected")
      .With("service", rejection.service)
      .With("endpoint", endpoint.instance)
      .With("request_id", rejection.request_id)
      .With("known_requests", rejection.known_requests)
      .With("slots", endpoint.slots);
}

std::string_view NameOf(InFlightOutcome outcome) {
  switch (outcome) {
    case InFlightOutcome::kNotAsked:
      return "not_asked";
    case InFlightOutcome::kGranted:
      return "granted";
    case InFlightOutcome::kRefused:
      return "refused";
    case InFlightOutcome::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

Awaitable<AcquiredPermit> AcquirePermit(ForwardingState& state,
                                        CallGuard& guard,
                                        PermitNeeds needs) {
  if (!needs.in_flight || needs.slot) {
    co_return co_await AcquireLimitPermit(state, guard, std::move(needs));
  }
  AcquiredPermit permit = co_await AskInFlight(state, guard, needs);
  if (!permit.may_send) {
    co_return permit;
  }
  // Asked for second, since a permit that is not used cannot be given back.
  const AcquiredPermit limit = co_await AcquireLimitPermit(state, guard, needs);
  permit.may_send = limit.may_send && guard.Cause() == Interruption::kNone &&
                    StillUsable(state, needs.endpoint.instance);
  if (!permit.may_send) {
    permit.slot.reset();
  }
  co_return permit;
}

void CountLimitedSend(ForwardingState& state, const EndpointRecord& endpoint) {
  if (state.limits.LimitOf(KeyOf(endpoint.instance))) {
    state.metrics.Count({"rudderloom_limited_endpoint_requests_total", "endpoint", endpoint.id});
  }
}

}  // namespace rudderloom
