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

// How one attempt on an endpoint ended.
struct AttemptEnd {
  std::optional<AttemptFailure> failure;  // empty: the caller has its whole answer
  bool caller_gone = false;               // nobody is left to answer
  Duration first_byte{0};
};

std::string PromptOf(const json::object& body) {
  for (const char* key : {"messages", "prompt"}) {
    if (const json::value* found = body.if_contains(key)) {
      return json::serialize(*found);
    }
  }
  return "";
}

// One completion, over as many attempts as it takes.
class CompletionCall {
 public:
  CompletionCall(CallContext& shared, HttpExchange& exchange, RequestInfo info)
      : shared_(shared),
        exchange_(exchange),
        info_(std::move(info)),
        crash_guard_(shared, exchange, info_) {}

  Awaitable<void> Run() {
    if (auto refusal = ReadBody()) {
      co_await Refuse(shared_, exchange_, std::move(*refusal), info_.request_id);
      co_return;
    }
    shared_.retries.FirstAttempt();
    AttemptState state;
    state.deadline = info_.deadline;
    state.retried_before = info_.retried_before;
    DispatchAsk ask;
    ask.target = model_;
    ask.caller = info_.caller;
    ask.priority = info_.priority;
    ask.deadline = info_.deadline;
    ask.route.prefix = PrefixHash(model_, prompt_);
    while (true) {
      if (auto refusal = crash_guard_.Check()) {
        co_await Fail(std::move(*refusal));
        co_return;
      }
      DispatchAsk present = ask;
      if (started_) {
        // The deadline is for the first token; a broken stream has this long to go on.
        present.deadline = Now() + shared_.settings.deadlines.resume;
        state.deadline = present.deadline;
      }
      auto acquired = co_await shared_.dispatcher.Acquire(std::move(present));
      if (auto* refused = std::get_if<AdmissionRefusal>(&acquired)) {
        Refusal refusal = RefusalOf(*refused, Served());
        refusal.ran = state.may_have_run ? Ran::kUnknown : Ran::kNo;
        co_await Fail(std::move(refusal));
        co_return;
      }
      const Grant grant = std::move(std::get<Grant>(acquired));
      if (started_ && grant.unit != unit_) {
        // Another version would go on with other tokens: the caller must see that it broke.
        shared_.dispatcher.Release(grant, RouteResult::kRefused, Duration(0));
        Refusal refusal;
        refusal.reason = RefusalReason::kNotResident;
        co_await Fail(std::move(refusal));
        co_return;
      }
      unit_ = grant.unit;
      const AttemptEnd end = co_await Attempt(grant);
      shared_.dispatcher.Release(grant, ResultOf(end), end.first_byte);
      if (end.failure || !end.caller_gone) {
        crash_guard_.Ended(grant.endpoint, end.failure, grant.started);
      }
      if (end.caller_gone || !end.failure) {
        LogEnd(grant, end);
        co_return;
      }
      auto decided = shared_.retries.Decide(*end.failure, state, Now());
      state.may_have_run = state.may_have_run || !ProvesNotRun(*end.failure);
      if (auto* given_up = std::get_if<GiveUp>(&decided)) {
        co_await Fail(RefusalOf(*given_up, *end.failure));
        co_return;
      }
      LogRetry(grant, *end.failure);
      ++state.attempts;
      ask.route.excluded.push_back(grant.endpoint.id);
      if (ask.route.excluded.size() >= EndpointsServing()) {
        ask.route.excluded.clear();  // all were tried: any may be tried again
      }
      co_await PauseFor(shared_.context, std::get<RetryAfter>(decided).pause);
    }
  }

