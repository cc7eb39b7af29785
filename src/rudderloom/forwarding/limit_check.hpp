// Requests and the limits that endpoints announce.
#ifndef RUDDERLOOM_FORWARDING_LIMIT_CHECK_HPP
#define RUDDERLOOM_FORWARDING_LIMIT_CHECK_HPP

#include "rudderloom/forwarding/call_guard.hpp"  // for CallGuard
#include "rudderloom/forwarding/forwarder.hpp"   // for ForwardingState

namespace rudderloom {

// An endpoint has answered a request that was sent at `sent_at`.
void NoteLimit(ForwardingState& state,
               const EndpointRecord& endpoint,
               const AnswerTerms& answer,
               TimePoint sent_at);

// Asks for a permit where the endpoint has a limit, and waits until the request may be sent. False:
// it may not, or the wait was interrupted.
Awaitable<bool> TakePermit(ForwardingState& state,
                           CallGuard& guard,
                           EndpointRecord endpoint,
                           Duration most_wait);

// A request is being sent to an endpoint.
void CountLimitedSend(ForwardingState& state, const EndpointRecord& endpoint);

}  // namespace rudderloom

#endif
