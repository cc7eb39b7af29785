#include "forwarding/attempt.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

#include "forwarding/limit_check.hpp"  // for NoteLimit, CountLimitedSend

namespace rudderloom {

namespace {

constexpr Duration kConnectLimit{350};
// The endpoint's own word that the time is up should come before ours.
constexpr Duration kEndpointHeadStart{10};
constexpr unsigned kServerError = 500;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

bool IsOneHop(http::field field) {
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

// Statuses that promise to the client that its request has not run.
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
    if (!IsOneHop(field.name()) && field.name() != http::field::content_type) {
      headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
  }
  return headers;
}

class Attempt {
 public:
  Attempt(ForwardingState& state, HttpExchange& exchange, CallGuard& guard, AttemptAsk ask)
      : state_(state), exchange_(exchange), guard_(guard), ask_(std::move(ask)) {}
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt() { guard_.Attach(nullptr); }

  Awaitable<AttemptResult> Run() {
    if (auto failure = co_await Connect()) {
      co_return std::move(*failure);
    }
    ask_.on_sent();
    sent_at_ = Now();
    CountLimitedSend(state_, ask_.endpoint);
    connection_->StartRequest(MakeRequest());
    ExpectWithin(ask_.first_silence);
    if (auto failure = co_await ReadOwnHead()) {
      co_return std::move(*failure);
    }
    AttemptResult result = co_await HandleAnswer();
    guard_.Attach(nullptr);
    state_.pool.Put(ask_.endpoint.instance, std::move(connection_), Now());
    co_return result;
  }

 private:
  void ExpectWithin(std::optional<Duration> limit) {
    guard_.ExpectBefore(limit ? std::optional(Now() + *limit) : std::nullopt);
  }

  Awaitable<std::optional<AttemptResult>> Connect() {
    connection_ = state_.pool.Take(ask_.endpoint.instance, Now());
    if (connection_) {
      kept_ = true;
      guard_.Attach(connection_.get());
      co_return std::nullopt;
    }
    connection_ = std::make_unique<EndpointConnection>(state_.context);
    guard_.Attach(connection_.get());
    ExpectWithin(kConnectLimit);
    auto failure = co_await connection_->Connect(ask_.endpoint.address);
    if (!failure) {
      co_return std::nullopt;
    }
    guard_.Attach(nullptr);
    AttemptResult result;
    result.outcome = AttemptOutcome::kNotConnected;
    result.reason = "connect";
    result.refused = failure->refused;
    result.error = failure->message;
    co_return result;
  }

  HttpRequest MakeRequest() const {
    const HttpRequest& original = exchange_.Request();
    HttpRequest request;
    request.method_string(original.method_string());
    request.target(original.target());
    request.version(11);
    for (const auto& field : original) {
      if (!IsOneHop(field.name())) {
        request.insert(field.name_string(), field.value());
      }
    }
    SendTerms terms;
    terms.endpoint = ask_.endpoint.id;
    terms.caller = ask_.caller;
    terms.time_left = Between(Now(), ask_.time_up) - kEndpointHeadStart;
    if (!ask_.terms->model.empty()) {
      terms.urgency = ask_.urgency;
    }
    if (const auto& last = ask_.stream->sequence.Last()) {
      terms.after_event = std::to_string(*last);
      if (!ask_.stream->weights_version.empty()) {
        terms.weights_version = ask_.stream->weights_version;
      }
    }
    state_.dialect.Write(terms, request);
    request.body() = original.body();
    // Says the length also of an empty body, where the method has one.
    request.prepare_payload();
    return request;
  }

  AttemptResult Fail(AttemptOutcome outcome, std::string_view reason) const {
    AttemptResult result;
    result.outcome = outcome;
    result.reason = reason;
    const bool endpoint_failed =
        guard_.Why() == Interruption::kNone || guard_.Why() == Interruption::kSilent;
    result.mark = endpoint_failed ? AttemptMark::kFailed : AttemptMark::kNeutral;
    if (guard_.Why() == Interruption::kSilent) {
      result.reason = "silent";
      result.silent = true;
    }
    return result;
  }

