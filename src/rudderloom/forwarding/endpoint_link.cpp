#include "forwarding/endpoint_link.hpp"

#include <algorithm>  // for min
#include <utility>    // for move

#include "forwarding/gateway_headers.hpp"  // for kGatewayKeyHeader
#include "forwarding/limit_check.hpp"      // for CountLimitedSend, RecordAnnouncements
#include "forwarding/reach_watch.hpp"      // for ProbeAfterBreak, RecordReached

namespace rudderloom {

namespace {

constexpr Duration kConnectTimeout{350};
// A node that has just lost its links learns its gateways with the next answer of the lease holder.
constexpr Duration kGatewayListWait{500};
constexpr std::size_t kMaxGatewaysTried = 3;

}  // namespace

EndpointLink::EndpointLink(ForwardingState& state, CallGuard& guard, EndpointRecord endpoint)
    : state_(state), guard_(guard), buffer_(state.readers), endpoint_(std::move(endpoint)) {}

EndpointLink::~EndpointLink() {
  guard_.SetCancel({});
  StopWaiting();
  LeaveGateway();
}

// A connection keeps the buffers that it was opened with: those of an established one can't shrink
// below the window that its peer has been offered.
bool EndpointLink::TakeIfSmallEnough() {
  if (connection_ && connection_->BufferBytes() > buffer_.Bytes()) {
    connection_.reset();
  }
  return connection_ != nullptr;
}

void EndpointLink::CloseWhenInterrupted() {
  guard_.SetCancel([connection = connection_.get()] { connection->Close(); });
}

void EndpointLink::StopWaiting() {
  if (waiting_) {
    state_.pending_answers.erase(*waiting_);
    waiting_.reset();
  }
}

void EndpointLink::LeaveGateway() {
  if (gateway_) {
    state_.gateways.Ended(gateway_->address);
    gateway_.reset();
  }
}

Awaitable<std::optional<ConnectionFailure>> EndpointLink::Open(std::string address) {
  connection_ = std::make_unique<EndpointConnection>(state_.context);
  connection_->LimitBuffers(buffer_.Bytes());
  reused_ = false;
  CloseWhenInterrupted();
  guard_.SetResponseDeadline(Now() + kConnectTimeout);
  auto failure = co_await connection_->Connect(std::move(address));
  if (failure) {
    guard_.SetCancel({});
  }
  co_return failure;
}

void EndpointLink::CountConnect(const std::optional<ConnectionFailure>& failure) {
  const std::string_view result = !failure           ? "connected"
                                  : failure->refused ? "refused"
                                  : failure->local   ? "no_resources"
                                                     : "no_answer";
  state_.metrics.Count({"rudderloom_endpoint_connects_total", "result", result});
}

Awaitable<std::optional<ConnectionFailure>> EndpointLink::Connect() {
  if (guard_.Interrupted()) {
    co_return ConnectionFailure{false, "interrupted"};
  }
  connection_ = state_.pool.Take(endpoint_.instance, Now());
  if (TakeIfSmallEnough()) {
    reused_ = true;
    CloseWhenInterrupted();
    co_return std::nullopt;
  }
  auto failure = co_await Open(endpoint_.address);
  CountConnect(failure);
  const bool endpoint_failed =
      failure && !failure->local &&
      (guard_.Cause() == Interruption::kNone || guard_.Cause() == Interruption::kEndpointSilent);
  if (endpoint_failed) {
    RecordUnreachable(state_, endpoint_);
  }
  co_return failure;
}

Awaitable<std::optional<ConnectionFailure>> EndpointLink::ConnectToGateway() {
  LeaveGateway();
  const TimePoint list_expected_by = Now() + kGatewayListWait;
  while (state_.reach.CutOff() && state_.views.Current()->gateways.empty() &&
         Now() < list_expected_by && !guard_.Interrupted()) {
    co_await state_.views.WaitForNext(guard_.WaitTimer(), list_expected_by);
  }
  while (!guard_.Interrupted() && tried_gateways_.size() < kMaxGatewaysTried) {
    const FleetViewPtr view = state_.views.Current();
    gateway_ = state_.gateways.Choose(view->gateways, tried_gateways_, state_.random, Now());
    if (!gateway_) {
      break;
    }
    tried_gateways_.insert(gateway_->address);
    state_.gateways.Started(gateway_->address);
    connection_ = state_.gateway_pool.Take(gateway_->address, Now());
    if (TakeIfSmallEnough()) {
      reused_ = true;
      CloseWhenInterrupted();
      co_return std::nullopt;
    }
    const auto failure = co_await Open(gateway_->address);
    if (!failure) {
      co_return std::nullopt;
    }
    guard_.ClearSilence();
    GatewayRefused();
  }
  state_.metrics.Count({"rudderloom_gateway_attempts_total", "result", "no_gateway"});
  co_return ConnectionFailure{false, "no gateway", false};
}

void EndpointLink::GatewayRefused() {
  state_.metrics.Count({"rudderloom_gateway_attempts_total", "result", "not_forwarded"});
  state_.gateways.Failed(gateway_->address, Now());
  LeaveGateway();
}

void EndpointLink::Send(HttpRequest request, bool may_withdraw) {
  if (gateway_) {
    request.set(kGatewayKeyHeader, gateway_->key);
    request.set(kGatewayEndpointHeader, endpoint_.instance);
    state_.metrics.Count({"rudderloom_gateway_attempts_total", "result", "sent"});
  }
  sent_at_ = Now();
  CountLimitedSend(state_, endpoint_);
  connection_->StartRequest(request);
  if (!gateway_) {
    waiting_ = state_.pending_answers.insert(
        state_.pending_answers.end(), PendingAnswer{endpoint_, sent_at_, may_withdraw, &guard_});
  }
}

// Connections that have been idle since an unresponsive one was used may be dead too.
void EndpointLink::HandleHeadFailure() {
  const Interruption cause = guard_.Cause();
  const bool timed_out =
      cause == Interruption::kEndpointSilent || cause == Interruption::kDeadlineExceeded;
  if (gateway_) {
    if (cause == Interruption::kNone || timed_out) {
      state_.gateways.Failed(gateway_->address, Now());
    }
    return;
  }
  if (reused_ && timed_out) {
    state_.pool.DropIdleSince(endpoint_.instance, sent_at_);
  }
  if (cause == Interruption::kNone) {
    ProbeAfterBreak(state_, endpoint_);
  }
}

Awaitable<std::variant<AnswerMetadata, LinkFailure>> EndpointLink::ReadHead(std::string request_id,
                                                                            bool is_head_request) {
  while (true) {
    auto read = co_await connection_->ReadHead(is_head_request);
    if (auto* failure = std::get_if<ConnectionFailure>(&read)) {
      StopWaiting();
      HandleHeadFailure();
      co_return LinkFailure{"cut_before_answer", std::move(*failure)};
    }
    state_.answered_at = Now();
    if (!gateway_ && !reused_) {
      RecordReached(state_, endpoint_.instance);
    }
    if (!GatewayRefusal().empty()) {
      co_return AnswerMetadata();
    }
    const AnswerMetadata answer = state_.dialect.ReadAnswer(connection_->Head(), endpoint_.id);
    if (answer.request_id.empty() || answer.request_id == request_id) {
      StopWaiting();
      RecordAnnouncements(state_, endpoint_, answer, sent_at_);
      co_return answer;
    }
    state_.metrics.Count({"rudderloom_foreign_answers_total"});
    connection_->ForbidReuse();
    auto failure = co_await connection_->SkipBody();
    if (failure) {
      StopWaiting();
      co_return LinkFailure{"cut_after_foreign_answer", std::move(*failure)};
    }
  }
}

Awaitable<std::variant<std::string, EndpointConnection::End, ConnectionFailure>>
EndpointLink::ReadSome() {
  auto chunk = co_await connection_->ReadSome();
  state_.answered_at = Now();
  const bool broken =
      std::holds_alternative<ConnectionFailure>(chunk) && guard_.Cause() == Interruption::kNone;
  if (gateway_ && broken) {
    state_.gateways.Failed(gateway_->address, Now());
  }
  co_return chunk;
}

std::string_view EndpointLink::GatewayRefusal() const {
  if (!gateway_) {
    return {};
  }
  const auto value = connection_->Head()[kGatewayRefusalHeader];
  return {value.data(), value.size()};
}

bool EndpointLink::EndsWithConnection() const {
  return connection_->EndsWithConnection() ||
         (gateway_ && connection_->Head().count(kGatewayEndHeader) > 0);
}

void EndpointLink::Release() {
  guard_.SetCancel({});
  if (gateway_) {
    state_.gateway_pool.Put(gateway_->address, std::move(connection_), Now());
    LeaveGateway();
  } else {
    state_.pool.Put(endpoint_.instance, std::move(connection_), Now());
  }
}

}  // namespace rudderloom
