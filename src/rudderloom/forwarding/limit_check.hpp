// Requests and the limits that endpoints announce.
#ifndef RUDDERLOOM_FORWARDING_LIMIT_CHECK_HPP
#define RUDDERLOOM_FORWARDING_LIMIT_CHECK_HPP

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// An endpoint has answered a request that was sent at `sent_at`.
void NoteLimit(ForwardingState& state,
               const EndpointRecord& endpoint,
               const AnswerTerms& answer,
               TimePoint sent_at);

// A request is being sent to an endpoint.
void CountLimitedSend(ForwardingState& state, const EndpointRecord& endpoint);

}  // namespace rudderloom

#endif
