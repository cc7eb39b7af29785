#include <boost/json.hpp>  // for object
#include <optional>        // for optional

#include "callers/crash_guard.hpp"              // for CrashGuard
#include "rudderloom/attempts/event_relay.hpp"  // for EventRelay
#include "rudderloom/base/log_line.hpp"         // for LogLine
#include "rudderloom/callers/call_context.hpp"  // for CallContext

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr std::string_view kEventStream = "text/event-stream";

// Result of one attempt on an endpoint.
struct AttemptEnd {
  std::optional<AttemptFailure> failure;  // empty if the full response was forwarded
  bool caller_disconnected = false;       // the connection to the caller is closed
  Duration first_byte{0};
};

std::string ExtractPrompt(const json::object& body) {
  for (const char* key : {"messages", "prompt"}) {
    if (const json::value* found = body.if_contains(key)) {
      return json::serialize(*found);
    }
  }
  return "";
}

// Serves one completion request, with retries.
class CompletionCall {
 public:
  CompletionCall(CallContext& shared, HttpExchange& exchange, CallGuard& guard, RequestInfo info)
      : shared_(shared),
        exchange_(exchange),
        guard_(guard),
        info_(std::move(info)),
        crash_guard_(shared, exchange, info_) {}

  Awaitable<void> Run() {
    if (auto refusal = ReadBody()) {
      co_await SendRefusal(shared_, exchange_, std::move(*refusal), info_.request_id);
      co_return;
    }
    exchange_.WatchPeer([this] { guard_.ClientDisconnected(); });
    co_await RunAttempts();
    exchange_.StopWatching();
  }

 private:
  Awaitable<void> RunAttempts() {
    shared_.retries.FirstAttempt();
    AttemptState state;
    state.deadline = info_.deadline;
    state.retried_before = info_.retried_before;
    DispatchRequest dispatch;
    dispatch.target = model_;
    dispatch.caller = info_.caller;
    dispatch.priority = info_.priority;
    dispatch.deadline = info_.deadline;
    dispatch.route.prefix = PrefixHash(model_, prompt_);
    while (true) {
      if (auto refusal = crash_guard_.Check()) {
        co_await Fail(std::move(*refusal));
        co_return;
      }
      DispatchRequest attempt_dispatch = dispatch;
      if (stream_started_) {
        // The deadline applies to the first token. A broken stream must resume within this time.
        attempt_dispatch.deadline = Now() + shared_.settings.deadlines.resume;
        state.deadline = attempt_dispatch.deadline;
      }
      auto acquired = co_await shared_.dispatcher.Acquire(std::move(attempt_dispatch), guard_);
      if (auto* refused = std::get_if<AdmissionRefusal>(&acquired)) {
        Refusal refusal = ToRefusal(*refused, HasEndpoints());
        refusal.execution =
            state.may_have_run ? ExecutionStatus::kUnknown : ExecutionStatus::kNotExecuted;
        co_await Fail(std::move(refusal));
        co_return;
      }
      const Grant grant = std::move(std::get<Grant>(acquired));
      if (stream_started_ && grant.unit != unit_) {
        // Another version would continue with different tokens, so the stream ends with an error.
        shared_.dispatcher.Release(grant, RouteResult::kRefused, Duration(0));
        Refusal refusal;
        refusal.reason = RefusalReason::kNotResident;
        co_await Fail(std::move(refusal));
        co_return;
      }
      unit_ = grant.unit;
      const AttemptEnd end = co_await Attempt(grant);
      shared_.dispatcher.Release(grant, ToRouteResult(end), end.first_byte);
      if (end.failure && !end.caller_disconnected && guard_.Interrupted()) {
        co_await Fail(StoppingRefusal(state.may_have_run || !ProvesNotRun(*end.failure)));
        co_return;
      }
      if (end.failure || !end.caller_disconnected) {
        crash_guard_.AttemptEnded(grant.endpoint, end.failure, grant.started);
      }
      if (end.caller_disconnected || !end.failure) {
        LogEnd(grant, end);
        co_return;
      }
      auto decision = shared_.retries.Decide(*end.failure, state, Now());
      state.may_have_run = state.may_have_run || !ProvesNotRun(*end.failure);
      if (auto* given_up = std::get_if<GiveUp>(&decision)) {
        co_await Fail(ToRefusal(*given_up, *end.failure));
        co_return;
      }
      LogRetry(grant, *end.failure);
      ++state.attempts;
      dispatch.route.excluded.push_back(grant.endpoint.id);
      if (dispatch.route.excluded.size() >= CountServingEndpoints()) {
        dispatch.route.excluded.clear();  // all endpoints were tried: allow each again
      }
      co_await PauseBeforeRetry(guard_, std::get<RetryAfter>(decision).pause);
    }
  }

