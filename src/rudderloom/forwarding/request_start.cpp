#include "forwarding/request_start.hpp"

#include <algorithm>  // for max, min
#include <limits>     // for numeric_limits
#include <utility>    // for exchange, move

#include "forwarding/request_samples.hpp"           // for ScopedUnitCount
#include "rudderloom/forwarding/held_requests.hpp"  // for HeldRequest, ScopedHold

namespace rudderloom {

namespace {

// Requests to plain services wait for a slot for this part of their goal.
constexpr int kPlainHoldDivisor = 4;
// Endpoints that are asked for a turn before a request is held or refused.
constexpr std::size_t kMaxTurnEndpoints = 3;
constexpr Duration kMinSlotWait{2};
// Longest wait of a repeat for its turn, in the longest pauses that its route allows.
constexpr int kRepeatWaitPauses = 2;

}  // namespace

Awaitable<Admission> RequestStart::Decide(const EndpointRecord& endpoint) {
  if (request_.terms.model.empty() || request_.stream.started) {
    co_return Admission::kAdmitted;
  }
  if (request_.attempts > 0) {
    co_await SpaceRepeat(endpoint);
    const bool interrupted = request_.guard->Cause() != Interruption::kNone;
    co_return interrupted ? Admission::kHeld : Admission::kAdmitted;
  }
  const Admission admission = DecideAdmission(MakeAdmissionQuery(), *request_.route);
  if (admission != Admission::kAdmitted) {
    request_.decided_by = "forecast";
  }
  if (admission == Admission::kDeferred && request_.Retried()) {
    const Admission deferred = co_await DecideDeferred(endpoint);
    co_return deferred;
  }
  if (admission != Admission::kAdmitted) {
    co_return admission;
  }
  TurnRequest ask = MakeTurnRequest(endpoint);
  const Admission with_turn = co_await AwaitTurn(endpoint, std::move(ask), Admission::kAdmitted);
  co_return with_turn;
}

// A retried request that can't be on time runs behind all others. The late prompts at an endpoint
// are bounded, and ask for turns, so that streams there do not pause for them.
Awaitable<Admission> RequestStart::DecideDeferred(const EndpointRecord& endpoint) {
  const std::uint32_t limit = MaxLatePrompts(request_.route->longest_pause, PromptTime());
  if (request_.choice.load.deferred >= limit) {
    request_.NoTurnAt(endpoint, request_.choice.forecast.if_deferred);
    request_.decided_by = "late";
    co_return Admission::kHeld;
  }
  TurnRequest ask = MakeLateTurnRequest(endpoint);
  const Admission with_turn = co_await AwaitTurn(endpoint, std::move(ask), Admission::kDeferred);
  co_return with_turn;
}

// Returns `granted` once the request has its turn, or if none is needed.
Awaitable<Admission> RequestStart::AwaitTurn(const EndpointRecord& endpoint,
                                             TurnRequest ask,
                                             Admission granted) {
  const PromptTurn turn = co_await AwaitPromptTurn(state_, *request_.guard, std::move(ask));
  request_.waited += turn.waited;
  switch (turn.verdict) {
    case TurnVerdict::kGranted:
      request_.without_turn.clear();
      co_return granted;
    case TurnVerdict::kRefused:
      request_.NoTurnAt(endpoint, turn.next);
      co_return Admission::kHeld;
    case TurnVerdict::kInterrupted:
      co_return Admission::kHeld;
    case TurnVerdict::kNotSpaced:
      break;
  }
  co_return granted;
}

// A repeat is not refused, since the request may have run. It takes a turn like others: when
// connections to many endpoints break at once, their requests would otherwise all go to the
// remaining ones within some milliseconds.
Awaitable<void> RequestStart::SpaceRepeat(const EndpointRecord& endpoint) {
  TurnRequest ask = MakeTurnRequest(endpoint);
  ask.max_wait = request_.route->longest_pause * kRepeatWaitPauses;
  const PromptTurn turn = co_await AwaitPromptTurn(state_, *request_.guard, std::move(ask));
  request_.waited += turn.waited;
}

AdmissionQuery RequestStart::MakeAdmissionQuery() const {
  const EndpointChoice& choice = request_.choice;
  const std::string& model = request_.terms.model;
  AdmissionQuery query;
  query.forecast = choice.forecast;
  query.spent = request_.Spent();
  if (!ControlsOverload(state_, *request_.routes)) {
    query.forecast.if_admitted_bound = query.forecast.if_admitted;
    query.forecast.longest_pause = Duration(0);
    return query;
  }
  if (request_.Retried()) {
    query.retry_time_left = TimeLeft();
  }
  query.is_next = !state_.held.AnyBefore(HeldPosition());
  // One prompt of each more urgent kind can follow without a pause that is too long.
  query.headroom = PromptTime() * Rank();
  query.hold_limit = MaxHold();
  const EndpointWork idle{choice.added_load.unread_tokens, 0};
  query.own_pause = state_.balancer.Work().Forecast(request_.service, model, idle).longest_pause;
  return query;
}

Duration RequestStart::PromptTime() const {
  return state_.balancer.Work().PromptTime(request_.service, request_.terms.model,
                                           request_.terms.tokens_in);
}

// Number of more urgent kinds of request for the service.
std::uint32_t RequestStart::Rank() const {
  return request_.routes->MoreUrgentPriorities(request_.service, request_.route->priority);
}

// Forecast time to the first event at an endpoint without other work.
Duration RequestStart::IdleStart() const {
  const EndpointWork idle{request_.choice.added_load.unread_tokens, 0};
  return state_.balancer.Work()
      .Forecast(request_.service, request_.terms.model, idle)
      .first_event_bound;
}

Duration RequestStart::MaxHold() const {
  if (state_.stopping || !ControlsOverload(state_, *request_.routes)) {
    return Duration(0);
  }
  if (request_.terms.model.empty()) {
    return request_.route->goal / kPlainHoldDivisor;
  }
  return request_.Retried() ? RetriedHoldLimit(*request_.route, IdleStart())
                            : HoldLimit(*request_.route, IdleStart());
}

// Until the client leaves.
Duration RequestStart::TimeLeft() const {
  return Between(Now(), request_.LatestStart());
}

// Time for which the request may still be held. One whose goal has passed is not: if it is refused
// after a hold, its client has waited twice for nothing.
Duration RequestStart::HoldTimeLeft() const {
  return request_.Late() ? Duration(0) : MaxHold() - request_.Spent();
}

TurnRequest RequestStart::MakeTurnRequest(const EndpointRecord& endpoint) const {
  TurnRequest ask;
  ask.endpoint = endpoint;
  if (!ControlsOverload(state_, *request_.routes)) {
    return ask;
  }
  const Route& route = *request_.route;
  ask.spacing = state_.balancer.Work().PromptSpacing(request_.service, request_.terms.model,
                                                     request_.choice.added_load.unread_tokens,
                                                     route.longest_pause);
  const Duration spent = request_.Spent();
  const Duration forecast = request_.choice.forecast.if_admitted_bound;
  const Duration left = std::max(Duration(0), route.goal - spent - forecast);
  ask.max_wait = MaxTurnWait({left, route.longest_pause, PromptTime(), Rank(), spent >= MaxHold()});
  return ask;
}

// Asks as if the request were of a kind that is less urgent than all others, and for half of its
// goal at most: the queue stays short enough for new requests.
TurnRequest RequestStart::MakeLateTurnRequest(const EndpointRecord& endpoint) const {
  TurnRequest ask = MakeTurnRequest(endpoint);
  const Route& route = *request_.route;
  const std::uint32_t kinds = request_.routes->MoreUrgentPriorities(
      request_.service, std::numeric_limits<std::uint32_t>::max());
  const Duration left = std::max(Duration(0), TimeLeft() - request_.choice.forecast.if_deferred);
  ask.max_wait = MaxTurnWait(
      {std::min(left, route.goal / 2), route.longest_pause, PromptTime(), kinds, false});
  return ask;
}

Awaitable<std::optional<ForwardRefusal>> RequestStart::HoldOrRefuse() {
  if (request_.guard->Cause() != Interruption::kNone) {
    co_return std::nullopt;
  }
  const bool tries_another = std::exchange(request_.refused_turn, false);
  if (tries_another && request_.without_turn.size() < kMaxTurnEndpoints &&
      request_.choice.candidate_count > 1) {
    co_return std::nullopt;
  }
  const Duration left = HoldTimeLeft();
  if (left <= Duration(0) || !GetsTurnWithin(left)) {
    co_return ForwardRefusal::kOverloaded;
  }
  const Duration wait = std::min(left, HoldTime(request_.Spent()));
  request_.without_turn.clear();
  co_await Hold(wait);
  co_return std::nullopt;
}

// False if the request can't be on time, so that it is refused now and not after a hold. A request
// of the most urgent kind that was refused a turn can't be on time anywhere; one that its client
// retries is held all the same. Another one has to wait for those that this node already holds for
// the model, each of which takes one of the turns that fall to this node.
bool RequestStart::GetsTurnWithin(Duration left) const {
  if (request_.terms.model.empty()) {
    return std::max(kMinSlotWait, request_.retry_delay) <= left;
  }
  if (!request_.without_turn.empty() && Rank() == 0 && !request_.Retried()) {
    return false;
  }
  const bool was_held = request_.waited > Duration(0);
  const std::size_t ahead = was_held ? 0 : state_.held.CountUpTo(HeldPosition());
  return GetsTurnBehind(ahead, TurnInterval(), left);
}

// Time between two turns that fall to this node, over all endpoints that hold the model.
Duration RequestStart::TurnInterval() const {
  const Duration spacing =
      state_.balancer.Work()
          .PromptSpacing(request_.service, request_.terms.model,
                         request_.choice.added_load.unread_tokens, request_.route->longest_pause)
          .value_or(Duration(0));
  const std::uint32_t nodes = std::max(1U, state_.views.Current()->live_nodes);
  return spacing * nodes / std::max(1U, request_.choice.candidate_count);
}

// A late request has none of the others wait for it.
HeldRequest RequestStart::HeldPosition() const {
  const std::uint32_t priority =
      request_.Late() ? std::numeric_limits<std::uint32_t>::max() : request_.checks.Priority();
  return {
      {request_.service, request_.terms.model}, priority, request_.deadline_at, request_.Retried()};
}

// Time until the next decision on admission. A slot has been refused with the time at which there
// is one.
Duration RequestStart::HoldTime(Duration spent) {
  if (!request_.without_turn.empty() && request_.terms.model.empty()) {
    return std::max(kMinSlotWait, request_.retry_delay);
  }
  return HoldInterval(spent, state_.random());
}

Awaitable<void> RequestStart::Hold(Duration wait) {
  const TimePoint began = Now();
  {
    const ScopedUnitCount waiting(state_.units, request_.Units(), &UnitCount::waiting);
    const ScopedHold held(state_.held, HeldPosition());
    state_.metrics.Count({"rudderloom_held_total"});
    request_.guard->WaitTimer().expires_after(wait);
    co_await request_.guard->WaitTimer().async_wait(kAsTuple);
  }
  request_.waited += Between(began, Now());
}

}  // namespace rudderloom
