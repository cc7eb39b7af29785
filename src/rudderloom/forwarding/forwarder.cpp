#include "rudderloom/forwarding/forwarder.hpp"

#include <algorithm>  // for min
#include <optional>   // for optional
#include <utility>    // for move

#include "forwarding/attempt_runner.hpp"     // for AttemptRunner
#include "forwarding/crash_check.hpp"        // for RecordConnectionBreak
#include "forwarding/endpoint_wait.hpp"      // for EndpointWait
#include "forwarding/forward_refusal.hpp"    // for ForwardRefusal
#include "forwarding/forwarded_request.hpp"  // for ForwardedRequest
#include "forwarding/limit_check.hpp"        // for RecordRejection
#include "forwarding/refusal_delay.hpp"      // for RefusalDelay
#include "forwarding/request_end.hpp"        // for LogRequestEnd, LogFailedAttempt
#include "forwarding/request_permit.hpp"     // for RequestPermit
#include "forwarding/request_samples.hpp"    // for OfferedTime
#include "forwarding/request_start.hpp"      // for RequestStart
#include "forwarding/retry_decision.hpp"     // for RetryDecision
#include "forwarding/stream_version.hpp"     // for FindStreamVersion
#include "rudderloom/http/call_guard.hpp"    // for CallGuard

namespace rudderloom {

namespace {

constexpr std::uint32_t kMaxConnectFailures = 4;
constexpr unsigned kNotRunStatus = 503;

// Handles one client request over all its attempts.
class RequestForwarder {
 public:
  RequestForwarder(ForwardingState& state, HttpExchange& exchange)
      : state_(state),
        exchange_(exchange),
        request_(state, exchange),
        start_(state, request_),
        permit_(state, request_),
        wait_(state, request_),
        runner_(state, exchange, request_),
        retry_(state, request_) {}

  Awaitable<void> Run() {
    CallGuard guard(state_.context, state_.guards,
                    std::min(request_.checks.LatestDeadline(), state_.stop_deadline),
                    [this] { return MayAbandonEndpoint(); });
    request_.guard = &guard;
    exchange_.WatchPeer([&guard] { guard.ClientDisconnected(); });
    const bool admitted = co_await Admit();
    if (admitted) {
      co_await Serve();
    }
    exchange_.StopWatching();
    request_.guard = nullptr;
  }

 private:
  // What follows a step of the request.
  enum class NextStep {
    kChoose,  // an endpoint is chosen
    kSend,    // the request is sent to the chosen endpoint
    kEnd,     // the request has been answered or aborted
  };

  // Checks the request; false if it has been answered or aborted.
  Awaitable<bool> Admit() {
    const auto refusal = co_await request_.checks.Check(*request_.guard);
    request_.routes = request_.checks.Routes();
    request_.route = request_.checks.MatchedRoute();
    if (refusal && request_.guard->Cause() != Interruption::kClientDisconnected) {
      request_.retry_delay = request_.checks.RetryDelay();
      co_await Refuse(*refusal);
      co_return false;
    }
    const bool ended = co_await HandleInterruption();
    co_return !ended;
  }

  Awaitable<void> Serve() {
    request_.spent_before = TimeSpentBefore(state_, request_);
    request_.service = ChooseService(*request_.route, SplitKey(state_, request_));
    request_.deadline_at =
        std::min(request_.arrived + request_.checks.TimeLimit(), state_.stop_deadline);
    request_.guard->SetDeadline(request_.deadline_at);
    const bool may_go_on = co_await MayGoOn();
    if (request_.guard->Cause() != Interruption::kClientDisconnected) {
      state_.retries.CountRequest(request_.service, request_.arrived);
      CountDemand();
    }
    const bool ended = co_await HandleInterruption();
    if (ended) {
      co_return;
    }
    if (may_go_on) {
      co_await TryEndpoints();
    } else {
      co_await Refuse(ForwardRefusal::kStreamVersion);
    }
  }

  // Adds the request's expected service time to the demand. Refused requests count too; otherwise a
  // model under a burst would look idle.
  void CountDemand() {
    const Duration offered = OfferedTime(state_.balancer.Work(), request_.service, request_.terms);
    for (const UnitName& unit : request_.Units()) {
      state_.units[unit].offered += offered;
    }
  }