  std::optional<Refusal> ReadBody() {
    Refusal refusal;
    refusal.reason = RefusalReason::kInvalidJson;
    auto parsed = ParseJsonObject(exchange_.Request().body(), "/");
    if (auto* parse_errors = std::get_if<JsonErrors>(&parsed)) {
      refusal.detail = parse_errors->front().Text();
      return refusal;
    }
    body_ = std::move(std::get<json::object>(parsed));
    const json::value* model = body_.if_contains("model");
    if (model == nullptr || !model->is_string()) {
      refusal.detail = "/model: is not a string";
      return refusal;
    }
    model_ = std::string(model->as_string());
    const json::value* messages = body_.if_contains("messages");
    if (messages != nullptr && !messages->is_array()) {
      refusal.detail = "/messages: is not an array";
      return refusal;
    }
    const json::value* stream = body_.if_contains("stream");
    wants_stream_ = stream != nullptr && stream->is_bool() && stream->as_bool();
    prompt_ = ExtractPrompt(body_);
    if (shared_.dispatcher.Current()->models.contains(model_)) {
      return std::nullopt;
    }
    refusal.reason = RefusalReason::kUnknownModel;
    refusal.detail = "model \"" + model_ + "\" is not declared";
    return refusal;
  }

  std::size_t CountServingEndpoints() const {
    const auto& models = shared_.dispatcher.Current()->models;
    const auto found = models.find(model_);
    return found == models.end() ? 0 : found->second.endpoints.size();
  }

  bool HasEndpoints() const { return CountServingEndpoints() > 0; }

  HttpRequest MakeAttempt(const Grant& grant) {
    body_["model"] = grant.unit;
    HttpRequest request =
        MakeRequest(http::verb::post, grant.endpoint.address,
                    std::string(exchange_.Request().target()), json::serialize(body_));
    request.set(header::kRequestId, info_.request_id);
    request.set(header::kPriority, std::to_string(info_.priority));
    const Duration left = std::max(Duration(1), Between(Now(), info_.deadline));
    request.set(header::kTimeout, std::to_string(left.count()) + "ms");
    if (relay_.LastId() >= 0) {
      request.set(header::kLastEventId, std::to_string(relay_.LastId()));
    }
    return request;
  }

  CallTimeouts MakeTimeouts() const {
    CallTimeouts timeouts;
    timeouts.connect = shared_.settings.deadlines.connect;
    const Duration between = shared_.settings.deadlines.between_tokens;
    timeouts.first_byte =
        stream_started_ ? between : std::max(Duration(1), Between(Now(), info_.deadline));
    timeouts.between = wants_stream_ ? between : timeouts.first_byte;
    return timeouts;
  }

  Awaitable<AttemptEnd> Attempt(const Grant& grant) {
    AttemptEnd end;
    HttpRequest request = MakeAttempt(grant);
    const TimePoint sent = Now();
    auto opened = co_await shared_.client.Open(grant.endpoint.address, std::move(request),
                                               MakeTimeouts(), ConnectionReuse::kAllowed, &guard_);
    if (auto* failure = std::get_if<HttpFailure>(&opened)) {
      end.failure = ClassifyFailure(*failure, AttemptFailure::kBrokenBeforeAnswer);
      co_return end;
    }
    auto response = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    end.first_byte = Between(sent, Now());
    const bool leaving = ReportIfLeaving(shared_, grant.endpoint, *response);
    if (response->Status() != 200) {
      end.failure = ClassifyStatus(*response, leaving);
      if (!end.failure) {
        co_await ForwardError(*response, end);
      }
    } else if (response->Header(header::kRequestId) != info_.request_id) {
      // A response to another request must not reach this caller.
      shared_.metrics.Count({"rudderloom_foreign_answers_total"});
      end.failure = AttemptFailure::kServerError;
    } else if (response->Header("Content-Type") == kEventStream) {
      co_await ForwardEvents(*response, end);
    } else {
      co_await ForwardBody(*response, end);
    }
    if (!end.failure && !end.caller_disconnected) {
      shared_.client.Release(grant.endpoint.address, std::move(response));
    }
    co_return end;
  }

