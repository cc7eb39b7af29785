#include "forwarding/refusal_delay.hpp"

#include <algorithm>  // for clamp, max

namespace rudderloom {

namespace {

constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

// What the endpoints that can serve the request take in.
RetryCapacity CapacityFor(const ForwardingState& state, const ForwardedRequest& request) {
  const FleetViewPtr view = state.views.Current();
  const std::string& model = request.terms.model;
  RetryCapacity capacity;
  capacity.live_nodes = view->live_nodes;
  capacity.endpoints = 0;
  std::uint32_t slots = 0;
  const auto listed = view->by_service.find(request.service);
  if (listed == view->by_service.end()) {
    return capacity;
  }
  for (const std::uint32_t index : listed->second) {
    const EndpointRecord& record = view->endpoints[index].record;
    if (model.empty() || FindModel(record.models, model) != nullptr) {
      ++capacity.endpoints;
      slots += record.slots;
    }
  }
  const WorkModel& work = state.balancer.Work();
  if (model.empty()) {
    // An endpoint takes a request in whenever one of its slots becomes free.
    const std::uint32_t slots_each = slots / std::max(1U, capacity.endpoints);
    capacity.spacing = work.TypicalHoldTime(request.service, "") / std::max(1U, slots_each);
    return capacity;
  }
  const std::uint64_t tokens = request.terms.tokens_in;
  const auto spacing =
      work.PromptSpacing(request.service, model, tokens, request.route->longest_pause);
  capacity.spacing = spacing.value_or(work.PromptTime(request.service, model, tokens));
  return capacity;
}

// The endpoints are busy, and will have room for some of the refused requests at a time.
bool IsForLoad(ForwardRefusal refusal) {
  return refusal == ForwardRefusal::kOverloaded || refusal == ForwardRefusal::kShed;
}

}  // namespace

std::optional<Duration> RefusalDelay(ForwardingState& state,
                                     const ForwardedRequest& request,
                                     ForwardRefusal refusal,
                                     unsigned status) {
  const bool not_run = status == kUnavailable || status == kTooManyRequests;
  // Nobody will know more of the stream later.
  if (!not_run || refusal == ForwardRefusal::kStreamVersion) {
    return std::nullopt;
  }
  if (refusal == ForwardRefusal::kStopping) {
    return Duration(0);  // other nodes can serve it at once
  }
  const Duration room = refusal == ForwardRefusal::kOverloaded
                            ? std::max(request.retry_delay, request.choice.forecast.if_deferred)
                            : request.retry_delay;
  const Duration delay = std::clamp(room, kMinRetryDelay, kMaxRetryDelay);
  if (!IsForLoad(refusal) || !ControlsOverload(state, *request.routes)) {
    return delay;
  }
  const RetryRoom retry{delay, RetryInterval(CapacityFor(state, request))};
  return state.retry_times.Take({request.service, request.terms.model}, retry, state.random(),
                                Now());
}

}  // namespace rudderloom