  // False if the client takes a stream up of which no version is known.
  Awaitable<bool> MayGoOn() {
    if (!request_.terms.resumes_stream) {
      co_return true;
    }
    const auto found = co_await FindStreamVersion(state_, request_);
    if (found) {
      request_.stream.software_version = found->software_version;
      request_.stream.version_known_by = found->known_by;
      request_.service = ServiceOfVersion(state_, request_);
    }
    co_return found.has_value();
  }

  bool MayAbandonEndpoint() {
    return runner_.Connecting() || retry_.MayAbandon(runner_.Instance());
  }

  // Tries endpoints until one has answered or no further attempt makes sense.
  Awaitable<void> TryEndpoints() {
    NextStep next = NextStep::kChoose;
    while (next != NextStep::kEnd) {
      const bool ended = co_await HandleInterruption();
      if (ended) {
        co_return;
      }
      const FleetViewPtr view = state_.views.Current();
      const auto refusal = Recheck(*view);
      if (refusal) {
        co_await Refuse(*refusal);
        co_return;
      }
      const auto chosen = ChooseEndpoint(*view);
      if (const auto* none = std::get_if<NoEndpointReason>(&chosen)) {
        next = co_await AwaitEndpoint(*none);
        continue;
      }
      request_.choice = std::get<EndpointChoice>(chosen);
      for (const UnitName& unit : request_.Units()) {
        state_.missing.MarkResident(unit);
      }
      const EndpointRecord endpoint = view->endpoints[request_.choice.index].record;
      next = co_await ObtainStart(endpoint);
      if (next == NextStep::kSend) {
        next = co_await Send(endpoint);
      }
    }
  }

  // Other nodes have been told the version of a stream's last attempt, so retries before the first
  // event stay at it while they can.
  std::string PreferredStartVersion() const {
    const StreamState& stream = request_.stream;
    if (!stream.told_version.empty() && !stream.unconfirmed) {
      return stream.told_version;
    }
    const bool begins_stream = request_.route->kind == RouteKind::kStream && !request_.GoesOn();
    return begins_stream ? PreferredVersion(state_, request_.service) : std::string();
  }

  std::variant<EndpointChoice, NoEndpointReason> ChooseEndpoint(const FleetView& view) {
    if (!view.streams_may_begin && request_.BeginsResumableStream()) {
      return NoEndpointReason::kNotResident;
    }
    const std::set<std::string> excluded = request_.Excluded();
    BalancerQuery query = MakeQuery(state_, request_, excluded, permit_.AskedTooOften());
    const std::string preferred = PreferredStartVersion();
    if (query.software_version.empty() && !preferred.empty()) {
      query.software_version = preferred;
      auto chosen = state_.balancer.Choose(view, query, Now());
      if (std::holds_alternative<EndpointChoice>(chosen)) {
        return chosen;
      }
      query.software_version.clear();
    }
    return state_.balancer.Choose(view, query, Now());
  }

  // What was checked on arrival and may have changed since.
  std::optional<ForwardRefusal> Recheck(const FleetView& view) {
    if (request_.attempts == 0 && request_.checks.KeyRevoked(view)) {
      return ForwardRefusal::kUnknownKey;
    }
    if (request_.checks.Quarantined(view)) {
      return ForwardRefusal::kQuarantined;
    }
    return std::nullopt;
  }

  // Waits as no endpoint can take the request, or none has granted it a turn.
  Awaitable<NextStep> AwaitEndpoint(NoEndpointReason reason) {
    if (!request_.without_turn.empty()) {
      const NextStep next = co_await HoldOrRefuse();
      co_return next;
    }
    const auto refusal = co_await wait_.Await(reason);
    const NextStep next = co_await AfterWait(refusal);
    co_return next;
  }

