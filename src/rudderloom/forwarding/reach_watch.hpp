#ifndef RUDDERLOOM_FORWARDING_REACH_WATCH_HPP
#define RUDDERLOOM_FORWARDING_REACH_WATCH_HPP

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// Records that a new connection to the endpoint has carried an answer.
void RecordReached(ForwardingState& state, const std::string& instance);

// Records that the endpoint could not be reached. Probes others in the background if it is not
// clear yet whether the endpoint or this node has failed.
void RecordUnreachable(ForwardingState& state, const EndpointRecord& endpoint);

// A connection broke before its answer: probes the endpoint, as its host may accept connections and
// reset them only then.
void ProbeAfterBreak(ForwardingState& state, const EndpointRecord& endpoint);

// Probes endpoints while none answers, and while this node is cut off, so that it notices both.
// Runs as long as the node.
Awaitable<void> WatchReach(ForwardingState& state);

}  // namespace rudderloom

#endif
