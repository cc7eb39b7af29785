#include "rudderloom/forwarding/forwarder.hpp"

#include <algorithm>  // for clamp, max, min
#include <optional>   // for optional
#include <utility>    // for move

#include "forwarding/arrival.hpp"                // for Arrival
#include "forwarding/attempt.hpp"                // for RunAttempt
#include "forwarding/crash_check.hpp"            // for NoteBreak
#include "forwarding/forward_refusal.hpp"        // for ForwardRefusal
#include "forwarding/limit_check.hpp"            // for TakePermit
#include "forwarding/request_end.hpp"            // for LogRequestEnd, LogFailedAttempt
#include "forwarding/request_samples.hpp"        // for LearnTimes, OfferedTime
#include "forwarding/tried_endpoints.hpp"        // for TriedEndpoints
#include "rudderloom/forwarding/call_guard.hpp"  // for CallGuard

namespace rudderloom {

namespace {

// Less time than this is not worth an attempt.
constexpr Duration kLeastForAttempt{40};
constexpr Duration kComeBackSoon{300};
// A client that comes back later than this will hardly find its deadline open.
constexpr Duration kComeBackMost{8'000};
constexpr std::uint32_t kMostConnectFailures = 4;
// For endpoints with limits. Each takes some 5 ms; after that only other endpoints are used.
constexpr std::uint32_t kMostPermitAsks = 4;
constexpr double kSilenceGoals = 2.5;
constexpr int kSilencePauses = 4;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

// One request of a client, over all its attempts.
class ForwardCall {
 public:
  ForwardCall(ForwardingState& state, HttpExchange& exchange)
      : state_(state),
        exchange_(exchange),
        arrived_(Now()),
        terms_(state.dialect.ReadRequest(exchange.Request())),
        arrival_(state, exchange, terms_, arrived_) {}

  Awaitable<void> Run() {
    const auto refusal = co_await arrival_.Check();
    routes_ = arrival_.Routes();
    route_ = arrival_.TheRoute();
    if (refusal) {
      come_back_ = arrival_.ComeBack();
      co_await Refuse(*refusal);
      co_return;
    }
    service_ = ChooseService(*route_, state_.random());
    state_.retries.Requested(service_, arrived_);
    const Duration timeout = std::min(route_->timeout, terms_.deadline.value_or(kUsualDeadline));
    time_up_ = std::min(arrived_ + timeout, state_.stop_deadline);
    CountDemand();
    CallGuard guard(state_.context, state_.guards, time_up_,
                    [this] { return MayGiveUpEndpoint(); });
    guard_ = &guard;
    exchange_.WatchPeer([&guard] { guard.ClientGone(); });
    co_await Attempts();
    exchange_.StopWatching();
    guard_ = nullptr;
  }

 private:
  // Counts how long the request would be at an endpoint. Requests that are refused count too: a
  // model under a burst would look idle otherwise.
  void CountDemand() {
    const Duration offered = OfferedTime(state_.balancer.Times(), service_, terms_);
    for (const UnitName& unit : RequestedUnits(service_, terms_)) {
      state_.units[unit].offered += offered;
    }
  }

  // Tries endpoints until one answered or there is no sense in another.
  Awaitable<void> Attempts() {
    while (true) {
      const FleetViewPtr view = state_.views.Current();
      if (attempts_ == 0 && arrival_.KeyTakenAway(*view)) {
        co_await Refuse(ForwardRefusal::kUnknownKey);
        co_return;
      }
      if (arrival_.Quarantined(*view)) {
        co_await Refuse(ForwardRefusal::kQuarantined);
        co_return;
      }
      const BalancerAsk ask{service_, terms_, tried_.Excluded(), &state_.limits,
                            permits_asked_ >= kMostPermitAsks};
      auto chosen = state_.balancer.Choose(*view, ask, Now());
      if (auto* none = std::get_if<NoEndpoint>(&chosen)) {
        if (!co_await AwaitEndpoint(*none)) {
          co_return;
        }
        continue;
      }
      last_choice_ = std::get<Choice>(chosen);
      for (const UnitName& unit : RequestedUnits(service_, terms_)) {
        state_.missing.Found(unit);
      }
      admission_ = JudgeChoice();
      if (admission_ == Admission::kRefused) {
        co_await Refuse(ForwardRefusal::kOverloaded);
        co_return;
      }
      const EndpointRecord endpoint = view->endpoints[last_choice_.index].record;
      const bool permitted = co_await Permitted(endpoint);
      if (!permitted) {
        const bool answered = co_await AnsweredInterruption();
        if (answered) {
          co_return;
        }
        continue;
      }
      const AttemptResult result = co_await Try(endpoint, last_choice_.added);
      if (!co_await Another(endpoint, result)) {
        co_return;
      }
    }
  }

  // What is to be done with a request for a model. What has begun goes on.
  Admission JudgeChoice() const {
    if (terms_.model.empty() || stream_.started || attempts_ > 0) {
      return Admission::kInTurn;
    }
    return Admit(last_choice_.forecast, *route_, Between(arrived_, Now()));
  }

  // Whether the endpoint accepts the request. Where others have no limit they come before a wait.
  Awaitable<bool> Permitted(const EndpointRecord& endpoint) {
    if (!state_.limits.LimitOf(KeyOf(endpoint.instance))) {
      co_return true;
    }
    ++permits_asked_;
    const Duration patience = Between(Now(), LatestStart());
    const Duration most_wait = last_choice_.others_unlimited ? Duration(0) : kMostPermitWait;
    co_return co_await TakePermit(state_, *guard_, endpoint, std::min(patience, most_wait));
  }

  // Shortly before the client gives up, or the request's time is over.
  TimePoint LatestStart() const {
    return std::min(time_up_, arrived_ + route_->patience) - kLeastForAttempt;
  }

  // When everything that the request asks for is likely to be at one endpoint.
  TimePoint LikelyResident() {
    if (tried_.AnyUnreachable()) {
      return Now();  // it is there; the way to it comes back at any moment
    }
    const ServiceSpec* service = routes_->Service(service_);
    const std::vector<UnitName> units = RequestedUnits(service_, terms_);
    // The adapter can't come before its model, and nobody knows here which of both is missing.
    const TimePoint assumed = state_.missing.Missed(units.back(), service, Now());
    const auto told = FindExpected(state_.views.Current()->load_forecast, units.back());
    if (!told) {
      return assumed;
    }
    if (!waiting_ahead_) {
      waiting_ahead_ = std::max(told->waiting, state_.units[units.back()].waiting);
    }
    const bool has_engine = service != nullptr && service->engine;
    const std::uint32_t slots = has_engine ? service->engine->slots : 1;
    return std::max(told->ends_at, Now()) +
           BacklogTime(state_.balancer.Times(), service_, terms_, *waiting_ahead_, slots);
  }

  // No endpoint can take the request: goes back to one that failed it, or waits for a change; false
  // once the request was answered.
  Awaitable<bool> AwaitEndpoint(NoEndpoint why) {
    if (tried_.TakeFailed()) {
      co_return true;
    }
    if (why == NoEndpoint::kLimited) {
      come_back_ = state_.limits.LeastWait(Now());
      co_await Refuse(ForwardRefusal::kEndpointLimit);
      co_return false;
    }
    const bool can_come = !terms_.model.empty() && !state_.stopping;
    const TimePoint likely = can_come ? LikelyResident() : TimePoint::max();
    if (!can_come || likely > LatestStart() || Now() >= LatestStart()) {
      come_back_ = can_come ? Between(Now(), likely) : kComeBackSoon;
      state_.sample_soon();
      co_await Refuse(RefusalWithoutEndpoint(why));
      co_return false;
    }
    co_await WaitForView();
    tried_.TakeUnreachable();
    co_return !co_await AnsweredInterruption();
  }

  ForwardRefusal RefusalWithoutEndpoint(NoEndpoint why) const {
    if (!tried_.Excluded().empty()) {
      return last_refusal_;
    }
    return why == NoEndpoint::kNone ? ForwardRefusal::kNoEndpoint : ForwardRefusal::kNotResident;
  }

  // Counts as demand meanwhile, so that the holder of the lease orders a load.
  Awaitable<void> WaitForView() {
    const CountedRequest waiting(state_.units, RequestedUnits(service_, terms_),
                                 &UnitCount::waiting);
    state_.sample_soon();
    const TimePoint began = Now();
    co_await state_.views.WaitForNext(guard_->WaitTimer(), LatestStart());
    waited_ += Between(began, Now());
  }

  Awaitable<AttemptResult> Try(const EndpointRecord& endpoint, EndpointLoad added) {
    const TimePoint started = Now();
    AttemptAsk ask;
    ask.endpoint = endpoint;
    ask.terms = &terms_;
    ask.route = route_;
    ask.time_up = time_up_;
    ask.caller = arrival_.ForEndpoint();
    ask.urgency = UrgencyOf(admission_, *route_, arrival_.Priority(), last_choice_.forecast,
                            last_choice_.hold, Between(arrived_, started));
    if (admission_ == Admission::kDeferred) {
      // It is read when a place is free for it, after the others' prompts.
      added.deferred = added.requests;
      added.unread_tokens = 0;
      state_.metrics.Count({"rudderloom_deferred_total"});
    }
    ask.first_silence = FirstSilence();
    ask.later_silence = route_->longest_pause * kSilencePauses;
    ask.stream = &stream_;
    state_.balancer.Started(endpoint.instance, terms_, added, started);
    ask.on_begun = [&] { state_.balancer.Begun(endpoint.instance, added); };
    ask.on_sent = [this] { attempt_connecting_ = false; };
    attempt_instance_ = endpoint.instance;
    attempt_connecting_ = true;
    AttemptResult result;
    {
      const CountedRequest running(state_.units, RequestedUnits(service_, terms_),
                                   &UnitCount::running);
      result = co_await RunAttempt(state_, exchange_, *guard_, std::move(ask));
    }
    state_.balancer.Ended(endpoint.instance, added, result.mark, Now());
    if (result.not_resident) {
      state_.balancer.NotResident(endpoint.instance, terms_, Now());
    }
    if (result.outcome == AttemptOutcome::kAnswered && attempts_ == 0) {
      LearnTimes({service_, terms_, last_choice_, stream_.pace, endpoint.slots, started},
                 state_.balancer.Times());
    }
    state_.metrics.Observe({"rudderloom_attempt_seconds", "service", service_},
                           std::chrono::duration<double>(Now() - started).count());
    guard_->Attach(nullptr);
    guard_->ExpectBefore(std::nullopt);
    co_return result;
  }

  // Only what may run again is taken away from a silent endpoint.
  std::optional<Duration> FirstSilence() const {
    if (!route_->Repeatable() || attempts_ + 1 >= route_->max_attempts) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(route_->goal * kSilenceGoals);
  }

  // A silent endpoint is given up only for another one, and the repeat is paid for at once:
  // otherwise an answer that was about to come would be lost for nothing.
  bool MayGiveUpEndpoint() {
    if (attempt_connecting_) {
      return true;
    }
    std::set<std::string> excluded = tried_.Excluded();
    excluded.insert(attempt_instance_);
    constexpr bool kSkipLimited = true;
    const BalancerAsk ask{service_, terms_, excluded, &state_.limits, kSkipLimited};
    const FleetViewPtr view = state_.views.Current();
    const auto other = state_.balancer.Choose(*view, ask, Now());
    if (std::holds_alternative<NoEndpoint>(other)) {
      return false;
    }
    prepaid_ = state_.retries.Spend(service_, view->live_nodes, Now());
    return prepaid_;
  }

  // Decides after an attempt; true when another one is to be made.
  Awaitable<bool> Another(const EndpointRecord& endpoint, const AttemptResult& result) {
    if (result.outcome == AttemptOutcome::kAnswered || result.outcome == AttemptOutcome::kFailed) {
      arrival_.MayHaveRun();
    }
    NoteForQuarantine(endpoint, result);
    if (result.outcome == AttemptOutcome::kAnswered) {
      LogEnd(endpoint.instance, "answered", result.status);
      co_return false;
    }
    if (state_.log_quota.Allows(Now())) {
      LogFailedAttempt({terms_.id, arrival_.Digest(), endpoint.instance, result.reason,
                        result.error, result.status, attempts_ + 1, Between(arrived_, Now())});
    }
    const bool answered = co_await AnsweredInterruption();
    if (answered) {
      co_return false;
    }
    guard_->ForgetSilence();
    tried_.Add(endpoint.instance, EndOf(result));
    if (result.outcome == AttemptOutcome::kNotConnected) {
      last_refusal_ = ForwardRefusal::kConnect;
      if (++connect_failures_ < kMostConnectFailures) {
        co_return true;
      }
      co_await Refuse(last_refusal_);
      co_return false;
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

  // What the attempt says of whether the request ends endpoints that run it.
  void NoteForQuarantine(const EndpointRecord& endpoint, const AttemptResult& result) {
    if (result.refused) {
      NoteEnded(state_, endpoint);
    } else if (result.broken) {
      NoteBreak(state_, endpoint, arrival_.Digest(), result.sent_at);
    } else if (result.outcome == AttemptOutcome::kAnswered) {
      NoteAnswered(state_, arrival_.Digest());
    }
  }

  bool MayRepeat(bool not_run) {
    const TimePoint now = Now();
    if (attempts_ >= route_->max_attempts || now + kLeastForAttempt >= time_up_) {
      return false;
    }
    if (may_have_run_ && !route_->Repeatable()) {
      return false;
    }
    if (!not_run && stream_.started && !stream_.sequence.Numbered()) {
      return false;
    }
    // Repeats are for requests that were beside the cause of an endpoint's end. Whoever has met two
    // ends may come again, but is not sent on unasked.
    if (arrival_.Suspected(*state_.views.Current())) {
      state_.metrics.Count({"rudderloom_retries_refused_total", "reason", "suspected"});
      return false;
    }
    if (std::exchange(prepaid_, false)) {
      return true;
    }
    if (!state_.retries.Spend(service_, state_.views.Current()->live_nodes, now)) {
      state_.metrics.Count({"rudderloom_retries_refused_total", "reason", "budget"});
      return false;
    }
    return true;
  }

  // Answers a client whose time is up, and drops one that left; true when there is nothing to do.
  Awaitable<bool> AnsweredInterruption() {
    if (guard_->Why() == Interruption::kClientGone) {
      exchange_.Abort();
      LogEnd("", "client_gone", 0);
      state_.metrics.Count({"rudderloom_requests_total", "result", "client_gone"});
      co_return true;
    }
    if (guard_->Why() == Interruption::kTimeUp) {
      co_await Refuse(ForwardRefusal::kTimeUp);
      co_return true;
    }
    co_return false;
  }

  // When another try is likely to be served.
  std::optional<Duration> ComeBack(ForwardRefusal refusal, unsigned status) const {
    const bool not_run = status == kUnavailable || status == kTooManyRequests;
    if (!not_run) {
      return std::nullopt;
    }
    const Duration wish =
        refusal == ForwardRefusal::kOverloaded ? last_choice_.forecast.behind_all : come_back_;
    return std::clamp(wish, kComeBackSoon, kComeBackMost);
  }

  Awaitable<void> Refuse(ForwardRefusal refusal) {
    state_.metrics.Count({"rudderloom_refusals_total", "reason", NameOf(refusal)});
    const unsigned status = StatusOf(refusal, may_have_run_);
    LogEnd("", NameOf(refusal), status);
    if (stream_.started) {
      // The client sees that the answer is cut off.
      exchange_.Abort();
      co_return;
    }
    Reply reply;
    reply.status = status;
    reply.body = "{\"error\":\"" + std::string(NameOf(refusal)) + "\"}";
    reply.headers = state_.dialect.RefusalHeaders(terms_.id, ComeBack(refusal, status));
    co_await exchange_.Send(std::move(reply));
  }

  void LogEnd(const std::string& instance, std::string_view outcome, unsigned status) {
    if (!state_.log_quota.Allows(Now())) {
      return;
    }
    RequestEnd end{terms_, routes_, route_, service_, last_choice_, stream_.pace};
    end.admission = admission_;
    end.customer = arrival_.Customer();
    end.endpoint = instance;
    end.outcome = outcome;
    end.status = status;
    end.attempts = attempts_ + 1;
    end.waited = waited_;
    LogRequestEnd(end, arrived_, Now());
  }

  ForwardingState& state_;
  HttpExchange& exchange_;
  const TimePoint arrived_;
  const RequestTerms terms_;
  Arrival arrival_;
  RouteTablePtr routes_;
  const Route* route_ = nullptr;
  std::string service_;
  TimePoint time_up_;
  CallGuard* guard_ = nullptr;
  StreamState stream_;
  TriedEndpoints tried_;
  Choice last_choice_;  // on which endpoint, and what was known of it
  Admission admission_ = Admission::kInTurn;
  Duration come_back_ = kComeBackSoon;
  Duration waited_{0};  // for an endpoint that holds the model
  // Requests waiting for the same unit when its forecast was first seen. Not updated, so that those
  // that arrive later don't cause a refusal.
  std::optional<std::uint32_t> waiting_ahead_;
  std::uint32_t attempts_ = 0;
  std::uint32_t connect_failures_ = 0;
  std::uint32_t permits_asked_ = 0;
  bool may_have_run_ = false;
  std::string attempt_instance_;     // of the attempt under way
  bool attempt_connecting_ = false;  // it has sent nothing yet
  bool prepaid_ = false;             // the next repeat is paid for
  ForwardRefusal last_refusal_ = ForwardRefusal::kNoEndpoint;
};

}  // namespace

Awaitable<void> Forward(ForwardingState& state, HttpExchange& exchange) {
  ForwardCall call(state, exchange);
  co_await call.Run();
}

}  // namespace rudderloom
