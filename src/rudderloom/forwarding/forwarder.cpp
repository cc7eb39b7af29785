#include "rudderloom/forwarding/forwarder.hpp"

#include <algorithm>  // for clamp, max, min, none_of
#include <optional>   // for optional
#include <utility>    // for move

#include "forwarding/request_checks.hpp"            // for RequestChecks
#include "forwarding/attempt.hpp"                   // for RunAttempt
#include "forwarding/crash_check.hpp"               // for RecordConnectionBreak
#include "forwarding/forward_refusal.hpp"           // for ForwardRefusal
#include "forwarding/limit_check.hpp"               // for AcquirePermit
#include "forwarding/prompt_turn.hpp"               // for AwaitPromptTurn
#include "forwarding/request_end.hpp"               // for LogRequestEnd, LogFailedAttempt
#include "forwarding/stream_version.hpp"            // for FindStreamVersion
#include "forwarding/request_samples.hpp"           // for RecordStream, OfferedTime
#include "forwarding/tried_endpoints.hpp"           // for TriedEndpoints
#include "rudderloom/forwarding/held_requests.hpp"  // for HeldRequest, ScopedHold
#include "rudderloom/http/call_guard.hpp"           // for CallGuard

namespace rudderloom {

namespace {

// Remaining time below which no attempt is started.
constexpr Duration kMinAttemptTime{40};
constexpr Duration kMinRetryDelay{300};
// Clients that retry later than this are usually past their deadline.
constexpr Duration kMaxRetryDelay{8'000};
constexpr std::uint32_t kMaxConnectFailures = 4;
// For rate-limited endpoints. Each permit request takes about 5 ms; after the last one only
// endpoints without a limit are used.
constexpr std::uint32_t kMaxPermitRequests = 4;
// Requests to plain services wait for a slot for this part of their goal.
constexpr int kPlainHoldDivisor = 4;
// Endpoints that are asked for a turn before a request is held or refused.
constexpr std::size_t kMaxTurnEndpoints = 3;
// At endpoints that crash from rejections, requests wait for a free slot here, for this part of
// their goal.
constexpr int kFreeSlotWaitDivisor = 2;
constexpr Duration kFreeSlotCheckInterval{20};
constexpr Duration kMinSlotWait{2};
constexpr double kAnswerTimeoutGoals = 2.5;
constexpr int kEventTimeoutPauses = 4;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

// Handles one client request over all its attempts.
class RequestForwarder {
 public:
  RequestForwarder(ForwardingState& state, HttpExchange& exchange)
      : state_(state),
        exchange_(exchange),
        arrived_(Now()),
        terms_(state.dialect.ReadRequest(exchange.Request())),
        checks_(state, exchange, terms_, arrived_) {}

  Awaitable<void> Run() {
    const auto refusal = co_await checks_.Check();
    routes_ = checks_.Routes();
    route_ = checks_.MatchedRoute();
    if (refusal) {
      retry_delay_ = checks_.RetryDelay();
      co_await Refuse(*refusal);
      co_return;
    }
    service_ = ChooseService(*route_, state_.random());
    state_.retries.CountRequest(service_, arrived_);
    deadline_at_ = std::min(arrived_ + checks_.TimeLimit(), state_.stop_deadline);
    CountDemand();
    CallGuard guard(state_.context, state_.guards, deadline_at_,
                    [this] { return MayAbandonEndpoint(); });
    guard_ = &guard;
    exchange_.WatchPeer([&guard] { guard.ClientDisconnected(); });
    const bool may_go_on = co_await MayGoOn();
    if (may_go_on) {
      co_await TryEndpoints();
    } else {
      co_await Refuse(ForwardRefusal::kStreamVersion);
    }
    exchange_.StopWatching();
    guard_ = nullptr;
  }

 private:
  // Adds the request's expected service time to the demand. Refused requests count too; otherwise a
  // model under a burst would look idle.
  void CountDemand() {
    const Duration offered = OfferedTime(state_.balancer.Work(), service_, terms_);
    for (const UnitName& unit : RequestedUnits(service_, terms_)) {
      state_.units[unit].offered += offered;
    }
  }

  // False if the client takes a stream up of which no version is known.
  Awaitable<bool> MayGoOn() {
    if (!terms_.resumes_stream) {
      co_return true;
    }
    const auto version = co_await FindStreamVersion(state_, service_, terms_.began_as);
    stream_.software_version = version.value_or("");
    co_return version.has_value();
  }

  // Tries endpoints until one has answered or no further attempt makes sense.
  Awaitable<void> TryEndpoints() {
    while (true) {
      const FleetViewPtr view = state_.views.Current();
      if (attempts_ == 0 && checks_.KeyRevoked(*view)) {
        co_await Refuse(ForwardRefusal::kUnknownKey);
        co_return;
      }
      if (checks_.Quarantined(*view)) {
        co_await Refuse(ForwardRefusal::kQuarantined);
        co_return;
      }
      const std::set<std::string> excluded = Excluded();
      const BalancerQuery query = MakeQuery(excluded, permit_requests_ >= kMaxPermitRequests);
      auto chosen = state_.balancer.Choose(*view, query, Now());
      if (auto* none = std::get_if<NoEndpointReason>(&chosen)) {
        if (!without_turn_.empty()) {
          if (!co_await HoldOrRefuse()) {
            co_return;
          }
          continue;
        }
        if (!co_await AwaitEndpoint(*none)) {
          co_return;
        }
        continue;
      }
      last_choice_ = std::get<EndpointChoice>(chosen);
      for (const UnitName& unit : RequestedUnits(service_, terms_)) {
        state_.missing.MarkResident(unit);
      }
      const EndpointRecord endpoint = view->endpoints[last_choice_.index].record;
      admission_ = co_await DecideStart(endpoint);
      if (admission_ == Admission::kHeld) {
        if (!co_await HoldOrRefuse()) {
          co_return;
        }
        continue;
      }
      if (admission_ == Admission::kRefused) {
        co_await Refuse(ForwardRefusal::kOverloaded);
        co_return;
      }
      const bool permitted = co_await ObtainPermit(endpoint);
      if (!permitted && !without_turn_.empty()) {
        if (!co_await HoldOrRefuse()) {
          co_return;
        }
        continue;
      }
      if (!permitted) {
        const bool answered = co_await HandleInterruption();
        if (answered) {
          co_return;
        }
        continue;
      }
      const AttemptResult result = co_await RunOneAttempt(endpoint, last_choice_.added_load);
      if (!co_await HandleResult(endpoint, result)) {
        co_return;
      }
    }
  }

  BalancerQuery MakeQuery(const std::set<std::string>& excluded, bool skip_limited) const {
    BalancerQuery query{service_, terms_, excluded};
    query.limits = &state_.limits;
    query.skip_limited = skip_limited;
    query.pauses = &state_.pauses;
    query.leaving = &state_.leaving;
    if (GoesOn()) {
      query.software_version = stream_.software_version;
    }
    return query;
  }

  // The client has events of this stream.
  bool GoesOn() const { return terms_.resumes_stream || stream_.started; }

  // No endpoint of the version that began the stream can take it.
  bool VersionGone() const {
    if (!GoesOn() || stream_.software_version.empty() || tried_.AnyUnreachable() ||
        tried_.AnyFull()) {
      return false;
    }
    const FleetViewPtr view = state_.views.Current();
    return std::none_of(view->endpoints.begin(), view->endpoints.end(),
                        [&](const FleetEndpoint& endpoint) {
                          const EndpointRecord& record = endpoint.record;
                          return record.service == service_ &&
                                 record.software_version == stream_.software_version &&
                                 FindModel(record.models, terms_.model) != nullptr;
                        });
  }

  // Endpoints that the next choice excludes.
  std::set<std::string> Excluded() const {
    std::set<std::string> excluded = tried_.Excluded();
    excluded.insert(without_turn_.begin(), without_turn_.end());
    return excluded;
  }

  // Decides about the start of a model request by the forecast, and where many nodes share the
  // endpoint also by its turn there: the forecast does not know the prompts of the last 300 ms.
  // Requests that have started or been attempted are not refused.
  Awaitable<Admission> DecideStart(const EndpointRecord& endpoint) {
    if (terms_.model.empty() || stream_.started || attempts_ > 0) {
      co_return Admission::kAdmitted;
    }
    const Admission admission = DecideAdmission(MakeAdmissionQuery(), *route_);
    if (admission != Admission::kAdmitted) {
      decided_by_ = "forecast";
      co_return admission;
    }
    const PromptTurn turn = co_await AwaitPromptTurn(state_, *guard_, MakeTurnRequest(endpoint));
    waited_ += turn.waited;
    switch (turn.verdict) {
      case TurnVerdict::kGranted:
        without_turn_.clear();
        co_return Admission::kAdmitted;
      case TurnVerdict::kRefused:
        NoTurnAt(endpoint, turn.next);
        co_return Admission::kHeld;
      case TurnVerdict::kInterrupted:
        co_return Admission::kHeld;
      case TurnVerdict::kNotSpaced:
        break;
    }
    co_return Admission::kAdmitted;
  }

  AdmissionQuery MakeAdmissionQuery() const {
    AdmissionQuery query;
    query.forecast = last_choice_.forecast;
    query.spent = Between(arrived_, Now());
    if (!ControlsOverload()) {
      query.forecast.if_admitted_bound = query.forecast.if_admitted;
      query.forecast.longest_pause = Duration(0);
      return query;
    }
    query.is_next = !state_.held.AnyBefore(HeldPosition());
    // One prompt of each more urgent kind can follow without a pause that is too long.
    query.headroom =
        state_.balancer.Work().PromptTime(service_, terms_.model, terms_.tokens_in) * Rank();
    query.hold_limit = MaxHold();
    const EndpointWork idle{last_choice_.added_load.unread_tokens, 0};
    query.own_pause = state_.balancer.Work().Forecast(service_, terms_.model, idle).longest_pause;
    return query;
  }

  bool ControlsOverload() const {
    return state_.overload_control == OverloadControl::kOn ||
           (state_.overload_control == OverloadControl::kAuto &&
            routes_->CallersGiveUpBeforeLoads());
  }

  // Number of more urgent kinds of request for the service.
  std::uint32_t Rank() const { return routes_->MoreUrgentPriorities(service_, route_->priority); }

  // Forecast time to the first event at an endpoint without other work.
  Duration IdleStart() const {
    const EndpointWork idle{last_choice_.added_load.unread_tokens, 0};
    return state_.balancer.Work().Forecast(service_, terms_.model, idle).first_event_bound;
  }

  Duration MaxHold() const {
    if (state_.stopping || !ControlsOverload()) {
      return Duration(0);
    }
    return terms_.model.empty() ? route_->goal / kPlainHoldDivisor
                                : HoldLimit(*route_, IdleStart());
  }

  TurnRequest MakeTurnRequest(const EndpointRecord& endpoint) const {
    TurnRequest request;
    request.endpoint = endpoint;
    if (!ControlsOverload()) {
      return request;
    }
    request.spacing = state_.balancer.Work().PromptSpacing(
        service_, terms_.model, last_choice_.added_load.unread_tokens, route_->longest_pause);
    const Duration spent = Between(arrived_, Now());
    const Duration forecast = last_choice_.forecast.if_admitted_bound;
    const Duration left = std::max(Duration(0), route_->goal - spent - forecast);
    request.max_wait = MaxTurnWait({left, route_->longest_pause, Rank(), spent >= MaxHold()});
    return request;
  }

  // Tries another endpoint, or waits before the next decision, or refuses the request. False once
  // the request has been answered.
  Awaitable<bool> HoldOrRefuse() {
    if (guard_->Cause() != Interruption::kNone) {
      co_return !co_await HandleInterruption();
    }
    const bool tries_another = std::exchange(refused_turn_, false);
    if (tries_another && without_turn_.size() < kMaxTurnEndpoints &&
        last_choice_.candidate_count > 1) {
      co_return true;
    }
    const Duration spent = Between(arrived_, Now());
    const Duration wait = HoldTime(spent);
    if (spent + wait > MaxHold()) {
      co_await Refuse(ForwardRefusal::kOverloaded);
      co_return false;
    }
    without_turn_.clear();
    const bool answered = co_await Hold(wait);
    co_return !answered;
  }

  HeldRequest HeldPosition() const {
    return {{service_, terms_.model}, checks_.Priority(), deadline_at_};
  }

  // Time until the next decision on admission. A slot has been refused with the time at which there
  // is one. A request of the most urgent kind that was refused a turn can't be on time anywhere.
  Duration HoldTime(Duration spent) {
    if (without_turn_.empty()) {
      return HoldInterval(spent, state_.random());
    }
    if (terms_.model.empty()) {
      return std::max(kMinSlotWait, retry_delay_);
    }
    return Rank() == 0 ? Duration::max() - spent : HoldInterval(spent, state_.random());
  }

  // Waits before the next decision on admission; true if the request has been answered meanwhile.
  Awaitable<bool> Hold(Duration wait) {
    const TimePoint began = Now();
    {
      const ScopedUnitCount waiting(state_.units, RequestedUnits(service_, terms_),
                                    &UnitCount::waiting);
      const ScopedHold held(state_.held, HeldPosition());
      state_.metrics.Count({"rudderloom_held_total"});
      guard_->WaitTimer().expires_after(wait);
      co_await guard_->WaitTimer().async_wait(kAsTuple);
    }
    waited_ += Between(began, Now());
    co_return co_await HandleInterruption();
  }

  // Obtains a permit if the endpoint has a limit. Does not wait for one if other candidates have no
  // rate limit.
  Awaitable<bool> ObtainPermit(const EndpointRecord& endpoint) {
    PermitNeeds needs;
    needs.endpoint = endpoint;
    needs.in_flight = SharedSlotTerms(endpoint);
    if (const auto tolerated = last_choice_.tolerated_rejections) {
      needs.slot = SlotTerms{*tolerated, endpoint.slots, Between(Now(), deadline_at_)};
    } else if (!needs.in_flight && !state_.limits.LimitOf(KeyOf(endpoint.instance))) {
      co_return true;
    }
    ++permit_requests_;
    const Duration patience = Between(Now(), LatestStart());
    const Duration max_wait = last_choice_.has_unlimited_alternative ? Duration(0) : kMaxPermitWait;
    needs.max_wait = std::min(patience, max_wait);
    const AcquiredPermit permit = co_await AcquirePermit(state_, *guard_, std::move(needs));
    slot_ = permit.may_send ? permit.slot : nullptr;
    if (permit.in_flight == InFlightOutcome::kRefused) {
      NoTurnAt(endpoint, permit.wait);
      co_return false;
    }
    if (permit.in_flight == InFlightOutcome::kUnanswered && permit.may_send) {
      co_return MaySendAlone(endpoint);
    }
    if (permit.may_send) {
      without_turn_.clear();
    }
    co_return permit.may_send;
  }

  // The terms of a request to a service that has fewer slots than there are nodes.
  std::optional<InFlightTerms> SharedSlotTerms(const EndpointRecord& endpoint) const {
    const FleetViewPtr view = state_.views.Current();
    const ServiceSpec* service = routes_->Service(service_);
    ServiceSize size;
    size.live_nodes = view->live_nodes;
    size.has_engine = service != nullptr && service->engine.has_value();
    const auto listed = view->by_service.find(service_);
    if (!ControlsOverload() || !terms_.model.empty() || listed == view->by_service.end()) {
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
    basis.goal = route_->goal;
    basis.typical_time = state_.balancer.Work().TypicalHoldTime(service_, "");
    basis.remaining = Between(Now(), deadline_at_);
    return SlotGrantTerms(basis);
  }

  // Without a granting node, this node bounds what it sends by itself.
  bool MaySendAlone(const EndpointRecord& endpoint) {
    const Duration wait = state_.solo_sends.Wait(service_, Now());
    if (wait > Duration(0)) {
      NoTurnAt(endpoint, wait);
      return false;
    }
    without_turn_.clear();
    state_.solo_sends.Sent(service_, Between(Now(), deadline_at_), Now());
    sends_alone_ = true;
    return true;
  }

  void NoTurnAt(const EndpointRecord& endpoint, Duration next) {
    decided_by_ = terms_.model.empty() ? "slots" : "turn";
    retry_delay_ = without_turn_.empty() ? next : std::min(retry_delay_, next);
    without_turn_.insert(endpoint.instance);
    refused_turn_ = true;
  }

  // Latest useful start: shortly before the client gives up or the deadline passes.
  TimePoint LatestStart() const {
    return std::min(deadline_at_, arrived_ + route_->patience) - kMinAttemptTime;
  }

  // When the requested model and adapter are expected to be resident on one endpoint.
  TimePoint ExpectedResidency() {
    if (tried_.AnyUnreachable()) {
      return Now();  // an endpoint holds it and may become reachable at any moment
    }
    const ServiceSpec* service = routes_->Service(service_);
    const std::vector<UnitName> units = RequestedUnits(service_, terms_);
    // An adapter is never resident without its model, and it is not known here which of them is
    // missing.
    const TimePoint estimated = state_.missing.RecordMissing(units.back(), service, Now());
    const auto announced = FindExpected(state_.views.Current()->load_forecast, units.back());
    if (!announced) {
      // A full endpoint holds them, so nothing is missing that would be loaded. A started stream is
      // not cut while another endpoint may still turn up.
      return tried_.AnyFull() && !stream_.started ? TimePoint::max() : estimated;
    }
    if (!waiting_ahead_) {
      waiting_ahead_ = std::max(announced->waiting, state_.units[units.back()].waiting);
    }
    const bool has_engine = service != nullptr && service->engine;
    const std::uint32_t slots = has_engine ? service->engine->slots : 1;
    return std::max(announced->ends_at, Now()) +
           BacklogTime(state_.balancer.Work(), service_, terms_, *waiting_ahead_, slots);
  }

  // Time until an endpoint that rejected the request as full is expected to take one like it.
  Duration FullEndpointDelay() const {
    return std::max(kMinRetryDelay, last_choice_.forecast.if_deferred);
  }

  // No endpoint can take the request: readmits one that failed, or waits for a new view. Returns
  // false once the request has been answered.
  Awaitable<bool> AwaitEndpoint(NoEndpointReason reason) {
    if (tried_.ReadmitFailed()) {
      co_return true;
    }
    if (reason == NoEndpointReason::kRateLimited) {
      retry_delay_ = state_.limits.MinWait(Now());
      co_await Refuse(ForwardRefusal::kEndpointLimit);
      co_return false;
    }
    if (reason == NoEndpointReason::kFull || reason == NoEndpointReason::kPaused) {
      co_return co_await AwaitFreeSlot(reason);
    }
    if (VersionGone()) {
      co_await Refuse(ForwardRefusal::kStreamVersion);
      co_return false;
    }
    const bool may_become_resident = !terms_.model.empty() && !state_.stopping;
    const TimePoint expected_at = may_become_resident ? ExpectedResidency() : TimePoint::max();
    if (!may_become_resident || expected_at > LatestStart() || Now() >= LatestStart()) {
      retry_delay_ = tried_.AnyFull()      ? FullEndpointDelay()
                     : may_become_resident ? Between(Now(), expected_at)
                                           : kMinRetryDelay;
      state_.sample_soon();
      co_await Refuse(RefusalWithoutEndpoint(reason));
      co_return false;
    }
    co_await WaitForView();
    tried_.ReadmitUnreachable();
    co_return !co_await HandleInterruption();
  }

  // Waits for an endpoint that may be used as long as the answer can still be in time. Returns
  // false once the request has been answered.
  Awaitable<bool> AwaitFreeSlot(NoEndpointReason reason) {
    const TimePoint now = Now();
    const TimePoint latest =
        std::min(LatestStart(), arrived_ + route_->goal / kFreeSlotWaitDivisor);
    const Duration pause = reason == NoEndpointReason::kPaused ? ShortestPause(now) : Duration(0);
    const Duration wait =
        std::clamp(state_.limits.MinPause(now), kMinSlotWait, kFreeSlotCheckInterval);
    if (state_.stopping || now + std::max(pause, wait) > latest) {
      retry_delay_ = std::max(pause, kMinRetryDelay);
      co_await Refuse(ForwardRefusal::kOverloaded);
      co_return false;
    }
    permit_requests_ = 0;
    guard_->WaitTimer().expires_after(wait);
    co_await guard_->WaitTimer().async_wait(kAsTuple);
    co_return !co_await HandleInterruption();
  }

  // Until the first endpoint of the service that holds the model may be used again.
  Duration ShortestPause(TimePoint now) const {
    Duration shortest = kMaxRetryDelay;
    for (const FleetEndpoint& endpoint : state_.views.Current()->endpoints) {
      const EndpointRecord& record = endpoint.record;
      const bool is_candidate =
          record.service == service_ &&
          (terms_.model.empty() || FindModel(record.models, terms_.model) != nullptr);
      const Duration pause = state_.pauses.Remaining(KeyOf(record.instance), now);
      if (is_candidate && pause > Duration(0)) {
        shortest = std::min(shortest, pause);
      }
    }
    return shortest;
  }

  ForwardRefusal RefusalWithoutEndpoint(NoEndpointReason reason) const {
    if (!tried_.Excluded().empty()) {
      return last_refusal_;
    }
    return reason == NoEndpointReason::kNoEndpoints ? ForwardRefusal::kNoEndpoint
                                                    : ForwardRefusal::kNotResident;
  }

  // Counts the request as waiting demand, so that the lease holder orders a load.
  Awaitable<void> WaitForView() {
    const ScopedUnitCount waiting(state_.units, RequestedUnits(service_, terms_),
                                  &UnitCount::waiting);
    state_.sample_soon();
    const TimePoint began = Now();
    co_await state_.views.WaitForNext(guard_->WaitTimer(), LatestStart());
    waited_ += Between(began, Now());
  }

  Awaitable<AttemptResult> RunOneAttempt(const EndpointRecord& endpoint, EndpointLoad added_load) {
    const TimePoint started = Now();
    AttemptParams params;
    params.endpoint = endpoint;
    params.terms = &terms_;
    params.route = route_;
    params.deadline_at = deadline_at_;
    params.caller = checks_.EndpointCaller();
    params.urgency = UrgencyOf(admission_, *route_, checks_.Priority(), last_choice_.forecast,
                               last_choice_.hold_time, Between(arrived_, started));
    if (admission_ == Admission::kDeferred) {
      // Its prompt is processed once a slot is free, after the prompts of the other requests.
      added_load.deferred = added_load.requests;
      added_load.unread_tokens = 0;
      state_.metrics.Count({"rudderloom_deferred_total"});
    }
    params.answer_timeout = AnswerTimeout();
    params.event_timeout = route_->longest_pause * kEventTimeoutPauses;
    params.stream = &stream_;
    state_.balancer.RequestStarted(endpoint.instance, terms_, added_load, started);
    params.on_answer_started = [&] {
      state_.balancer.AnswerStarted(endpoint.instance, added_load);
      if (slot_) {
        slot_->Accepted();
      }
    };
    params.on_connecting = [this] { attempt_connecting_ = true; };
    params.on_sent = [this] {
      attempt_connecting_ = false;
      if (slot_) {
        slot_->Sent();
      }
    };
    if (slot_) {
      params.send_by = slot_->SendBy();
    }
    if (GoesOn()) {
      if (state_.log_quota.Allows(started)) {
        LogResumedStream({terms_, endpoint, stream_.software_version});
      }
    } else if (route_->kind == RouteKind::kStream) {
      RecordStreamStart(state_, service_, {terms_.id, endpoint.software_version});
    }
    attempt_instance_ = endpoint.instance;
    attempt_connecting_ = true;
    AttemptResult result;
    {
      const ScopedUnitCount running(state_.units, RequestedUnits(service_, terms_),
                                    &UnitCount::running);
      result = co_await RunAttempt(state_, exchange_, *guard_, std::move(params));
    }
    state_.balancer.RequestEnded(endpoint.instance, added_load, result.feedback, Now());
    if (slot_ && result.feedback == EndpointFeedback::kShed) {
      slot_->Rejected();
    }
    slot_.reset();
    EndSendAlone(result);
    if (result.not_resident) {
      state_.balancer.MarkNotResident(endpoint.instance, terms_, Now());
    }
    const bool answered = result.outcome == AttemptOutcome::kAnswered && attempts_ == 0;
    if (answered && terms_.model.empty() && last_choice_.load.requests < endpoint.slots) {
      constexpr std::uint64_t kOneAnswer = 1;
      state_.balancer.Work().RecordAnswer(service_, "", kOneAnswer, Between(started, Now()));
    }
    if (answered) {
      RecordStream({service_, terms_, last_choice_, stream_.pace, endpoint.slots, started},
                   state_.balancer.Work());
    }
    state_.metrics.Observe({"rudderloom_attempt_seconds", "service", service_},
                           std::chrono::duration<double>(Now() - started).count());
    guard_->SetCancel({});
    guard_->SetResponseDeadline(std::nullopt);
    co_return result;
  }

  void EndSendAlone(const AttemptResult& result) {
    if (!std::exchange(sends_alone_, false)) {
      return;
    }
    if (result.feedback == EndpointFeedback::kShed) {
      state_.solo_sends.Rejected(service_, Now());
    } else {
      state_.solo_sends.Ended(service_);
    }
  }

  // Only repeatable requests are withdrawn from a silent endpoint.
  std::optional<Duration> AnswerTimeout() const {
    if (!route_->Repeatable() || attempts_ + 1 >= route_->max_attempts) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(route_->goal * kAnswerTimeoutGoals);
  }

  // Abandons a silent endpoint only if another one can take the request and the retry budget allows
  // it, and takes the retry from the budget at once. Otherwise a pending answer would be lost for
  // nothing.
  bool MayAbandonEndpoint() {
    if (attempt_connecting_) {
      return true;
    }
    std::set<std::string> excluded = tried_.Excluded();
    excluded.insert(attempt_instance_);
    constexpr bool kSkipLimited = true;
    const BalancerQuery query = MakeQuery(excluded, kSkipLimited);
    const FleetViewPtr view = state_.views.Current();
    const auto other = state_.balancer.Choose(*view, query, Now());
    if (std::holds_alternative<NoEndpointReason>(other)) {
      return false;
    }
    retry_prepaid_ = state_.retries.Spend(service_, view->live_nodes, Now());
    return retry_prepaid_;
  }

  // Handles the result of an attempt; true if another attempt should be made.
  Awaitable<bool> HandleResult(const EndpointRecord& endpoint, const AttemptResult& result) {
    if (result.outcome == AttemptOutcome::kAnswered || result.outcome == AttemptOutcome::kFailed) {
      checks_.MarkMayHaveRun();
    }
    UpdateCrashWatch(endpoint, result);
    if (result.outcome == AttemptOutcome::kAnswered) {
      LogEnd(endpoint.instance, "answered", result.status);
      co_return false;
    }
    if (state_.log_quota.Allows(Now())) {
      LogFailedAttempt({terms_.id, checks_.Digests().front(), terms_.prompt, endpoint.instance,
                        result.reason, result.error, result.status, result.retry_after,
                        attempts_ + 1, Between(arrived_, Now())});
    }
    const bool answered = co_await HandleInterruption();
    if (answered) {
      co_return false;
    }
    guard_->ClearSilence();
    tried_.Add(endpoint.instance, OutcomeOf(result));
    if (result.outcome == AttemptOutcome::kNotConnected) {
      last_refusal_ = ForwardRefusal::kConnect;
      if (++connect_failures_ < kMaxConnectFailures) {
        co_return true;
      }
      co_await Refuse(last_refusal_);
      co_return false;
    }
    if (result.outcome == AttemptOutcome::kNotRun && result.feedback == EndpointFeedback::kShed) {
      RecordRejection(state_, {service_, endpoint, last_choice_.load.requests, terms_.id});
    }
    ++attempts_;
    const bool not_run = result.outcome == AttemptOutcome::kNotRun;
    may_have_run_ = may_have_run_ || !not_run;
    last_refusal_ = not_run ? ForwardRefusal::kShed : ForwardRefusal::kBroken;
    if (MayRepeat(not_run)) {
      state_.metrics.Count({"rudderloom_retries_total", "reason", result.reason});
      co_return true;
    }
    if (result.reply) {
      LogEnd(endpoint.instance, "answered", result.reply->status);
      co_await exchange_.Send(*result.reply);
      co_return false;
    }
    co_await Refuse(last_refusal_);
    co_return false;
  }

  // Updates crash detection with the result of an attempt.
  void UpdateCrashWatch(const EndpointRecord& endpoint, const AttemptResult& result) {
    if (result.refused) {
      RecordEndpointEnd(state_, endpoint);
    } else if (result.broken && !result.through_gateway) {
      RecordConnectionBreak(state_, endpoint, checks_.Digests(), result.sent_at);
    } else if (result.outcome == AttemptOutcome::kAnswered && !result.ends_with_connection) {
      RecordAnswered(state_, checks_.Digests());
    }
  }

  bool MayRepeat(bool not_run) {
    const TimePoint now = Now();
    if (attempts_ >= route_->max_attempts || now + kMinAttemptTime >= deadline_at_) {
      return false;
    }
    if (may_have_run_ && !route_->Repeatable()) {
      return false;
    }
    if (stream_.started && !stream_.has_events) {
      return false;
    }
    if (!not_run && stream_.started && !stream_.sequence.Numbered()) {
      return false;
    }
    // Retries serve requests that were merely in flight when an endpoint crashed. A request that
    // was present at two crashes may be sent again by its client, but is not retried by this node.
    if (checks_.Suspected(*state_.views.Current())) {
      state_.metrics.Count({"rudderloom_retries_refused_total", "reason", "suspected"});
      return false;
    }
    if (std::exchange(retry_prepaid_, false)) {
      return true;
    }
    if (!state_.retries.Spend(service_, state_.views.Current()->live_nodes, now)) {
      state_.metrics.Count({"rudderloom_retries_refused_total", "reason", "budget"});
      return false;
    }
    return true;
  }

  // Answers the client if the deadline passed, and aborts the exchange if it disconnected; true if
  // the request is finished.
  Awaitable<bool> HandleInterruption() {
    if (guard_->Cause() == Interruption::kClientDisconnected) {
      exchange_.Abort();
      LogEnd("", "client_gone", 0);
      state_.metrics.Count({"rudderloom_requests_total", "result", "client_gone"});
      co_return true;
    }
    if (guard_->Cause() == Interruption::kDeadlineExceeded) {
      co_await Refuse(ForwardRefusal::kDeadlineExceeded);
      co_return true;
    }
    co_return false;
  }

  // Delay after which a retry is likely to be served.
  std::optional<Duration> RetryDelay(ForwardRefusal refusal, unsigned status) const {
    const bool not_run = status == kUnavailable || status == kTooManyRequests;
    // Nobody will know more of the stream later.
    if (!not_run || refusal == ForwardRefusal::kStreamVersion) {
      return std::nullopt;
    }
    if (refusal == ForwardRefusal::kStopping) {
      return Duration(0);  // other nodes can serve it at once
    }
    const Duration delay = refusal == ForwardRefusal::kOverloaded
                               ? std::max(retry_delay_, last_choice_.forecast.if_deferred)
                               : retry_delay_;
    return std::clamp(delay, kMinRetryDelay, kMaxRetryDelay);
  }

  Awaitable<void> Refuse(ForwardRefusal refusal) {
    state_.metrics.Count({"rudderloom_refusals_total", "reason", NameOf(refusal)});
    const unsigned status = StatusOf(refusal, may_have_run_);
    refused_delay_ = stream_.started ? std::nullopt : RetryDelay(refusal, status);
    LogEnd("", NameOf(refusal), status);
    if (stream_.started) {
      // The client sees that the answer is truncated.
      exchange_.Abort();
      co_return;
    }
    Reply reply;
    reply.status = status;
    reply.body = "{\"error\":\"" + std::string(NameOf(refusal)) + "\"}";
    reply.headers = state_.dialect.RefusalHeaders(terms_.id, refused_delay_);
    co_await exchange_.Send(std::move(reply));
  }

  // Age of what is known of other nodes' requests.
  Duration LoadAge() const {
    const TimePoint until = state_.views.Current()->holder_permits_until;
    const TimePoint now = Now();
    return until == TimePoint::max() || until == TimePoint()
               ? Duration(0)
               : Between(until - kMaxHolderMessageAge, now);
  }

  void LogEnd(const std::string& instance, std::string_view outcome, unsigned status) {
    if (!state_.log_quota.Allows(Now())) {
      return;
    }
    RequestEnd end{terms_, routes_, route_, service_, last_choice_, stream_.pace};
    end.admission = admission_;
    end.customer = checks_.Customer();
    end.endpoint = instance;
    end.outcome = outcome;
    end.status = status;
    end.attempts = attempts_ + 1;
    end.waited = waited_;
    end.retry_delay = refused_delay_;
    end.decided_by = decided_by_;
    end.load_age = LoadAge();
    LogRequestEnd(end, arrived_, Now());
  }

  ForwardingState& state_;
  HttpExchange& exchange_;
  const TimePoint arrived_;
  const RequestMetadata terms_;
  RequestChecks checks_;
  RouteTablePtr routes_;
  const Route* route_ = nullptr;
  std::string service_;
  TimePoint deadline_at_;
  CallGuard* guard_ = nullptr;
  StreamState stream_;
  TriedEndpoints tried_;
  std::optional<Duration> refused_delay_;  // told to the client
  std::string_view decided_by_;         // what delayed or refused the request last; empty: nothing
  bool sends_alone_ = false;            // the current attempt counts in `solo_sends`
  bool refused_turn_ = false;           // the last decision was a refused turn or slot
  std::set<std::string> without_turn_;  // endpoints that granted no turn since the last hold
  std::shared_ptr<SlotUse> slot_;       // of the current attempt, if it needs one
  EndpointChoice last_choice_;          // the latest chosen endpoint and what was known about it
  Admission admission_ = Admission::kAdmitted;
  Duration retry_delay_ = kMinRetryDelay;
  Duration waited_{0};  // time spent waiting for an endpoint that holds the model
  // Requests waiting for the same unit when its forecast was first seen. Not updated, so that those
  // that arrive later don't cause a refusal.
  std::optional<std::uint32_t> waiting_ahead_;
  std::uint32_t attempts_ = 0;
  std::uint32_t connect_failures_ = 0;
  std::uint32_t permit_requests_ = 0;
  bool may_have_run_ = false;
  std::string attempt_instance_;     // of the current attempt
  bool attempt_connecting_ = false;  // the current attempt has sent nothing yet
  bool retry_prepaid_ = false;       // the next retry is already taken from the budget
  ForwardRefusal last_refusal_ = ForwardRefusal::kNoEndpoint;
};

}  // namespace

Awaitable<void> Forward(ForwardingState& state, HttpExchange& exchange) {
  RequestForwarder forwarder(state, exchange);
  co_await forwarder.Run();
}

}  // namespace rudderloom
