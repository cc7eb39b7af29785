#ifndef RUDDERLOOM_FORWARDING_ENDPOINT_LINK_HPP
#define RUDDERLOOM_FORWARDING_ENDPOINT_LINK_HPP

#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <variant>      // for variant

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// Why no answer to a request arrived.
struct LinkFailure {
  std::string_view reason;  // for counters and logs
  ConnectionFailure connection;
};

// The connection that carries one request to an endpoint: a pooled or new one of this node, or one
// to a gateway, which forwards the request. Keeps the state that all requests share up to date.
class EndpointLink {
 public:
  // All arguments but the endpoint must outlive this object.
  EndpointLink(ForwardingState& state, CallGuard& guard, EndpointRecord endpoint);
  EndpointLink(const EndpointLink&) = delete;
  EndpointLink& operator=(const EndpointLink&) = delete;
  ~EndpointLink();

  // Takes or opens a connection to the endpoint.
  Awaitable<std::optional<ConnectionFailure>> Connect();

  // Takes or opens a connection to a gateway; waits shortly until one is known. Returns a failure
  // once all have been tried.
  Awaitable<std::optional<ConnectionFailure>> ConnectToGateway();

  // True if the request may be written: it was not interrupted while the connection was opened.
  bool MaySend() const { return !guard_.Interrupted(); }

  // Starts writing the request. `may_withdraw`: it is sent elsewhere if the node turns out to be
  // cut off before an answer arrives.
  void Send(HttpRequest request, bool may_withdraw);

  // Reads the head of the answer to the request with this id. Answers to others are discarded.
  Awaitable<std::variant<AnswerMetadata, LinkFailure>> ReadHead(std::string request_id,
                                                                bool is_head_request);

  // Reads the next chunk of the body, see EndpointConnection.
  Awaitable<std::variant<std::string, EndpointConnection::End, ConnectionFailure>> ReadSome();

  // Why the gateway has not sent the request; empty if it has. Valid after ReadHead.
  std::string_view GatewayRefusal() const;

  // Records that the gateway did not forward the request, so that it isn't chosen again.
  void GatewayRefused();

  // True if the endpoint's answer ends with its connection, also if a gateway passes it on.
  bool EndsWithConnection() const;

  // Returns the connection to its pool after a complete answer.
  void Release();

  EndpointConnection& Connection() { return *connection_; }
  bool ThroughGateway() const { return gateway_.has_value(); }
  TimePoint SentAt() const { return sent_at_; }

 private:
  // True for a pooled connection that may be used.
  bool TakeIfSmallEnough();
  void CloseWhenInterrupted();
  Awaitable<std::optional<ConnectionFailure>> Open(std::string address);
  void CountConnect(const std::optional<ConnectionFailure>& failure);
  void HandleHeadFailure();
  void LeaveGateway();
  void StopWaiting();

  ForwardingState& state_;
  CallGuard& guard_;
  const BufferSlot buffer_;  // of the connection
  const EndpointRecord endpoint_;
  std::unique_ptr<EndpointConnection> connection_;
  std::optional<Gateway> gateway_;        // the connection leads to
  std::set<std::string> tried_gateways_;  // addresses
  std::optional<PendingAnswers::iterator> waiting_;
  bool reused_ = false;  // the connection has carried another request before
  TimePoint sent_at_;
};

}  // namespace rudderloom

#endif
