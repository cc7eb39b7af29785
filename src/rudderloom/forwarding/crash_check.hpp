// Finds out whether an endpoint whose connection broke under a request has ended.
#ifndef RUDDERLOOM_FORWARDING_CRASH_CHECK_HPP
#define RUDDERLOOM_FORWARDING_CRASH_CHECK_HPP

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// The endpoint's connection broke under the request: asks, beside the request, whether the endpoint
// still listens, and tells the control state when it doesn't.
void NoteBreak(ForwardingState& state,
               const EndpointRecord& endpoint,
               const RequestDigest& request,
               TimePoint sent_at);

// Nobody listens at the endpoint's address.
void NoteEnded(ForwardingState& state, const EndpointRecord& endpoint);

// An endpoint has answered the request whole: it is not one that ends endpoints.
void NoteAnswered(ForwardingState& state, const RequestDigest& request);

// An operator lets the request go.
void NoteCleared(ForwardingState& state, const RequestDigest& request);

}  // namespace rudderloom

#endif