  // Classifies a status other than 200; empty if the response is to be forwarded to the caller.
  static std::optional<AttemptFailure> ClassifyStatus(const HttpStream& response, bool leaving) {
    switch (response.Status()) {
      case 404:
        return AttemptFailure::kNotResident;
      case 429:
        return AttemptFailure::kBusy;
      case 503:
        return leaving ? AttemptFailure::kLeaving : AttemptFailure::kServerError;
      default:
        break;
    }
    if (response.Status() >= 500) {
      return AttemptFailure::kServerError;
    }
    return std::nullopt;
  }

  // Forwards an error response of the engine to the caller.
  Awaitable<void> ForwardError(HttpStream& response, AttemptEnd& end) {
    Reply reply;
    reply.status = response.Status();
    reply.content_type = response.Header("Content-Type");
    reply.headers.emplace_back(header::kRequestId, info_.request_id);
    auto body = co_await ReadFullBody(shared_, response);
    if (auto* failure = std::get_if<HttpFailure>(&body)) {
      end.failure = ClassifyFailure(*failure, AttemptFailure::kBrokenMidAnswer);
      co_return;
    }
    reply.body = std::move(std::get<std::string>(body));
    end.caller_disconnected = !co_await exchange_.Send(std::move(reply));
  }

  Awaitable<void> ForwardBody(HttpStream& response, AttemptEnd& end) {
    Reply reply;
    reply.content_type = response.Header("Content-Type");
    reply.headers.emplace_back(header::kRequestId, info_.request_id);
    auto body = co_await ReadFullBody(shared_, response);
    if (auto* failure = std::get_if<HttpFailure>(&body)) {
      end.failure = ClassifyFailure(*failure, AttemptFailure::kBrokenMidAnswer);
      co_return;
    }
    reply.body = std::move(std::get<std::string>(body));
    ObserveFirstToken();
    end.caller_disconnected = !co_await exchange_.Send(std::move(reply));
  }

  // Forwards complete events as they arrive. Succeeds only if the stream ends with its end marker.
  Awaitable<void> ForwardEvents(HttpStream& response, AttemptEnd& end) {
    relay_.NextAttempt();
    while (true) {
      auto piece = co_await response.ReadSome();
      if (auto* failure = std::get_if<HttpFailure>(&piece)) {
        end.failure = ClassifyFailure(*failure, AttemptFailure::kBrokenMidAnswer);
        break;
      }
      if (std::holds_alternative<HttpStream::End>(piece)) {
        end.failure = AttemptFailure::kBrokenMidAnswer;  // no end marker
        break;
      }
      std::string events;
      const auto verdict = relay_.Feed(std::get<std::string>(piece), events);
      if (!events.empty() && !co_await WriteEvents(events)) {
        end.caller_disconnected = true;
        co_return;
      }
      if (verdict != EventRelay::Verdict::kOk) {
        end.failure = AttemptFailure::kBrokenMidAnswer;
        break;
      }
      if (relay_.Done()) {
        end.caller_disconnected = !co_await exchange_.EndStream();
        // Read the body to its end, so that the connection can be reused.
        co_await response.ReadSome();
        co_return;
      }
    }
    if (!relay_.Resumable() && !guard_.Interrupted()) {
      // Without event ids, a resumed stream could repeat or skip events.
      Refusal refusal;
      refusal.reason = RefusalReason::kEndpointFailed;
      refusal.execution = ExecutionStatus::kUnknown;
      co_await Fail(std::move(refusal));
      end.caller_disconnected = true;
    }
  }