  // Decides whether the request may be sent to the endpoint now.
  Awaitable<NextStep> ObtainStart(const EndpointRecord& endpoint) {
    request_.admission = co_await start_.Decide(endpoint);
    const std::optional<ForwardRefusal> not_refused;
    if (request_.guard->Interrupted()) {
      const NextStep next = co_await AfterWait(not_refused);
      co_return next;
    }
    if (request_.admission == Admission::kHeld) {
      const NextStep next = co_await HoldOrRefuse();
      co_return next;
    }
    if (request_.admission == Admission::kRefused) {
      co_await Refuse(ForwardRefusal::kOverloaded);
      co_return NextStep::kEnd;
    }
    const bool permitted = co_await permit_.Obtain(endpoint);
    if (permitted) {
      co_return NextStep::kSend;
    }
    if (!request_.without_turn.empty()) {
      const NextStep next = co_await HoldOrRefuse();
      co_return next;
    }
    const NextStep next = co_await AfterWait(not_refused);
    co_return next;
  }

  Awaitable<NextStep> HoldOrRefuse() {
    const auto refusal = co_await start_.HoldOrRefuse();
    const NextStep next = co_await AfterWait(refusal);
    co_return next;
  }

  // Refuses the request for the given reason, or if it was interrupted.
  Awaitable<NextStep> AfterWait(std::optional<ForwardRefusal> refusal) {
    if (refusal) {
      co_await Refuse(*refusal);
      co_return NextStep::kEnd;
    }
    const bool answered = co_await HandleInterruption();
    co_return answered ? NextStep::kEnd : NextStep::kChoose;
  }

  Awaitable<NextStep> Send(const EndpointRecord& endpoint) {
    const AttemptResult result = co_await runner_.Run(endpoint);
    RecordResult(endpoint, result);
    if (result.outcome == AttemptOutcome::kAnswered) {
      LogEnd(endpoint.instance, "answered", result.status);
      co_return NextStep::kEnd;
    }
    LogFailure(endpoint, result);
    const bool answered = co_await HandleInterruption();
    if (answered) {
      co_return NextStep::kEnd;
    }
    request_.guard->ClearSilence();
    request_.tried.Add(endpoint.instance, OutcomeOf(result));
    if (result.outcome == AttemptOutcome::kNotConnected) {
      const NextStep next = co_await HandleConnectFailure();
      co_return next;
    }
    const NextStep next = co_await HandleFailure(endpoint, result);
    co_return next;
  }

  // Updates the quota and crash detection with the result of an attempt.
  void RecordResult(const EndpointRecord& endpoint, const AttemptResult& result) {
    const bool answered = result.outcome == AttemptOutcome::kAnswered;
    if (answered || result.outcome == AttemptOutcome::kFailed) {
      request_.checks.MarkMayHaveRun();
    }
    if (result.refused) {
      RecordEndpointEnd(state_, endpoint);
    } else if (result.broken && !result.through_gateway) {
      RecordConnectionBreak(state_, endpoint, request_.checks.Digests(), result.sent_at);
    } else if (answered && !result.ends_with_connection) {
      RecordAnswered(state_, request_.checks.Digests());
    }
  }

  Awaitable<NextStep> HandleConnectFailure() {
    request_.last_refusal = ForwardRefusal::kConnect;
    if (request_.stream.started || ++connect_failures_ < kMaxConnectFailures) {
      co_return NextStep::kChoose;
    }
    co_await Refuse(request_.last_refusal);
    co_return NextStep::kEnd;
  }

  // After an attempt that has reached an endpoint.
  Awaitable<NextStep> HandleFailure(const EndpointRecord& endpoint, const AttemptResult& result) {
    const bool not_run = result.outcome == AttemptOutcome::kNotRun;
    if (not_run && result.feedback == EndpointFeedback::kShed) {
      RecordRejection(
          state_, {request_.service, endpoint, request_.choice.load.requests, request_.terms.id});
    }
    // An endpoint that rejects the rest of a started stream does not end it.
    if (!not_run || !request_.stream.started) {
      ++request_.attempts;
    }
    if (!not_run) {
      retry_.MarkMayHaveRun();
    }
    request_.last_refusal = not_run ? ForwardRefusal::kShed : ForwardRefusal::kBroken;
    if (retry_.MayRepeat(not_run)) {
      state_.metrics.Count({"rudderloom_retries_total", "reason", result.reason});
      co_return NextStep::kChoose;
    }
    if (result.reply) {
      LogEnd(endpoint.instance, "answered", result.reply->status);
      co_await exchange_.Send(*result.reply);
      co_return NextStep::kEnd;
    }
    co_await Refuse(request_.last_refusal);
    co_return NextStep::kEnd;
  }

