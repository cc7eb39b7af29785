#include "forwarding/retry_decision.hpp"

#include <set>      // for set
#include <utility>  // for exchange
#include <variant>  // for holds_alternative

namespace rudderloom {

bool RetryDecision::MayAbandon(const std::string& instance) {
  const StreamState& stream = request_.stream;
  const bool can_go_on = !stream.started || (stream.has_events && stream.sequence.Resumable());
  if (!can_go_on || request_.checks.Suspected(*state_.views.Current())) {
    return false;
  }
  std::set<std::string> excluded = request_.tried.Excluded();
  excluded.insert(instance);
  constexpr bool kSkipLimited = true;
  const BalancerQuery query = MakeQuery(state_, request_, excluded, kSkipLimited);
  const FleetViewPtr view = state_.views.Current();
  const auto other = state_.balancer.Choose(*view, query, Now());
  if (std::holds_alternative<NoEndpointReason>(other)) {
    return false;
  }
  prepaid_ = state_.retries.Spend(request_.service, view->live_nodes, Now());
  return prepaid_;
}

// True if another attempt is in time and can't run the request a second time or repeat events.
bool RetryDecision::IsRepeatable(bool not_run) const {
  const Route& route = *request_.route;
  const StreamState& stream = request_.stream;
  if (request_.attempts >= route.max_attempts || Now() + kMinAttemptTime >= request_.deadline_at) {
    return false;
  }
  if (may_have_run_ && !route.Repeatable()) {
    return false;
  }
  if (stream.started && !stream.has_events) {
    return false;
  }
  return not_run || !stream.started || stream.sequence.Resumable();
}

bool RetryDecision::MayRepeat(bool not_run) {
  if (!IsRepeatable(not_run)) {
    return false;
  }
  // Retries serve requests that were merely in flight when an endpoint crashed. A request that
  // was present at two crashes may be sent again by its client, but is not retried by this node.
  if (request_.checks.Suspected(*state_.views.Current())) {
    state_.metrics.Count({"rudderloom_retries_refused_total", "reason", "suspected"});
    return false;
  }
  if (std::exchange(prepaid_, false)) {
    return true;
  }
  if (!state_.retries.Spend(request_.service, state_.views.Current()->live_nodes, Now())) {
    state_.metrics.Count({"rudderloom_retries_refused_total", "reason", "budget"});
    return false;
  }
  return true;
}

}  // namespace rudderloom