  Awaitable<bool> WriteEvents(const std::string& events) {
    if (!stream_started_) {
      stream_started_ = true;
      ObserveFirstToken();
      HeaderList headers;
      headers.emplace_back(header::kRequestId, info_.request_id);
      headers.emplace_back("Cache-Control", "no-cache");
      if (!co_await exchange_.StartStream(200, std::string(kEventStream), std::move(headers))) {
        co_return false;
      }
    }
    shared_.metrics.Count({"rudderloom_tokens_total"}, CountEvents(events));
    co_return co_await exchange_.WriteChunk(events);
  }

  static std::uint64_t CountEvents(const std::string& events) {
    std::uint64_t count = 0;
    for (std::size_t at = events.find("\n\n"); at != std::string::npos;
         at = events.find("\n\n", at + 2)) {
      ++count;
    }
    return count;
  }

  void ObserveFirstToken() {
    const double seconds = std::chrono::duration<double>(Now() - info_.arrived).count();
    shared_.metrics.Observe({"rudderloom_first_token_seconds"}, seconds);
  }

  // Sends the final error. Within a stream it sends an error event and aborts the connection, so
  // that the stream is never mistaken for a complete one.
  Awaitable<void> Fail(Refusal refusal) {
    if (guard_.Cause() == Interruption::kClientDisconnected) {
      EndForGoneCaller(shared_, exchange_, info_.request_id);
      co_return;
    }
    if (!stream_started_) {
      co_await SendRefusal(shared_, exchange_, std::move(refusal), info_.request_id);
      co_return;
    }
    shared_.metrics.Count({"rudderloom_refusals_total", "reason", NameOf(refusal.reason)});
    LogLine("stream_failed", Severity::kWarning)
        .With("request_id", info_.request_id)
        .With("reason", NameOf(refusal.reason))
        .With("last_event", relay_.LastId());
    refusal.execution = ExecutionStatus::kUnknown;
    const std::string event = "data: " + ToJsonText(refusal, info_.request_id) + "\n\n";
    co_await exchange_.WriteChunk(event);
    exchange_.Abort();
  }

  RouteResult ToRouteResult(const AttemptEnd& end) const {
    if (!end.failure) {
      return RouteResult::kServed;
    }
    if (guard_.Interrupted()) {
      return RouteResult::kAbandoned;
    }
    const bool refused = *end.failure == AttemptFailure::kNotResident ||
                         *end.failure == AttemptFailure::kBusy ||
                         *end.failure == AttemptFailure::kLeaving;
    return refused ? RouteResult::kRefused : RouteResult::kFailed;
  }

  void LogRetry(const Grant& grant, AttemptFailure failure) {
    shared_.metrics.Count({"rudderloom_retries_total", "reason", NameOf(failure)});
    LogLine("retry")
        .With("request_id", info_.request_id)
        .With("reason", NameOf(failure))
        .With("endpoint", grant.endpoint.name)
        .With("last_event", relay_.LastId());
  }

  void LogEnd(const Grant& grant, const AttemptEnd& end) {
    shared_.metrics.Count({"rudderloom_requests_total", "result",
                           end.caller_disconnected ? "caller_gone" : "served"});
    LogLine("completion_ended")
        .With("request_id", info_.request_id)
        .With("model", model_)
        .With("endpoint", grant.endpoint.name)
        .With("result", end.caller_disconnected ? "caller_gone" : "served")
        .With("ms", Between(info_.arrived, Now()).count());
  }

  CallContext& shared_;
  HttpExchange& exchange_;
  CallGuard& guard_;
  RequestInfo info_;
  CrashGuard crash_guard_;
  json::object body_;
  std::string model_;
  std::string unit_;  // requested by the latest attempt
  std::string prompt_;
  bool wants_stream_ = false;
  bool stream_started_ = false;  // the response header was sent to the caller
  EventRelay relay_;
};

}  // namespace

Awaitable<void> ServeCompletion(CallContext& shared,
                                HttpExchange& exchange,
                                CallGuard& guard,
                                RequestInfo info) {
  CompletionCall call(shared, exchange, guard, std::move(info));
  co_await call.Run();
}

}  // namespace rudderloom