  // Answers the client if the deadline passed, and aborts the exchange if it disconnected; true if
  // the request is finished.
  Awaitable<bool> HandleInterruption() {
    if (request_.guard->Cause() == Interruption::kClientDisconnected) {
      exchange_.Abort();
      LogEnd("", "client_gone", 0);
      state_.metrics.Count({"rudderloom_requests_total", "result", "client_gone"});
      co_return true;
    }
    if (request_.guard->Cause() == Interruption::kDeadlineExceeded) {
      co_await Refuse(ForwardRefusal::kDeadlineExceeded);
      co_return true;
    }
    co_return false;
  }

  Awaitable<void> Refuse(ForwardRefusal refusal) {
    state_.metrics.Count({"rudderloom_refusals_total", "reason", NameOf(refusal)});
    const unsigned status = StatusOf(refusal, retry_.MayHaveRun());
    refused_delay_ =
        request_.stream.started ? std::nullopt : RefusalDelay(state_, request_, refusal, status);
    if (refusal == ForwardRefusal::kStreamVersion && state_.log_quota.Allows(Now())) {
      LogNotResumed(state_, request_);
    }
    LogEnd("", NameOf(refusal), status);
    if (request_.stream.started) {
      // The client sees that the answer is truncated.
      exchange_.Abort();
      co_return;
    }
    Reply reply;
    reply.status = status;
    reply.body = "{\"error\":\"" + std::string(NameOf(refusal)) + "\"}";
    reply.headers = state_.dialect.RefusalHeaders(request_.terms.id, refused_delay_);
    co_await exchange_.Send(std::move(reply));
  }

  // Of a client's later attempt, for the counter.
  std::string_view OutcomeOfRetried(std::string_view outcome, unsigned status) const {
    if (outcome == "answered") {
      return request_.admission == Admission::kDeferred ? "answered_deferred" : outcome;
    }
    if (outcome == "client_gone") {
      return outcome;
    }
    return status == kNotRunStatus ? "refused" : "failed";
  }

  // Age of what is known of other nodes' requests.
  Duration LoadAge() const {
    const TimePoint until = state_.views.Current()->holder_permits_until;
    const TimePoint now = Now();
    return until == TimePoint::max() || until == TimePoint()
               ? Duration(0)
               : Between(until - kMaxHolderMessageAge, now);
  }

  void LogFailure(const EndpointRecord& endpoint, const AttemptResult& result) {
    if (state_.log_quota.Allows(Now())) {
      LogFailedAttempt({request_.terms.id, request_.checks.Digests().front(), request_.terms.prompt,
                        endpoint.instance, result.reason, result.error, result.status,
                        result.retry_after, request_.attempts + 1,
                        Between(request_.arrived, Now())});
    }
  }

  void LogEnd(const std::string& instance, std::string_view outcome, unsigned status) {
    if (request_.Retried()) {
      state_.metrics.Count(
          {"rudderloom_retried_requests_total", "outcome", OutcomeOfRetried(outcome, status)});
    }
    if (!state_.log_quota.Allows(Now())) {
      return;
    }
    RequestEnd end{request_.terms,   request_.routes, request_.route,
                   request_.service, request_.choice, request_.stream.pace};
    end.admission = request_.admission;
    end.customer = request_.checks.Customer();
    end.endpoint = instance;
    end.outcome = outcome;
    end.status = status;
    end.attempts = request_.attempts + 1;
    end.waited = request_.waited;
    end.spent_before = request_.spent_before;
    end.retry_delay = refused_delay_;
    end.decided_by = request_.decided_by;
    end.load_age = LoadAge();
    LogRequestEnd(end, request_.arrived, Now());
  }

  ForwardingState& state_;
  HttpExchange& exchange_;
  ForwardedRequest request_;
  RequestStart start_;
  RequestPermit permit_;
  EndpointWait wait_;
  AttemptRunner runner_;
  RetryDecision retry_;
  std::optional<Duration> refused_delay_;  // told to the client
  std::uint32_t connect_failures_ = 0;
};

}  // namespace

Awaitable<void> Forward(ForwardingState& state, HttpExchange& exchange) {
  RequestForwarder forwarder(state, exchange);
  co_await forwarder.Run();
}

}  // namespace rudderloom
