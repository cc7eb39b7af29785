#include "forwarding/forwarded_request.hpp"

#include <algorithm>  // for min

#include "forwarding/prompt_turn.hpp"  // for IsOverloadControlInForce

namespace rudderloom {

ForwardedRequest::ForwardedRequest(ForwardingState& state, HttpExchange& exchange)
    : arrived(Now()),
      terms(state.dialect.ReadRequest(exchange.Request())),
      checks(state, exchange, terms, arrived) {}

bool ForwardedRequest::BeginsResumableStream() const {
  return route->kind == RouteKind::kStream && route->Repeatable() && !GoesOn();
}

TimePoint ForwardedRequest::LatestStart() const {
  // The client of a started stream waits from the last event on.
  const TimePoint patient_until = stream.started ? deadline_at : arrived + route->patience;
  return std::min(deadline_at, patient_until) - kMinAttemptTime;
}

std::set<std::string> ForwardedRequest::Excluded() const {
  std::set<std::string> excluded = tried.Excluded();
  excluded.insert(without_turn.begin(), without_turn.end());
  return excluded;
}

void ForwardedRequest::NoTurnAt(const EndpointRecord& endpoint, Duration next) {
  decided_by = terms.model.empty() ? "slots" : "turn";
  retry_delay = without_turn.empty() ? next : std::min(retry_delay, next);
  without_turn.insert(endpoint.instance);
  refused_turn = true;
}

bool ControlsOverload(const ForwardingState& state, const RouteTable& routes) {
  return IsOverloadControlInForce(state.overload_control, routes.CallersGiveUpBeforeLoads(),
                                  state.views.Current()->live_nodes);
}

Duration TimeSpentBefore(ForwardingState& state, const ForwardedRequest& request) {
  // The remaining time of a client that takes up a stream includes the time of its first events.
  if (!ControlsOverload(state, *request.routes) || request.terms.resumes_stream) {
    return Duration(0);
  }
  return state.caller_deadlines.WaitedBefore(request.route->name, request.terms.deadline,
                                             request.arrived);
}

BalancerQuery MakeQuery(const ForwardingState& state,
                        const ForwardedRequest& request,
                        const std::set<std::string>& excluded,
                        bool skip_limited) {
  BalancerQuery query{request.service, request.terms, excluded};
  query.limits = &state.limits;
  query.skip_limited = skip_limited;
  query.pauses = &state.pauses;
  query.leaving = &state.leaving;
  if (request.GoesOn()) {
    query.software_version = request.stream.software_version;
  }
  return query;
}

}  // namespace rudderloom