  // The connection ended, and nobody on this side ended it.
  AttemptResult Broken(AttemptOutcome outcome,
                       std::string_view reason,
                       const ConnectionFailure& failure) const {
    AttemptResult result = Fail(outcome, reason);
    result.broken = guard_.Why() == Interruption::kNone;
    result.error = failure.message;
    result.sent_at = sent_at_;
    return result;
  }

  // Not a word came on a kept connection: others that have rested since may be as silent.
  void DoubtKeptConnections() {
    const Interruption why = guard_.Why();
    if (kept_ && (why == Interruption::kSilent || why == Interruption::kTimeUp)) {
      state_.pool.DropSince(ask_.endpoint.instance, sent_at_);
    }
  }

  // Reads heads until the one that answers this request.
  Awaitable<std::optional<AttemptResult>> ReadOwnHead() {
    const bool head_only = exchange_.Request().method() == http::verb::head;
    while (true) {
      auto read = co_await connection_->ReadHead(head_only);
      if (std::holds_alternative<ConnectionFailure>(read)) {
        DoubtKeptConnections();
        co_return Broken(AttemptOutcome::kFailed, "cut_before_answer",
                         std::get<ConnectionFailure>(read));
      }
      status_ = connection_->Head().result_int();
      if (status_ / 100 == 1) {
        continue;
      }
      terms_ = state_.dialect.ReadAnswer(connection_->Head(), ask_.endpoint.id);
      const bool foreign = !terms_.request_id.empty() && terms_.request_id != ask_.terms->id;
      if (!foreign) {
        NoteLimit(state_, ask_.endpoint, terms_, sent_at_);
        break;
      }
      state_.metrics.Count({"rudderloom_foreign_answers_total"});
      connection_->Distrust();
      if (const auto failure = co_await connection_->SkipBody()) {
        co_return Broken(AttemptOutcome::kFailed, "cut_after_foreign_answer", *failure);
      }
    }
    if (IsSuccess(status_) && (!terms_.is_signed || terms_.request_id.empty())) {
      connection_->Distrust();
      co_return Fail(AttemptOutcome::kFailed, "unsigned_answer");
    }
    co_return std::nullopt;
  }

  Awaitable<AttemptResult> HandleAnswer() {
    if (ask_.route->kind == RouteKind::kStream && IsSuccess(status_)) {
      co_return co_await RelayStream();
    }
    Reply reply;
    reply.status = status_;
    const auto& head = connection_->Head();
    const auto type = head[http::field::content_type];
    reply.content_type.assign(type.data(), type.size());
    reply.headers = EndToEndHeaders(head);
    while (true) {
      auto piece = co_await connection_->ReadSome();
      if (std::holds_alternative<ConnectionFailure>(piece)) {
        co_return Broken(terms_.not_run ? AttemptOutcome::kNotRun : AttemptOutcome::kFailed,
                         "cut_within_answer", std::get<ConnectionFailure>(piece));
      }
      if (std::holds_alternative<EndpointConnection::End>(piece)) {
        break;
      }
      reply.body += std::get<std::string>(piece);
    }
    co_return co_await JudgeWhole(std::move(reply));
  }

  Awaitable<AttemptResult> JudgeWhole(Reply reply) {
    AttemptResult result;
    result.status = status_;
    if (terms_.not_run) {
      result.outcome = AttemptOutcome::kNotRun;
      result.reason = terms_.wrong_instance ? "wrong_instance"
                      : terms_.not_resident ? "not_resident"
                                            : "shed";
      result.mark = terms_.not_resident ? AttemptMark::kNeutral : AttemptMark::kShed;
      result.not_resident = terms_.not_resident;
      co_return result;
    }
    if (status_ >= kServerError || PromisesNotRun(status_)) {
      result.outcome = AttemptOutcome::kFailed;
      result.reason = "endpoint_error";
      result.mark = AttemptMark::kFailed;
      // Without the endpoint's promise such a status must not reach the client, and nothing but
      // events may follow those that it has.
      if (!PromisesNotRun(status_) && !ask_.stream->started) {
        result.reply = std::move(reply);
      }
      co_return result;
    }
    if (ask_.stream->started) {
      result.outcome = AttemptOutcome::kFailed;
      result.reason = "stream_refused";
      co_return result;
    }
    ask_.on_begun();
    result.outcome = AttemptOutcome::kAnswered;
    result.mark = AttemptMark::kServed;
    state_.metrics.Count({"rudderloom_requests_total", "result", "served"});
    co_await exchange_.Send(std::move(reply));
    co_return result;
  }

