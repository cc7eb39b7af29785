// Reports connection breaks, endpoint ends and completed requests for crash detection.
#ifndef RUDDERLOOM_FORWARDING_CRASH_CHECK_HPP
#define RUDDERLOOM_FORWARDING_CRASH_CHECK_HPP

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// Appends the digests of the parts that a prompt may share with others: all but the last.
void AppendSharedParts(const std::vector<PromptPart>& prompt, RequestDigests& digests);

// Records that the connection broke during the request. Checks in the background whether the
// endpoint still listens, and reports its end to the control state if not.
void RecordConnectionBreak(ForwardingState& state,
                           const EndpointRecord& endpoint,
                           const RequestDigests& request,
                           TimePoint sent_at);

// Records that no process listens at the endpoint's address. A node that has lost its links to all
// endpoints may see the same, so this only counts once another endpoint has been reached.
void RecordEndpointEnd(ForwardingState& state, const EndpointRecord& endpoint);

// Counts the ends recorded so far, as an endpoint was reached.
void ConfirmEndpointEnds(ForwardingState& state);

// Drops the ends that are not counted, as this node has lost its links.
void DropEndpointEnds(ForwardingState& state);

// Records a complete answer, which clears the request and the parts of its prompt of suspicion of
// crashing endpoints.
void RecordAnswered(ForwardingState& state, const RequestDigests& request);

// Called for each new view: schedules trials if this node holds the lease, and clears what the new
// list holds against something that this node has seen answered.
void ReviewQuarantine(ForwardingState& state, const FleetView& view);

// Records that an operator released the request from quarantine.
void RecordCleared(ForwardingState& state, const RequestDigest& request);

}  // namespace rudderloom

#endif
