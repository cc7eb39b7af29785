#include "forwarding/request_permit.hpp"

#include <algorithm>  // for min
#include <utility>    // for move

namespace rudderloom {

namespace {

// For rate-limited endpoints. Each permit request takes about 5 ms; after the last one only
// endpoints without a limit are used.
constexpr std::uint32_t kMaxPermitRequests = 4;

}  // namespace

bool RequestPermit::AskedTooOften() const {
  return request_.permit_requests >= kMaxPermitRequests;
}

Awaitable<bool> RequestPermit::Obtain(const EndpointRecord& endpoint) {
  std::optional<PermitNeeds> needs = Needs(endpoint);
  if (!needs) {
    co_return true;
  }
  ++request_.permit_requests;
  const Duration patience = Between(Now(), request_.LatestStart());
  const Duration max_wait =
      request_.choice.has_unlimited_alternative ? Duration(0) : kMaxPermitWait;
  needs->max_wait = std::min(patience, max_wait);
  const AcquiredPermit permit = co_await AcquirePermit(state_, *request_.guard, std::move(*needs));
  if (request_.guard->Interrupted()) {
    co_return false;
  }
  request_.slot = permit.may_send ? permit.slot : nullptr;
  if (permit.in_flight == InFlightOutcome::kRefused) {
    request_.NoTurnAt(endpoint, permit.wait);
    co_return false;
  }
  if (permit.in_flight == InFlightOutcome::kUnanswered && permit.may_send) {
    co_return MaySendAlone(endpoint);
  }
  if (permit.may_send) {
    request_.without_turn.clear();
  }
  co_return permit.may_send;
}

// What a permit is needed for; empty if the endpoint has no limit.
std::optional<PermitNeeds> RequestPermit::Needs(const EndpointRecord& endpoint) const {
  PermitNeeds needs;
  needs.endpoint = endpoint;
  needs.in_flight = SharedSlotTerms(endpoint);
  if (const auto tolerated = request_.choice.tolerated_rejections) {
    needs.slot = SlotTerms{*tolerated, endpoint.slots, Between(Now(), request_.deadline_at)};
  } else if (!needs.in_flight && !state_.limits.LimitOf(KeyOf(endpoint.instance))) {
    return std::nullopt;
  }
  return needs;
}

// The terms of a request to a service that has fewer slots than there are nodes.
std::optional<InFlightTerms> RequestPermit::SharedSlotTerms(const EndpointRecord& endpoint) const {
  const FleetViewPtr view = state_.views.Current();
  const ServiceSpec* service = request_.routes->Service(request_.service);
  ServiceSize size;
  size.live_nodes = view->live_nodes;
  size.has_engine = service != nullptr && service->engine.has_value();
  const auto listed = view->by_service.find(request_.service);
  if (!ControlsOverload(state_, *request_.routes) || !request_.terms.model.empty() ||
      listed == view->by_service.end()) {
    return std::nullopt;
  }
  for (const std::uint32_t index : listed->second) {
    size.slots += view->endpoints[index].record.slots;
  }
  if (!NeedsSlotGrants(size)) {
    return std::nullopt;
  }
  SlotGrantBasis basis;
  basis.slots = endpoint.slots;
  // A late request gets a slot that is free, and no place in the queue.
  basis.goal = request_.Late() ? Duration(0) : request_.route->goal;
  basis.typical_time = state_.balancer.Work().TypicalHoldTime(request_.service, "");
  basis.remaining = Between(Now(), request_.deadline_at);
  InFlightTerms terms = SlotGrantTerms(basis);
  if (basis.typical_time == Duration(0) && !request_.Late()) {
    terms.limit = kLimitOfOthers;
  }
  return terms;
}

// Without a granting node, this node bounds what it sends by itself.
bool RequestPermit::MaySendAlone(const EndpointRecord& endpoint) {
  const Duration wait = state_.solo_sends.Wait(request_.service, Now());
  if (wait > Duration(0)) {
    request_.NoTurnAt(endpoint, wait);
    return false;
  }
  request_.without_turn.clear();
  state_.solo_sends.Sent(request_.service, Between(Now(), request_.deadline_at), Now());
  request_.sends_alone = true;
  return true;
}

}  // namespace rudderloom
