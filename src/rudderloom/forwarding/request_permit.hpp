// Permits of a request at endpoints with a limit, and at services with few slots.
#ifndef RUDDERLOOM_FORWARDING_REQUEST_PERMIT_HPP
#define RUDDERLOOM_FORWARDING_REQUEST_PERMIT_HPP

#include <optional>  // for optional

#include "forwarding/forwarded_request.hpp"  // for ForwardedRequest
#include "forwarding/limit_check.hpp"        // for PermitNeeds

namespace rudderloom {

// Obtains the permits of one request.
class RequestPermit {
 public:
  // All arguments must outlive this object.
  RequestPermit(ForwardingState& state, ForwardedRequest& request)
      : state_(state), request_(request) {}

  // Obtains a permit if the endpoint has a limit; true if the request may be sent. Does not wait
  // for one if other candidates have no rate limit.
  Awaitable<bool> Obtain(const EndpointRecord& endpoint);

  // Only endpoints without a limit are used from now on.
  bool AskedTooOften() const;

 private:
  std::optional<PermitNeeds> Needs(const EndpointRecord& endpoint) const;
  std::optional<InFlightTerms> SharedSlotTerms(const EndpointRecord& endpoint) const;
  bool MaySendAlone(const EndpointRecord& endpoint);

  ForwardingState& state_;
  ForwardedRequest& request_;
};

}  // namespace rudderloom

#endif
