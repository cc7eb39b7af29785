#include "forwarding/attempt.hpp"

#include <algorithm>  // for max
#include <utility>    // for move

#include "forwarding/client_write.hpp"     // for ClientWrite
#include "forwarding/endpoint_link.hpp"    // for EndpointLink
#include "forwarding/gateway_headers.hpp"  // for kGatewayConnectionRefused
#include "forwarding/hop_by_hop.hpp"       // for IsHopByHop, SetPayloadLength
#include "forwarding/kept_answer.hpp"      // for KeptAnswer
#include "rudderloom/base/log_line.hpp"    // for LogLine

namespace rudderloom {

namespace {

// Shortens the endpoint's deadline so that its timeout answer arrives before this node's own
// timeout.
constexpr Duration kEndpointDeadlineMargin{10};
constexpr unsigned kServerError = 500;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

// Statuses that guarantee to the client that its request has not run.
bool PromisesNotRun(unsigned status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

bool IsSuccess(unsigned status) {
  return status / 100 == 2;
}

class Attempt {
 public:
  Attempt(ForwardingState& state, HttpExchange& exchange, CallGuard& guard, AttemptParams params)
      : state_(state),
        exchange_(exchange),
        guard_(guard),
        params_(std::move(params)),
        link_(state, guard, params_.endpoint) {}

  Awaitable<AttemptResult> Run() {
    auto failure = co_await Connect();
    while (!failure) {
      if (!link_.MaySend()) {
        co_return NotConnected("interrupted", {});
      }
      if (Now() > params_.send_by) {
        link_.Release();
        co_return PermitExpired();
      }
      params_.on_sent();
      HttpRequest request = MakeRequest();
      link_.Send(std::move(request), params_.answer_timeout.has_value());
      SetResponseTimeout(params_.answer_timeout);
      failure = co_await ReadMatchingHead();
      if (failure) {
        break;
      }
      if (link_.GatewayRefusal().empty()) {
        AttemptResult result = co_await HandleAnswer();
        link_.Release();
        co_return result;
      }
      failure = co_await TryNextGateway();
    }
    co_return std::move(*failure);
  }

 private:
  void SetResponseTimeout(std::optional<Duration> limit) {
    guard_.SetResponseDeadline(limit ? std::optional(Now() + *limit) : std::nullopt);
  }

  // Goes through another node if this one can't reach the endpoint.
  Awaitable<std::optional<AttemptResult>> Connect() {
    if (!UsesGateway()) {
      const auto failure = co_await link_.Connect();
      if (!failure) {
        co_return std::nullopt;
      }
      guard_.ClearSilence();
      if (guard_.Interrupted() || !UsesGateway()) {
        co_return NotConnected("connect", *failure);
      }
    }
    co_return co_await ConnectToGateway();
  }

  // Without gateways, an endpoint that fails repeatedly is tried directly again.
  bool UsesGateway() const {
    const bool any_gateway = !state_.views.Current()->gateways.empty();
    return state_.reach.CutOff() ||
           (any_gateway && state_.reach.NeedsGateway(params_.endpoint.instance, Now()));
  }

  Awaitable<std::optional<AttemptResult>> ConnectToGateway() {
    const auto failure = co_await link_.ConnectToGateway();
    if (failure) {
      state_.reach.GatewayFailed(params_.endpoint.instance, Now());
      co_return NotConnected("gateway", *failure);
    }
    co_return std::nullopt;
  }

  // The gateway has not sent the request, so it may go through another one.
  Awaitable<std::optional<AttemptResult>> TryNextGateway() {
    params_.on_connecting();
    const std::string refusal(link_.GatewayRefusal());
    if (refusal != kGatewayEndpointPaused) {
      link_.GatewayRefused();
    }
    if (refusal != kGatewayUnreachable && refusal != kGatewayConnectionRefused) {
      co_return co_await ConnectToGateway();
    }
    // A node with links of its own can't reach the endpoint either.
    state_.reach.GatewayFailed(params_.endpoint.instance, Now());
    ConnectionFailure failure;
    failure.message = "gateway: " + refusal;
    failure.refused = refusal == kGatewayConnectionRefused;
    co_return NotConnected("gateway", failure);
  }

  AttemptResult NotConnected(std::string_view reason, const ConnectionFailure& failure) const {
    AttemptResult result;
    result.outcome = AttemptOutcome::kNotConnected;
    result.reason = reason;
    result.refused = failure.refused;
    result.error = failure.message;
    result.through_gateway = reason == "gateway";
    if (state_.reach.CutOff() || failure.local || WasGivenUp()) {
      result.feedback = EndpointFeedback::kNeutral;
    }
    return result;
  }

  // The request was interrupted, and not because of the endpoint.
  bool WasGivenUp() const {
    return guard_.Cause() != Interruption::kNone && guard_.Cause() != Interruption::kEndpointSilent;
  }

  static AttemptResult PermitExpired() {
    AttemptResult result;
    result.outcome = AttemptOutcome::kNotConnected;
    result.reason = "permit_expired";
    result.feedback = EndpointFeedback::kNeutral;
    return result;
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
    SetPayloadLength(request);
    return request;
  }

  AttemptResult Fail(AttemptOutcome outcome, std::string_view reason) const {
    AttemptResult result;
    result.outcome = outcome;
    result.reason = reason;
    result.feedback = WasGivenUp() ? EndpointFeedback::kNeutral : EndpointFeedback::kFailed;
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
    result.sent_at = link_.SentAt();
    result.through_gateway = link_.ThroughGateway();
    return result;
  }

  // Reads answer headers until the one for this request.
  Awaitable<std::optional<AttemptResult>> ReadMatchingHead() {
    const bool head_only = exchange_.Request().method() == http::verb::head;
    auto read = co_await link_.ReadHead(params_.terms->id, head_only);
    if (const auto* failure = std::get_if<LinkFailure>(&read)) {
      co_return ConnectionBroken(AttemptOutcome::kFailed, failure->reason, failure->connection);
    }
    if (!link_.GatewayRefusal().empty()) {
      co_return std::nullopt;
    }
    terms_ = std::get<AnswerMetadata>(std::move(read));
    status_ = link_.Connection().Head().result_int();
    if (IsSuccess(status_) && (!terms_.is_signed || terms_.request_id.empty())) {
      link_.Connection().ForbidReuse();
      co_return Fail(AttemptOutcome::kFailed, "unsigned_answer");
    }
    co_return std::nullopt;
  }

  Awaitable<AttemptResult> HandleAnswer() {
    KeepClientHead();
    if (params_.route->kind == RouteKind::kStream && IsSuccess(status_)) {
      co_return co_await RelayStream();
    }
    Reply reply;
    reply.status = status_;
    auto kept = std::make_shared<KeptAnswer>(state_.readers.Answers());
    while (true) {
      kept->Set(reply.body.size());
      if (kept->Full()) {
        if (!MayPassOn()) {
          link_.Connection().ForbidReuse();
          co_return Fail(AttemptOutcome::kFailed, "answer_too_long");
        }
        co_return co_await PassOn(std::move(reply.body), *kept);
      }
      SetResponseTimeout(params_.answer_timeout);
      auto chunk = co_await link_.ReadSome();
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
    reply.content_type = std::move(content_type_);
    reply.headers = std::move(client_headers_);
    co_return co_await ClassifyAnswer(std::move(reply), std::move(kept));
  }

  // Keeps what the client gets of the header. At the end of the body, the parser adds its trailers
  // to the fields of the header.
  void KeepClientHead() {
    const AnswerHead& head = link_.Connection().Head();
    const auto type = head[http::field::content_type];
    content_type_.assign(type.data(), type.size());
    client_headers_ = EndToEndHeaders(head);
    std::erase_if(client_headers_,
                  [](const auto& header) { return IsGatewayHeader(header.first); });
  }

  // An answer that would not be sent to the client, or not without a retry, is not passed on.
  bool MayPassOn() const {
    return !terms_.not_run && status_ < kServerError && !PromisesNotRun(status_) &&
           !params_.stream->started;
  }

  // Waits until the client has taken the piece, so that at most one is held for each client.
  Awaitable<bool> WriteToClient(const std::string& piece) {
    const ClientWrite write(state_, params_.terms->id, piece.size());
    co_return co_await exchange_.WriteChunk(piece);
  }

  // Passes a long answer on as it arrives. From here on no other endpoint can answer. `kept` counts
  // the piece until the client has taken it.
  Awaitable<AttemptResult> PassOn(std::string piece, ByteShare& kept) {
    state_.metrics.Count({"rudderloom_long_answers_total"});
    params_.on_answer_started();
    params_.stream->has_events = false;
    // No other endpoint can take over, so silence is no reason to end the answer.
    SetResponseTimeout(std::nullopt);
    bool delivered = co_await StartClientStream();
    while (delivered) {
      delivered = co_await WriteToClient(piece);
      if (!delivered) {
        break;
      }
      piece = std::string();
      kept.Set(0);
      auto chunk = co_await link_.ReadSome();
      if (std::holds_alternative<ConnectionFailure>(chunk)) {
        co_return ConnectionBroken(AttemptOutcome::kFailed, "cut_within_answer",
                                   std::get<ConnectionFailure>(chunk));
      }
      if (std::holds_alternative<EndpointConnection::End>(chunk)) {
        co_return co_await FinishStream();
      }
      piece = std::get<std::string>(std::move(chunk));
      kept.Set(piece.size());
    }
    guard_.ClientDisconnected();
    co_return Fail(AttemptOutcome::kFailed, "client_gone");
  }

  Awaitable<AttemptResult> ClassifyAnswer(Reply reply, std::shared_ptr<ByteShare> kept) {
    AttemptResult result;
    result.status = status_;
    if (terms_.not_run) {
      result.outcome = AttemptOutcome::kNotRun;
      result.retry_after = terms_.retry_after;
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
        kept->Set(2 * reply.body.size());
        result.reply = std::move(reply);
        result.kept = std::move(kept);
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
    result.ends_with_connection = link_.EndsWithConnection();
    state_.metrics.Count({"rudderloom_requests_total", "result", "served"});
    const ClientWrite write(state_, params_.terms->id, reply.body.size());
    co_await exchange_.Send(std::move(reply));
    co_return result;
  }

  Awaitable<AttemptResult> RelayStream() {
    if (params_.stream->weights_version.empty()) {
      params_.stream->weights_version = terms_.weights_version;
    }
    const bool resumable = params_.answer_timeout.has_value();
    bool any_event = false;
    EventFramer framer;
    params_.stream->sequence.BeginAttempt();
    KeptAnswer kept(state_.readers.Answers(), KeptAnswer::kFreeEventBytes);
    while (true) {
      auto chunk = co_await link_.ReadSome();
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
      const CollectedEvents collected = CollectEvents(framer);
      kept.Set(framer.PartialBytes() + collected.text.size());
      if (!collected.text.empty()) {
        any_event = true;
        const bool may_begin = co_await MayBegin();
        if (!may_begin) {
          co_return NotConfirmed();
        }
        const bool forwarded = co_await ForwardEvents(collected.text);
        if (!forwarded) {
          guard_.ClientDisconnected();
          co_return Fail(AttemptOutcome::kFailed, "client_gone");
        }
      }
      if (!collected.in_order) {
        co_return Gap();
      }
      kept.Set(framer.PartialBytes());
      if (kept.Full()) {
        link_.Connection().ForbidReuse();
        co_return Fail(AttemptOutcome::kFailed, "event_too_long");
      }
    }
    if (link_.EndsWithConnection() && (framer.HasPartial() || !any_event)) {
      co_return ConnectionBroken(AttemptOutcome::kFailed, "torn_stream", {});
    }
    if (framer.HasPartial()) {
      link_.Connection().ForbidReuse();
      co_return Fail(AttemptOutcome::kFailed, "torn_stream");
    }
    if (!params_.stream->sequence.MayEnd()) {
      co_return Gap();
    }
    co_return co_await FinishStream();
  }

  AttemptResult Gap() {
    link_.Connection().ForbidReuse();
    return Fail(AttemptOutcome::kFailed, "gap_in_stream");
  }

  Awaitable<bool> MayBegin() {
    if (params_.stream->started || !params_.may_begin) {
      co_return true;
    }
    SetResponseTimeout(std::nullopt);
    const bool may_begin = co_await params_.may_begin();
    if (params_.answer_timeout) {
      SetResponseTimeout(params_.event_timeout);
    }
    co_return may_begin;
  }

  // The endpoint is not at fault.
  AttemptResult NotConfirmed() {
    link_.Connection().ForbidReuse();
    params_.stream->unconfirmed = true;
    params_.stream->sequence = {};
    AttemptResult result = Fail(AttemptOutcome::kFailed, "start_not_confirmed");
    result.feedback = EndpointFeedback::kNeutral;
    return result;
  }

  // Complete events that the client has not received.
  struct CollectedEvents {
    std::string text;
    bool in_order = true;  // false: an event is missing after them
  };

  // The sequence counts the returned events as received, so they must be forwarded whatever
  // follows.
  CollectedEvents CollectEvents(EventFramer& framer) {
    EventSequence& sequence = params_.stream->sequence;
    const bool was_misnumbered = sequence.Misnumbered();
    CollectedEvents collected;
    while (auto event = framer.Next()) {
      const auto verdict = sequence.Take(*event);
      if (verdict == EventSequence::Verdict::kGap) {
        collected.in_order = false;
        break;
      }
      if (verdict == EventSequence::Verdict::kPass) {
        collected.text += event->text;
      }
    }
    if (sequence.Misnumbered() && !was_misnumbered) {
      RecordMisnumbered();
    }
    return collected;
  }

  void RecordMisnumbered() {
    state_.metrics.Count({"rudderloom_misnumbered_streams_total"});
    if (state_.log_quota.Allows(Now())) {
      LogLine("stream_misnumbered", Severity::kWarning)
          .With("request_id", params_.terms->id)
          .With("endpoint", params_.endpoint.instance)
          .With("last_event", *params_.stream->sequence.Last());
    }
  }

  // GCC 12 miscompiles co_await after && or ||, so each co_await is a statement of its own.
  Awaitable<bool> StartClientStream() {
    if (params_.stream->started) {
      co_return true;
    }
    params_.stream->started = true;
    if (params_.stream->software_version.empty()) {
      params_.stream->software_version = params_.endpoint.software_version;
    }
    co_return co_await exchange_.StartStream(status_, content_type_, client_headers_);
  }

  Awaitable<bool> ForwardEvents(const std::string& events) {
    params_.on_answer_started();
    // Nothing is read from the endpoint until the client has taken the events.
    SetResponseTimeout(std::nullopt);
    const bool started = co_await StartClientStream();
    if (!started) {
      co_return false;
    }
    params_.stream->pace.RecordEvents(Now());
    const bool written = co_await WriteToClient(events);
    if (params_.answer_timeout) {
      SetResponseTimeout(params_.event_timeout);
    }
    co_return written;
  }

  Awaitable<AttemptResult> FinishStream() {
    AttemptResult result;
    result.status = status_;
    result.outcome = AttemptOutcome::kAnswered;
    result.feedback = params_.stream->sequence.Misnumbered() ? EndpointFeedback::kFailed
                                                             : EndpointFeedback::kServed;
    result.ends_with_connection = link_.EndsWithConnection();
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
  EndpointLink link_;
  unsigned status_ = 0;
  AnswerMetadata terms_;
  std::string content_type_;
  HeaderList client_headers_;
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
