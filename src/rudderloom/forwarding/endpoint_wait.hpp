// Waits while no endpoint can take a request.
#ifndef RUDDERLOOM_FORWARDING_ENDPOINT_WAIT_HPP
#define RUDDERLOOM_FORWARDING_ENDPOINT_WAIT_HPP

#include <optional>  // for optional

#include "forwarding/forwarded_request.hpp"  // for ForwardedRequest

namespace rudderloom {

// The waits of one request.
class EndpointWait {
 public:
  // All arguments must outlive this object.
  EndpointWait(ForwardingState& state, ForwardedRequest& request)
      : state_(state), request_(request) {}

  // No endpoint can take the request: readmits one that failed, or waits for a new view. Returns
  // why it is refused; empty if it is tried again or was interrupted.
  Awaitable<std::optional<ForwardRefusal>> Await(NoEndpointReason reason);

 private:
  Awaitable<std::optional<ForwardRefusal>> AwaitResidency(NoEndpointReason reason);
  Awaitable<std::optional<ForwardRefusal>> AwaitFreeSlot(NoEndpointReason reason);
  Awaitable<void> WaitForView();
  void ReadmitForStream();
  bool VersionGone() const;
  TimePoint ExpectedResidency();
  Duration FullEndpointDelay() const;
  Duration ShortestPause(TimePoint now) const;
  ForwardRefusal RefusalWithoutEndpoint(NoEndpointReason reason) const;

  ForwardingState& state_;
  ForwardedRequest& request_;
  // Requests waiting for the same unit when its forecast was first seen. Not updated, so that those
  // that arrive later don't cause a refusal.
  std::optional<std::uint32_t> waiting_ahead_;
  // When full endpoints are asked again to go on with a started stream.
  Duration full_retry_interval_{100};
  TimePoint full_retry_at_;
};

}  // namespace rudderloom

#endif
