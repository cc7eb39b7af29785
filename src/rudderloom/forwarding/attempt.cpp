#include "forwarding/attempt.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

#include "forwarding/limit_check.hpp"  // for RecordLimit, CountLimitedSend

namespace rudderloom {

namespace {

constexpr Duration kConnectTimeout{350};
// Shortens the endpoint's deadline so that its timeout answer arrives before this node's own
// timeout.
constexpr Duration kEndpointDeadlineMargin{10};
constexpr unsigned kServerError = 500;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

bool IsHopByHop(http::field field) {
  switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

// Statuses that guarantee to the client that its request has not run.
bool PromisesNotRun(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

bool IsSuccess(unsigned status) {
  return status / 100 == 2;
}

HeaderList EndToEndHeaders(const AnswerHead& head) {
  HeaderList headers;
  for (const auto& field : head) {
    if (!IsHopByHop(field.name()) && field.name() != http::field::content_type) {
      headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
  }
  return headers;
}

class Attempt {
 public:
  Attempt(ForwardingState& state, HttpExchange& exchange, CallGuard& guard, AttemptParams params)
      : state_(state), exchange_(exchange), guard_(guard), params_(std::move(params)) {}
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt() { guard_.SetCancel({}); }

  Awaitable<AttemptResult> Run() {
    if (auto failure = co_await Connect()) {
      co_return std::move(*failure);
    }
    params_.on_sent();
    sent_at_ = Now();
    CountLimitedSend(state_, params_.endpoint);
    connection_->StartRequest(MakeRequest());
    SetResponseTimeout(params_.answer_timeout);
    if (auto failure = co_await ReadMatchingHead()) {
      co_return std::move(*failure);
    }
    AttemptResult result = co_await HandleAnswer();
    guard_.SetCancel({});
    state_.pool.Put(params_.endpoint.instance, std::move(connection_), Now());
    co_return result;
  }

 private:
  void SetResponseTimeout(std::optional<Duration> limit) {
    guard_.SetResponseDeadline(limit ? std::optional(Now() + *limit) : std::nullopt);
  }

  void CloseWhenInterrupted() {
    guard_.SetCancel([connection = connection_.get()] { connection->Close(); });
  }

  Awaitable<std::optional<AttemptResult>> Connect() {
    connection_ = state_.pool.Take(params_.endpoint.instance, Now());
    if (connection_) {
      reused_ = true;
      CloseWhenInterrupted();
      co_return std::nullopt;
    }
    connection_ = std::make_unique<EndpointConnection>(state_.context);
    CloseWhenInterrupted();
    SetResponseTimeout(kConnectTimeout);
    auto failure = co_await connection_->Connect(params_.endpoint.address);
    CountConnect(failure);
    if (!failure) {
      co_return std::nullopt;
    }
    guard_.SetCancel({});
    AttemptResult result;
    result.outcome = AttemptOutcome::kNotConnected;
    result.reason = "connect";
    result.refused = failure->refused;
    result.error = failure->message;
    co_return result;
  }

  void CountConnect(const std::optional<ConnectionFailure>& failure) {
    const std::string_view result = !failure           ? "connected"
                                    : failure->refused ? "refused"
                                                       : "no_answer";
    state_.metrics.Count({"rudderloom_endpoint_connects_total", "result", result});
  }

  HttpRequest MakeRequest() const {
    const HttpRequest& original = exchange_.Request();
    HttpRequest request;
    request.method_string(original.method_string());
    request.target(original.target());
    request.version(11);
    for (const auto& field : original) {
      if (!IsHopByHop(field.name())) {
        request.insert(field.name_string(), field.value());
      }
    }
    ForwardMetadata terms;
    terms.endpoint = params_.endpoint.id;
    terms.caller = params_.caller;
    terms.time_left = Between(Now(), params_.deadline_at) - kEndpointDeadlineMargin;
    if (!params_.terms->model.empty()) {
      terms.urgency = params_.urgency;
    }
    if (const auto& last = params_.stream->sequence.Last()) {
      terms.after_event = std::to_string(*last);
      if (!params_.stream->weights_version.empty()) {
        terms.weights_version = params_.stream->weights_version;
      }
    }
    state_.dialect.Write(terms, request);
    request.body() = original.body();
    // Sets Content-Length also for an empty body, where the method allows one.
    request.prepare_payload();
    return request;
  }

  AttemptResult Fail(AttemptOutcome outcome, std::string_view reason) const {
    AttemptResult result;
    result.outcome = outcome;
    result.reason = reason;
    const bool endpoint_failed =
        guard_.Cause() == Interruption::kNone || guard_.Cause() == Interruption::kEndpointSilent;
    result.feedback = endpoint_failed ? EndpointFeedback::kFailed : EndpointFeedback::kNeutral;
    if (guard_.Cause() == Interruption::kEndpointSilent) {
      result.reason = "silent";
      result.silent = true;
    }
    return result;
  }

  // The connection ended and was not closed by this node.
  AttemptResult ConnectionBroken(AttemptOutcome outcome,
                                 std::string_view reason,
                                 const ConnectionFailure& failure) const {
    AttemptResult result = Fail(outcome, reason);
    result.broken = guard_.Cause() == Interruption::kNone;
    result.error = failure.message;
    result.sent_at = sent_at_;
    return result;
  }

  // A reused connection gave no answer. Connections that have been idle since then may be dead too.
  void DropSuspectConnections() {
    const Interruption cause = guard_.Cause();
    if (reused_ &&
        (cause == Interruption::kEndpointSilent || cause == Interruption::kDeadlineExceeded)) {
      state_.pool.DropIdleSince(params_.endpoint.instance, sent_at_);
    }
  }

  // Reads answer headers until the one for this request.
  Awaitable<std::optional<AttemptResult>> ReadMatchingHead() {
    const bool head_only = exchange_.Request().method() == http::verb::head;
    while (true) {
      auto read = co_await connection_->ReadHead(head_only);
      if (std::holds_alternative<ConnectionFailure>(read)) {
        DropSuspectConnections();
        co_return ConnectionBroken(AttemptOutcome::kFailed, "cut_before_answer",
                                   std::get<ConnectionFailure>(read));
      }
      status_ = connection_->Head().result_int();
      if (status_ / 100 == 1) {
        continue;
      }
      terms_ = state_.dialect.ReadAnswer(connection_->Head(), params_.endpoint.id);
      const bool mismatched = !terms_.request_id.empty() && terms_.request_id != params_.terms->id;
      if (!mismatched) {
        RecordLimit(state_, params_.endpoint, terms_, sent_at_);
        break;
      }
      state_.metrics.Count({"rudderloom_foreign_answers_total"});
      connection_->ForbidReuse();
      if (const auto failure = co_await connection_->SkipBody()) {
        co_return ConnectionBroken(AttemptOutcome::kFailed, "cut_after_foreign_answer", *failure);
      }
    }
    if (IsSuccess(status_) && (!terms_.is_signed || terms_.request_id.empty())) {
      connection_->ForbidReuse();
      co_return Fail(AttemptOutcome::kFailed, "unsigned_answer");
    }
    co_return std::nullopt;
  }

  Awaitable<AttemptResult> HandleAnswer() {
    if (params_.route->kind == RouteKind::kStream && IsSuccess(status_)) {
      co_return co_await RelayStream();
    }
    Reply reply;
    reply.status = status_;
    const auto& head = connection_->Head();
    const auto type = head[http::field::content_type];
    reply.content_type.assign(type.data(), type.size());
    reply.headers = EndToEndHeaders(head);
    while (true) {
      auto chunk = co_await connection_->ReadSome();
      if (std::holds_alternative<ConnectionFailure>(chunk)) {
        co_return ConnectionBroken(
            terms_.not_run ? AttemptOutcome::kNotRun : AttemptOutcome::kFailed, "cut_within_answer",
            std::get<ConnectionFailure>(chunk));
      }
      if (std::holds_alternative<EndpointConnection::End>(chunk)) {
        break;
      }
      reply.body += std::get<std::string>(chunk);
    }
    co_return co_await ClassifyAnswer(std::move(reply));
  }

  Awaitable<AttemptResult> ClassifyAnswer(Reply reply) {
    AttemptResult result;
    result.status = status_;
    if (terms_.not_run) {
      result.outcome = AttemptOutcome::kNotRun;
      result.reason = terms_.wrong_instance ? "wrong_instance"
                      : terms_.not_resident ? "not_resident"
                                            : "shed";
      result.feedback = terms_.not_resident ? EndpointFeedback::kNeutral : EndpointFeedback::kShed;
      result.not_resident = terms_.not_resident;
      co_return result;
    }
    if (status_ >= kServerError || PromisesNotRun(status_)) {
      result.outcome = AttemptOutcome::kFailed;
      result.reason = "endpoint_error";
      result.feedback = EndpointFeedback::kFailed;
      // Such a status without the endpoint's guarantee must not reach the client, and a started
      // stream may only be continued with events.
      if (!PromisesNotRun(status_) && !params_.stream->started) {
        result.reply = std::move(reply);
      }
      co_return result;
    }
    if (params_.stream->started) {
      result.outcome = AttemptOutcome::kFailed;
      result.reason = "stream_refused";
      co_return result;
    }
    params_.on_answer_started();
    result.outcome = AttemptOutcome::kAnswered;
    result.feedback = EndpointFeedback::kServed;
    state_.metrics.Count({"rudderloom_requests_total", "result", "served"});
    co_await exchange_.Send(std::move(reply));
    co_return result;
  }

  Awaitable<AttemptResult> RelayStream() {
    if (params_.stream->weights_version.empty()) {
      params_.stream->weights_version = terms_.weights_version;
    }
    const bool resumable = params_.answer_timeout.has_value();
    EventFramer framer;
    while (true) {
      auto chunk = co_await connection_->ReadSome();
      if (std::holds_alternative<ConnectionFailure>(chunk)) {
        co_return ConnectionBroken(AttemptOutcome::kFailed, "cut_within_stream",
                                   std::get<ConnectionFailure>(chunk));
      }
      if (std::holds_alternative<EndpointConnection::End>(chunk)) {
        break;
      }
      framer.Feed(std::get<std::string>(chunk));
      if (resumable) {
        SetResponseTimeout(params_.event_timeout);
      }
      std::string events;
      if (!CollectEvents(framer, events)) {
        connection_->ForbidReuse();
        co_return Fail(AttemptOutcome::kFailed, "gap_in_stream");
      }
      if (events.empty()) {
        continue;
      }
      const bool forwarded = co_await ForwardEvents(events);
      if (!forwarded) {
        guard_.ClientDisconnected();
        co_return Fail(AttemptOutcome::kFailed, "client_gone");
      }
    }
    if (framer.HasPartial()) {
      connection_->ForbidReuse();
      co_return Fail(AttemptOutcome::kFailed, "torn_stream");
    }
    co_return co_await FinishStream();
  }

  // Appends complete events that the client has not received to `out`; false if one is missing.
  bool CollectEvents(EventFramer& framer, std::string& out) {
    while (auto event = framer.Next()) {
      const auto verdict = params_.stream->sequence.Take(*event);
      if (verdict == EventSequence::Verdict::kGap) {
        return false;
      }
      if (verdict == EventSequence::Verdict::kPass) {
        out += event->text;
      }
    }
    return true;
  }

  // GCC 12 miscompiles co_await after && or ||, so each co_await is a statement of its own.
  Awaitable<bool> StartClientStream() {
    if (params_.stream->started) {
      co_return true;
    }
    params_.stream->started = true;
    const AnswerHead& head = connection_->Head();
    const auto type = head[http::field::content_type];
    co_return co_await exchange_.StartStream(status_, std::string(type), EndToEndHeaders(head));
  }

  Awaitable<bool> ForwardEvents(const std::string& events) {
    params_.on_answer_started();
    const bool started = co_await StartClientStream();
    if (!started) {
      co_return false;
    }
    params_.stream->pace.RecordEvents(Now());
    co_return co_await exchange_.WriteChunk(events);
  }

  Awaitable<AttemptResult> FinishStream() {
    AttemptResult result;
    result.status = status_;
    result.outcome = AttemptOutcome::kAnswered;
    result.feedback = EndpointFeedback::kServed;
    const bool started = co_await StartClientStream();
    if (!started) {
      co_return result;
    }
    state_.metrics.Count({"rudderloom_requests_total", "result", "served"});
    co_await exchange_.EndStream();
    co_return result;
  }

  ForwardingState& state_;
  HttpExchange& exchange_;
  CallGuard& guard_;
  AttemptParams params_;
  std::unique_ptr<EndpointConnection> connection_;
  unsigned status_ = 0;
  AnswerMetadata terms_;
  bool reused_ = false;  // the connection has carried another request before
  TimePoint sent_at_;
};

}  // namespace

Awaitable<AttemptResult> RunAttempt(ForwardingState& state,
                                    HttpExchange& exchange,
                                    CallGuard& guard,
                                    AttemptParams params) {
  Attempt attempt(state, exchange, guard, std::move(params));
  co_return co_await attempt.Run();
}

}  // namespace rudderloom