  Awaitable<AttemptResult> RelayStream() {
    if (ask_.stream->weights_version.empty()) {
      ask_.stream->weights_version = terms_.weights_version;
    }
    const bool movable = ask_.first_silence.has_value();
    EventFramer framer;
    while (true) {
      auto piece = co_await connection_->ReadSome();
      if (std::holds_alternative<ConnectionFailure>(piece)) {
        co_return Broken(AttemptOutcome::kFailed, "cut_within_stream",
                         std::get<ConnectionFailure>(piece));
      }
      if (std::holds_alternative<EndpointConnection::End>(piece)) {
        break;
      }
      framer.Feed(std::get<std::string>(piece));
      if (movable) {
        ExpectWithin(ask_.later_silence);
      }
      std::string events;
      if (!TakeEvents(framer, events)) {
        connection_->Distrust();
        co_return Fail(AttemptOutcome::kFailed, "gap_in_stream");
      }
      if (events.empty()) {
        continue;
      }
      const bool passed = co_await PassOn(events);
      if (!passed) {
        guard_.ClientGone();
        co_return Fail(AttemptOutcome::kFailed, "client_gone");
      }
    }
    if (framer.HasPartial()) {
      connection_->Distrust();
      co_return Fail(AttemptOutcome::kFailed, "torn_stream");
    }
    co_return co_await FinishStream();
  }

  // Moves whole events that the client lacks to `out`; false when one is missing.
  bool TakeEvents(EventFramer& framer, std::string& out) {
    while (auto event = framer.Next()) {
      const auto verdict = ask_.stream->sequence.Take(*event);
      if (verdict == EventSequence::Verdict::kGap) {
        return false;
      }
      if (verdict == EventSequence::Verdict::kPass) {
        out += event->text;
      }
    }
    return true;
  }

  // GCC 12 goes wrong on co_await behind && or ||, so each stands in a statement of its own.
  Awaitable<bool> StartClientStream() {
    if (ask_.stream->started) {
      co_return true;
    }
    ask_.stream->started = true;
    const AnswerHead& head = connection_->Head();
    const auto type = head[http::field::content_type];
    co_return co_await exchange_.StartStream(status_, std::string(type), EndToEndHeaders(head));
  }

  Awaitable<bool> PassOn(const std::string& events) {
    ask_.on_begun();
    const bool started = co_await StartClientStream();
    if (!started) {
      co_return false;
    }
    ask_.stream->pace.Passed(Now());
    co_return co_await exchange_.WriteChunk(events);
  }

  Awaitable<AttemptResult> FinishStream() {
    AttemptResult result;
    result.status = status_;
    result.outcome = AttemptOutcome::kAnswered;
    result.mark = AttemptMark::kServed;
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
  AttemptAsk ask_;
  std::unique_ptr<EndpointConnection> connection_;
  unsigned status_ = 0;
  AnswerTerms terms_;
  bool kept_ = false;  // the connection had carried another request
  TimePoint sent_at_;
};

}  // namespace

Awaitable<AttemptResult> RunAttempt(ForwardingState& state,
                                    HttpExchange& exchange,
                                    CallGuard& guard,
                                    AttemptAsk ask) {
  Attempt attempt(state, exchange, guard, std::move(ask));
  co_return co_await attempt.Run();
}

}  // namespace rudderloom
