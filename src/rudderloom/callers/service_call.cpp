#include <optional>  // for optional

#include "callers/crash_guard.hpp"              // for CrashGuard
#include "rudderloom/base/log_line.hpp"         // for LogLine
#include "rudderloom/callers/call_context.hpp"  // for CallContext

namespace rudderloom {

namespace {

constexpr std::string_view kServicesPath = "/services/";
constexpr Duration kClaimTimeout{2'000};

// Whether a request header applies only to the caller's connection and is not forwarded.
bool IsHopByHop(http::field field) {
  return field == http::field::connection || field == http::field::host ||
         field == http::field::keep_alive || field == http::field::transfer_encoding ||
         field == http::field::content_length || field == http::field::upgrade;
}

// Serves one request to a plain service. A request that is not repeatable is retried only if the
// previous attempt certainly did not execute.
class ServiceCall {
 public:
  ServiceCall(CallContext& shared, HttpExchange& exchange, CallGuard& guard, RequestInfo info)
      : shared_(shared),
        exchange_(exchange),
        guard_(guard),
        info_(std::move(info)),
        crash_guard_(shared, exchange, info_) {}

  Awaitable<void> Run() {
    if (auto refusal = ReadTarget()) {
      co_await SendRefusal(shared_, exchange_, std::move(*refusal), info_.request_id);
      co_return;
    }
    if (!repeatable_ && !info_.idempotency_key.empty()) {
      // A caller that has lost its connection asks for the outcome with its key.
      const bool claimed = co_await AcquireClaim();
      if (claimed) {
        co_await RunAttempts();
      }
      co_return;
    }
    exchange_.WatchPeer([this] { guard_.ClientDisconnected(); });
    co_await RunAttempts();
    exchange_.StopWatching();
  }

 private:
  std::optional<Refusal> ReadTarget() {
    const auto whole = exchange_.Request().target();
    std::string_view rest(whole.data(), whole.size());
    rest.remove_prefix(kServicesPath.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    service_ = rest.substr(0, end);
    target_ = rest.substr(end);
    if (target_.empty() || target_.front() != '/') {
      target_.insert(0, "/");
    }
    const auto& services = shared_.dispatcher.Current()->configuration->catalog.services;
    const auto found = services.find(service_);
    if (found == services.end()) {
      Refusal refusal;
      refusal.reason = RefusalReason::kUnknownService;
      refusal.detail = "service \"" + service_ + "\" is not declared";
      return refusal;
    }
    const std::string method(exchange_.Request().method_string());
    repeatable_ = found->second.repeatable.contains(method);
    if (exchange_.Request().find(header::kTimeout) == exchange_.Request().end() &&
        exchange_.Request().find(header::kKind) == exchange_.Request().end()) {
      info_.deadline = info_.arrived + found->second.deadline;
    }
    return std::nullopt;
  }

  // Claims the idempotency key. Returns false if a response was already sent to the caller.
  Awaitable<bool> AcquireClaim() {
    key_ = ClaimKey(service_, info_.caller, info_.idempotency_key);
    const HttpRequest& request = exchange_.Request();
    std::string fingerprint =
        Fingerprint(std::string(request.method_string()), target_, request.body());
    const std::string own_fingerprint = fingerprint;
    const Duration limit =
        std::max(Duration(1), std::min(kClaimTimeout, Between(Now(), info_.deadline)));
    ClaimResult result =
        co_await shared_.claims.Take(key_, std::move(fingerprint), limit, &guard_, UnixDeadline());
    if (auto* granted = std::get_if<ClaimGranted>(&result)) {
      claim_ = granted->claim;
      co_return true;
    }
    if (auto* taken = std::get_if<ClaimTaken>(&result)) {
      co_await ReplyFromClaim(taken->claim, own_fingerprint);
      co_return false;
    }
    Refusal refusal;
    refusal.reason = RefusalReason::kClaimsUnavailable;
    refusal.detail = std::get<ClaimUnavailable>(result).message;
    if (guard_.Interrupted()) {
      refusal = StoppingRefusal(false);
    }
    co_await SendRefusal(shared_, exchange_, std::move(refusal), info_.request_id);
    co_return false;
  }

  // The deadline of the call in seconds since 1970, rounded up.
  std::int64_t UnixDeadline() const {
    const Duration left = Between(Now(), info_.deadline);
    return UnixSeconds() + std::chrono::ceil<std::chrono::seconds>(left).count();
  }

  // Whether the owner of the claim may still run its call and record the outcome. The owner of a
  // recent claim may be a new node that is not known here yet.
  bool MayBeRunning(const Claim& claim) const {
    const auto& nodes = shared_.dispatcher.Current()->running_nodes;
    const auto settle_time =
        std::chrono::ceil<std::chrono::seconds>(shared_.settings.membership.silent_after);
    const std::int64_t now = UnixSeconds();
    const bool recent = now - claim.claimed_at <= settle_time.count();
    return claim.MayBeRunning(now) &&
           (recent || !nodes || nodes->contains(claim.OwnerIncarnation()));
  }

  // Replays the stored response of an earlier request with the same key, or reports its state.
  Awaitable<void> ReplyFromClaim(const Claim& claim, const std::string& fingerprint) {
    Refusal refusal;
    refusal.execution = ExecutionStatus::kUnknown;
    if (claim.fingerprint != fingerprint) {
      refusal.reason = RefusalReason::kKeyReused;
      refusal.execution = ExecutionStatus::kNotExecuted;
    } else if (claim.state == ClaimState::kEnded && claim.body_kept) {
      Reply reply;
      reply.status = claim.status;
      reply.content_type = claim.content_type;
      reply.body = claim.body;
      reply.headers.emplace_back(header::kRequestId, info_.request_id);
      reply.headers.emplace_back("Idempotency-Replayed", "true");
      shared_.metrics.Count({"rudderloom_requests_total", "result", "replayed"});
      co_await exchange_.Send(std::move(reply));
      co_return;
    } else if (claim.state == ClaimState::kEnded) {
      refusal.reason = RefusalReason::kAnswerNotKept;
      refusal.detail = "it ended with status " + std::to_string(claim.status);
    } else if (MayBeRunning(claim)) {
      refusal.reason = RefusalReason::kCallInProgress;
    } else {
      refusal.reason = RefusalReason::kOutcomeUnknown;
    }
    co_await SendRefusal(shared_, exchange_, std::move(refusal), info_.request_id);
  }

  Awaitable<void> RunAttempts() {
    shared_.retries.FirstAttempt();
    AttemptState state;
    state.repeatable = repeatable_;
    state.deadline = info_.deadline;
    state.retried_before = info_.retried_before;
    DispatchRequest dispatch;
    dispatch.target = service_;
    dispatch.service = true;
    dispatch.caller = info_.caller;
    dispatch.priority = info_.priority;
    dispatch.deadline = info_.deadline;
    dispatch.route.prefix = std::hash<std::string>{}(info_.request_id);
    while (true) {
      if (auto refusal = crash_guard_.Check()) {
        co_await Fail(std::move(*refusal));
        co_return;
      }
      DispatchRequest attempt_dispatch = dispatch;
      auto acquired = co_await shared_.dispatcher.Acquire(std::move(attempt_dispatch), guard_);
      if (auto* refused = std::get_if<AdmissionRefusal>(&acquired)) {
        Refusal refusal = ToRefusal(*refused, true);
        refusal.execution =
            state.may_have_run ? ExecutionStatus::kUnknown : ExecutionStatus::kNotExecuted;
        co_await Fail(std::move(refusal));
        co_return;
      }
      const Grant grant = std::move(std::get<Grant>(acquired));
      const auto failure = co_await Attempt(grant);
      if (failure && guard_.Interrupted()) {
        co_await Fail(StoppingRefusal(state.may_have_run || !ProvesNotRun(*failure)));
        co_return;
      }
      crash_guard_.AttemptEnded(grant.endpoint, failure, grant.started);
      if (!failure) {
        co_return;
      }
      auto decision = shared_.retries.Decide(*failure, state, Now());
      state.may_have_run = state.may_have_run || !ProvesNotRun(*failure);
      if (auto* given_up = std::get_if<GiveUp>(&decision)) {
        co_await Fail(ToRefusal(*given_up, *failure));
        co_return;
      }
      shared_.metrics.Count({"rudderloom_retries_total", "reason", NameOf(*failure)});
      LogLine("retry")
          .With("request_id", info_.request_id)
          .With("reason", NameOf(*failure))
          .With("endpoint", grant.endpoint.name);
      ++state.attempts;
      dispatch.route.excluded = {grant.endpoint.id};
      co_await PauseBeforeRetry(guard_, std::get<RetryAfter>(decision).pause);
    }
  }

  HttpRequest MakeAttempt(const Grant& grant) const {
    const HttpRequest& original = exchange_.Request();
    HttpRequest request(original.method(), target_, 11);
    for (const auto& field : original) {
      if (!IsHopByHop(field.name())) {
        request.insert(field.name_string(), field.value());
      }
    }
    request.set(http::field::host, grant.endpoint.address);
    request.set(header::kRequestId, info_.request_id);
    request.body() = original.body();
    request.prepare_payload();
    return request;
  }

  // Sends the request once and forwards the response. Returns the failure if there was none.
  Awaitable<std::optional<AttemptFailure>> Attempt(const Grant& grant) {
    HttpRequest request = MakeAttempt(grant);
    const Duration left = std::max(Duration(1), Between(Now(), info_.deadline));
    CallTimeouts timeouts;
    timeouts.connect = std::min(left, shared_.settings.deadlines.connect);
    timeouts.first_byte = left;
    timeouts.between = left;
    const TimePoint sent = Now();
    // On a reused connection, a disconnect does not show whether the endpoint has read the request.
    const ConnectionReuse reuse = repeatable_ ? ConnectionReuse::kAllowed : ConnectionReuse::kNever;
    auto opened = co_await shared_.client.Open(grant.endpoint.address, std::move(request), timeouts,
                                               reuse, &guard_);
    if (auto* failed = std::get_if<HttpFailure>(&opened)) {
      const AttemptFailure failure = ClassifyFailure(*failed, AttemptFailure::kBrokenBeforeAnswer);
      shared_.dispatcher.Release(grant, FailedResult(), Duration(0));
      co_return failure;
    }
    auto response = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    const Duration first_byte = Between(sent, Now());
    if (ReportIfLeaving(shared_, grant.endpoint, *response) && response->Status() == 503) {
      shared_.dispatcher.Release(grant, RouteResult::kRefused, first_byte);
      co_return AttemptFailure::kLeaving;
    }
    Reply reply;
    reply.status = response->Status();
    std::optional<HttpFailure> body_failure = co_await ReadBody(*response, reply);
    if (body_failure) {
      shared_.dispatcher.Release(grant, FailedResult(), first_byte);
      co_return ClassifyFailure(*body_failure, AttemptFailure::kBrokenMidAnswer);
    }
    shared_.dispatcher.Release(grant, RouteResult::kServed, first_byte);
    shared_.client.Release(grant.endpoint.address, std::move(response));
    FinishClaim(reply);
    shared_.metrics.Count({"rudderloom_requests_total", "result", "served"});
    LogLine("service_call_ended")
        .With("request_id", info_.request_id)
        .With("service", service_)
        .With("endpoint", grant.endpoint.name)
        .With("status", reply.status)
        .With("ms", Between(info_.arrived, Now()).count());
    co_await exchange_.Send(std::move(reply));
    co_return std::nullopt;
  }

  RouteResult FailedResult() const {
    return guard_.Interrupted() ? RouteResult::kAbandoned : RouteResult::kFailed;
  }

  Awaitable<std::optional<HttpFailure>> ReadBody(HttpStream& response, Reply& reply) {
    reply.content_type = response.Header("Content-Type");
    for (const auto& [name, value] : response.EndToEndHeaders()) {
      if (!beast::iequals(name, "Content-Type") && !beast::iequals(name, header::kRequestId)) {
        reply.headers.emplace_back(name, value);
      }
    }
    reply.headers.emplace_back(header::kRequestId, info_.request_id);
    auto body = co_await ReadFullBody(shared_, response);
    if (auto* failure = std::get_if<HttpFailure>(&body)) {
      co_return std::move(*failure);
    }
    reply.body = std::move(std::get<std::string>(body));
    co_return std::nullopt;
  }

  void FinishClaim(const Reply& reply) {
    if (!claim_) {
      return;
    }
    Claim ended = *claim_;
    ended.state = ClaimState::kEnded;
    ended.status = reply.status;
    ended.content_type = reply.content_type;
    ended.body_kept = reply.body.size() <= shared_.settings.claims.answer_bytes;
    ended.body = ended.body_kept ? reply.body : "";
    shared_.claims.Finish(key_, ended);
  }

  Awaitable<void> Fail(Refusal refusal) {
    if (claim_ && refusal.execution == ExecutionStatus::kNotExecuted) {
      shared_.claims.Release(key_, *claim_);
    } else if (claim_) {
      Claim unknown = *claim_;
      unknown.state = ClaimState::kUnknown;
      shared_.claims.Finish(key_, unknown);
    }
    if (guard_.Cause() == Interruption::kClientDisconnected) {
      EndForGoneCaller(shared_, exchange_, info_.request_id);
      co_return;
    }
    co_await SendRefusal(shared_, exchange_, std::move(refusal), info_.request_id);
  }

  CallContext& shared_;
  HttpExchange& exchange_;
  CallGuard& guard_;
  RequestInfo info_;
  CrashGuard crash_guard_;
  std::string service_;
  std::string target_;
  bool repeatable_ = true;
  std::string key_;
  std::optional<Claim> claim_;
};

}  // namespace

Awaitable<void> ServeService(CallContext& shared,
                             HttpExchange& exchange,
                             CallGuard& guard,
                             RequestInfo info) {
  ServiceCall call(shared, exchange, guard, std::move(info));
  co_await call.Run();
}

}  // namespace rudderloom
