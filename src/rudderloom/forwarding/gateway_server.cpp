#include "rudderloom/forwarding/gateway_server.hpp"

#include <algorithm>  // for find_if
#include <utility>    // for move

#include "forwarding/client_write.hpp"     // for ClientWrite
#include "forwarding/crash_check.hpp"      // for RecordConnectionBreak
#include "forwarding/endpoint_link.hpp"    // for EndpointLink
#include "forwarding/gateway_headers.hpp"  // for kGatewayKeyHeader
#include "forwarding/hop_by_hop.hpp"       // for EndToEndHeaders, SetPayloadLength
#include "forwarding/kept_answer.hpp"      // for KeptAnswer
#include "rudderloom/base/log_line.hpp"    // for LogLine

namespace rudderloom {

namespace {

constexpr unsigned kForbidden = 403;
constexpr unsigned kUnavailable = 503;
constexpr Duration kDefaultDeadline{30'000};
// The node that asked gives up first, so that this one never cuts an answer off.
constexpr Duration kDeadlineMargin{200};

std::string HeaderOf(const HttpRequest& request, const char* name) {
  const auto value = request[name];
  return {value.data(), value.size()};
}

class GatewayExchange {
 public:
  GatewayExchange(ForwardingState& state, HttpExchange& exchange)
      : state_(state), exchange_(exchange), terms_(state.dialect.ReadRequest(exchange.Request())) {}

  Awaitable<void> Run() {
    const HttpRequest& request = exchange_.Request();
    const Gateway& own = state_.own_gateway;
    if (own.key.empty() || HeaderOf(request, kGatewayKeyHeader) != own.key) {
      co_await Refuse(kGatewayUnknownKey);
      co_return;
    }
    if (state_.stopping || state_.reach.CutOff()) {
      co_await Refuse(kGatewayUnavailable);
      co_return;
    }
    const auto endpoint = FindEndpoint(HeaderOf(request, kGatewayEndpointHeader));
    if (!endpoint || state_.leaving.contains(endpoint->instance)) {
      co_await Refuse(kGatewayUnknownEndpoint);
      co_return;
    }
    if (state_.pauses.Paused(KeyOf(endpoint->instance), Now())) {
      co_await Refuse(kGatewayEndpointPaused);
      co_return;
    }
    const Duration time_left = terms_.deadline.value_or(kDefaultDeadline) + kDeadlineMargin;
    CallGuard guard(state_.context, state_.guards,
                    std::min(Now() + time_left, state_.stop_deadline), [this] { return !sent_; });
    exchange_.WatchPeer([&guard] { guard.ClientDisconnected(); });
    EndpointLink link(state_, guard, *endpoint);
    co_await Forward(link, guard, *endpoint);
    exchange_.StopWatching();
  }

 private:
  std::optional<EndpointRecord> FindEndpoint(const std::string& instance) const {
    const FleetViewPtr view = state_.views.Current();
    const auto found = std::find_if(
        view->endpoints.begin(), view->endpoints.end(),
        [&](const FleetEndpoint& endpoint) { return endpoint.record.instance == instance; });
    return found == view->endpoints.end() ? std::nullopt : std::optional(found->record);
  }

  Awaitable<void> Forward(EndpointLink& link, CallGuard& guard, const EndpointRecord& endpoint) {
    const auto failure = co_await link.Connect();
    if (failure) {
      co_await Refuse(failure->refused ? kGatewayConnectionRefused : kGatewayUnreachable);
      co_return;
    }
    if (!link.MaySend()) {
      Abort("interrupted");
      co_return;
    }
    sent_ = true;
    guard.SetResponseDeadline(std::nullopt);
    HttpRequest request = WithoutGatewayHeaders();
    link.Send(std::move(request), false);
    const bool head_only = exchange_.Request().method() == http::verb::head;
    auto read = co_await link.ReadHead(terms_.id, head_only);
    if (std::holds_alternative<LinkFailure>(read)) {
      RecordBreak(guard, endpoint, link.SentAt());
      Abort("cut_before_answer");
      co_return;
    }
    const bool complete = co_await RelayAnswer(link);
    if (!complete) {
      RecordBreak(guard, endpoint, link.SentAt());
      Abort("cut_within_answer");
      co_return;
    }
    RecordEnd("answered");
    link.Release();
  }

  HttpRequest WithoutGatewayHeaders() const {
    HttpRequest request = exchange_.Request();
    for (const char* name : kGatewayHeaders) {
      request.erase(name);
    }
    EraseHopByHop(request);
    SetPayloadLength(request);
    return request;
  }

  Awaitable<bool> RelayAnswer(EndpointLink& link) {
    const AnswerHead& head = link.Connection().Head();
    const auto type = head[http::field::content_type];
    HeaderList headers = EndToEndHeaders(head);
    std::erase_if(headers, [](const auto& header) { return IsGatewayHeader(header.first); });
    if (link.EndsWithConnection()) {
      headers.emplace_back(kGatewayEndHeader, "1");
    }
    const std::string content_type(type);
    const unsigned status = head.result_int();
    bool delivered = co_await exchange_.StartStream(status, content_type, std::move(headers));
    while (delivered) {
      auto chunk = co_await link.ReadSome();
      if (std::holds_alternative<ConnectionFailure>(chunk)) {
        co_return false;
      }
      if (std::holds_alternative<EndpointConnection::End>(chunk)) {
        co_return co_await exchange_.EndStream();
      }
      const std::string& data = std::get<std::string>(chunk);
      KeptAnswer kept(state_.readers.Answers());
      kept.Set(data.size());
      const ClientWrite write(state_, terms_.id, data.size());
      delivered = co_await exchange_.WriteChunk(data);
    }
    co_return false;
  }

  // The node that asked can't find out whether the endpoint has crashed. Only it knows the caller,
  // which is part of the digest of the request as a whole.
  void RecordBreak(const CallGuard& guard, const EndpointRecord& endpoint, TimePoint sent_at) {
    RequestDigests parts;
    AppendSharedParts(terms_.prompt, parts);
    if (guard.Cause() == Interruption::kNone && !parts.empty()) {
      RecordConnectionBreak(state_, endpoint, parts, sent_at);
    }
  }

  // The node that asked sees that the answer is not complete.
  void Abort(std::string_view result) {
    RecordEnd(result);
    exchange_.Abort();
  }

  void RecordEnd(std::string_view result) {
    state_.metrics.Count({"rudderloom_gateway_requests_total", "result", result});
    if (state_.log_quota.Allows(Now())) {
      LogLine("gateway_request")
          .With("request_id", terms_.id)
          .With("endpoint", HeaderOf(exchange_.Request(), kGatewayEndpointHeader))
          .With("result", result)
          .With("ms", Between(arrived_, Now()).count());
    }
  }

  // Answers that the request was not sent.
  Awaitable<void> Refuse(std::string_view reason) {
    RecordEnd(reason);
    Reply reply;
    reply.status = reason == kGatewayUnknownKey ? kForbidden : kUnavailable;
    reply.headers = {{kGatewayRefusalHeader, std::string(reason)}};
    co_await exchange_.Send(std::move(reply));
  }

  ForwardingState& state_;
  HttpExchange& exchange_;
  const RequestMetadata terms_;
  const TimePoint arrived_ = Now();
  bool sent_ = false;  // the endpoint may have received the request
};

}  // namespace

Awaitable<void> ForwardForNode(ForwardingState& state, HttpExchange& exchange) {
  GatewayExchange gateway(state, exchange);
  co_await gateway.Run();
}

}  // namespace rudderloom
