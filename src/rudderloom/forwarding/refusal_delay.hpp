// The time to retry that a refused client is told.
#ifndef RUDDERLOOM_FORWARDING_REFUSAL_DELAY_HPP
#define RUDDERLOOM_FORWARDING_REFUSAL_DELAY_HPP

#include <optional>  // for optional

#include "forwarding/forwarded_request.hpp"  // for ForwardedRequest

namespace rudderloom {

// Delay after which a retry is likely to be served; empty if no retry is. Under overload control,
// clients that are refused for the same model or plain service are told successive times.
std::optional<Duration> RefusalDelay(ForwardingState& state,
                                     const ForwardedRequest& request,
                                     ForwardRefusal refusal,
                                     unsigned status);

}  // namespace rudderloom

#endif
