// Decides when a request is sent to the chosen endpoint.
#ifndef RUDDERLOOM_FORWARDING_REQUEST_START_HPP
#define RUDDERLOOM_FORWARDING_REQUEST_START_HPP

#include <optional>  // for optional

#include "forwarding/forwarded_request.hpp"  // for ForwardedRequest
#include "forwarding/prompt_turn.hpp"        // for TurnRequest

namespace rudderloom {

// Admits, holds, defers or refuses one request, by the forecast and the turns at endpoints.
class RequestStart {
 public:
  // All arguments must outlive this object.
  RequestStart(ForwardingState& state, ForwardedRequest& request)
      : state_(state), request_(request) {}

  // Decides about the start of a model request by the forecast, and where many nodes share the
  // endpoint also by its turn there: the forecast does not know the prompts of the last 300 ms.
  // Requests that have started or been attempted are not refused.
  Awaitable<Admission> Decide(const EndpointRecord& endpoint);

  // For a request that is held or has no turn: lets it try another endpoint, or waits before the
  // next decision. Returns why it is refused; empty if it is tried again or was interrupted.
  Awaitable<std::optional<ForwardRefusal>> HoldOrRefuse();

 private:
  Awaitable<void> SpaceRepeat(const EndpointRecord& endpoint);
  AdmissionQuery MakeAdmissionQuery() const;
  TurnRequest MakeTurnRequest(const EndpointRecord& endpoint) const;
  Duration PromptTime() const;
  TurnRequest MakeLateTurnRequest(const EndpointRecord& endpoint) const;
  Awaitable<Admission> DecideDeferred(const EndpointRecord& endpoint);
  Awaitable<Admission> AwaitTurn(const EndpointRecord& endpoint,
                                 TurnRequest ask,
                                 Admission granted);
  Duration TimeLeft() const;
  Duration HoldTimeLeft() const;
  std::uint32_t Rank() const;
  Duration IdleStart() const;
  Duration MaxHold() const;
  HeldRequest HeldPosition() const;
  bool GetsTurnWithin(Duration left) const;
  Duration TurnInterval() const;
  Duration HoldTime(Duration spent);
  Awaitable<void> Hold(Duration wait);

  ForwardingState& state_;
  ForwardedRequest& request_;
};

}  // namespace rudderloom

#endif