 private:
  std::optional<Refusal> ReadBody() {
    Refusal refusal;
    refusal.reason = RefusalReason::kInvalidJson;
    auto parsed = ParseJsonObject(exchange_.Request().body(), "/");
    if (auto* mistakes = std::get_if<JsonErrors>(&parsed)) {
      refusal.detail = mistakes->front().Text();
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
    stream_ = stream != nullptr && stream->is_bool() && stream->as_bool();
    prompt_ = PromptOf(body_);
    if (shared_.dispatcher.Current()->models.contains(model_)) {
      return std::nullopt;
    }
    refusal.reason = RefusalReason::kUnknownModel;
    refusal.detail = "model \"" + model_ + "\" is not declared";
    return refusal;
  }

  std::size_t EndpointsServing() const {
    const auto& models = shared_.dispatcher.Current()->models;
    const auto found = models.find(model_);
    return found == models.end() ? 0 : found->second.endpoints.size();
  }

  bool Served() const { return EndpointsServing() > 0; }

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

  CallTimes Times() const {
    CallTimes times;
    times.connect = shared_.settings.deadlines.connect;
    const Duration between = shared_.settings.deadlines.between_tokens;
    times.first_byte = started_ ? between : std::max(Duration(1), Between(Now(), info_.deadline));
    times.between = stream_ ? between : times.first_byte;
    return times;
  }

  Awaitable<AttemptEnd> Attempt(const Grant& grant) {
    AttemptEnd end;
    HttpRequest request = MakeAttempt(grant);
    const TimePoint sent = Now();
    auto opened = co_await shared_.client.Open(grant.endpoint.address, std::move(request), Times(),
                                               Reuse::kAllowed);
    if (auto* failure = std::get_if<HttpFailure>(&opened)) {
      end.failure = FailureOf(*failure, AttemptFailure::kCutEarly);
      co_return end;
    }
    auto answer = std::move(std::get<std::unique_ptr<HttpStream>>(opened));
    end.first_byte = Between(sent, Now());
    const bool leaving = HeedLeaving(shared_, grant.endpoint, *answer);
    if (answer->Status() != 200) {
      end.failure = RefusedBy(*answer, leaving);
      if (!end.failure) {
        end.caller_gone = !co_await PassOn(*answer);
      }
    } else if (answer->Header(header::kRequestId) != info_.request_id) {
      // An answer to something else: it must not reach this caller.
      shared_.metrics.Count({"rudderloom_foreign_answers_total"});
      end.failure = AttemptFailure::kServerError;
    } else if (answer->Header("Content-Type") == kEventStream) {
      co_await PassEvents(*answer, end);
    } else {
      co_await PassWhole(*answer, end);
    }
    if (!end.failure && !end.caller_gone) {
      shared_.client.Release(grant.endpoint.address, std::move(answer));
    }
    co_return end;
  }

  // What an answer other than 200 means; empty when it is meant for the caller.
  static std::optional<AttemptFailure> RefusedBy(const HttpStream& answer, bool leaving) {
    switch (answer.Status()) {
      case 404:
        return AttemptFailure::kNotResident;
      case 429:
        return AttemptFailure::kBusy;
      case 503:
        return leaving ? AttemptFailure::kLeaving : AttemptFailure::kServerError;
      default:
        break;
    }
    if (answer.Status() >= 500) {
      return AttemptFailure::kServerError;
    }
    return std::nullopt;
  }

  // Passes an engine's complaint about the request on to the caller.
  Awaitable<bool> PassOn(HttpStream& answer) {
    Reply reply;
    reply.status = answer.Status();
    reply.content_type = answer.Header("Content-Type");
    reply.headers.emplace_back(header::kRequestId, info_.request_id);
    auto body = co_await ReadWhole(answer);
    if (auto* text = std::get_if<std::string>(&body)) {
      reply.body = std::move(*text);
    }
    co_return co_await exchange_.Send(std::move(reply));
  }

  Awaitable<void> PassWhole(HttpStream& answer, AttemptEnd& end) {
    Reply reply;
    reply.content_type = answer.Header("Content-Type");
    reply.headers.emplace_back(header::kRequestId, info_.request_id);
    auto body = co_await ReadWhole(answer);
    if (auto* failure = std::get_if<HttpFailure>(&body)) {
      end.failure = FailureOf(*failure, AttemptFailure::kCutMidway);
      co_return;
    }
    reply.body = std::move(std::get<std::string>(body));
    ObserveFirstToken();
    end.caller_gone = !co_await exchange_.Send(std::move(reply));
  }

  // Passes whole events on as they come; ends without a failure only after the end mark.
  Awaitable<void> PassEvents(HttpStream& answer, AttemptEnd& end) {
    relay_.NextAttempt();
    while (true) {
      auto piece = co_await answer.ReadSome();
      if (auto* failure = std::get_if<HttpFailure>(&piece)) {
        end.failure = FailureOf(*failure, AttemptFailure::kCutMidway);
        break;
      }
      if (std::holds_alternative<HttpStream::End>(piece)) {
        end.failure = AttemptFailure::kCutMidway;  // it ended before its end mark
        break;
      }
      std::string events;
      const auto verdict = relay_.Feed(std::get<std::string>(piece), events);
      if (!events.empty() && !co_await WriteEvents(events)) {
        end.caller_gone = true;
        co_return;
      }
      if (verdict == EventRelay::Verdict::kGap) {
        end.failure = AttemptFailure::kCutMidway;
        break;
      }
      if (relay_.Done()) {
        end.caller_gone = !co_await exchange_.EndStream();
        // Read the end of the body, so that the connection can be used again.
        co_await answer.ReadSome();
        co_return;
      }
    }
    if (!relay_.Resumable()) {
      // Events without numbers can't be told apart, so nothing may follow them.
      Refusal refusal;
      refusal.reason = RefusalReason::kEndpointFailed;
      refusal.ran = Ran::kUnknown;
      co_await Fail(std::move(refusal));
      end.caller_gone = true;
    }
  }

  Awaitable<bool> WriteEvents(const std::string& events) {
    if (!started_) {
      started_ = true;
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

  // The final answer: a refusal, or within a stream an error event and a cut, never a short end.
  Awaitable<void> Fail(Refusal refusal) {
    if (!started_) {
      co_await Refuse(shared_, exchange_, std::move(refusal), info_.request_id);
      co_return;
    }
    shared_.metrics.Count({"rudderloom_refusals_total", "reason", NameOf(refusal.reason)});
    LogLine("stream_failed", Severity::kWarning)
        .With("request_id", info_.request_id)
        .With("reason", NameOf(refusal.reason))
        .With("last_event", relay_.LastId());
    refusal.ran = Ran::kUnknown;
    const std::string event = "data: " + ToJsonText(refusal, info_.request_id) + "\n\n";
    co_await exchange_.WriteChunk(event);
    exchange_.Abort();
  }

  static RouteResult ResultOf(const AttemptEnd& end) {
    if (!end.failure) {
      return RouteResult::kServed;
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
    shared_.metrics.Count(
        {"rudderloom_requests_total", "result", end.caller_gone ? "caller_gone" : "served"});
    LogLine("completion_ended")
        .With("request_id", info_.request_id)
        .With("model", model_)
        .With("endpoint", grant.endpoint.name)
        .With("result", end.caller_gone ? "caller_gone" : "served")
        .With("ms", Between(info_.arrived, Now()).count());
  }

  CallContext& shared_;
  HttpExchange& exchange_;
  RequestInfo info_;
  CrashGuard crash_guard_;
  json::object body_;
  std::string model_;
  std::string unit_;  // that the latest attempt asked for
  std::string prompt_;
  bool stream_ = false;
  bool started_ = false;  // the header of the stream was sent to the caller
  EventRelay relay_;
};

}  // namespace

Awaitable<void> ServeCompletion(CallContext& shared, HttpExchange& exchange, RequestInfo info) {
  CompletionCall call(shared, exchange, std::move(info));
  co_await call.Run();
}

}  // namespace rudderloom
