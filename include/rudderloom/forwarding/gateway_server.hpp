/// @file
/// Forwards requests for nodes that have lost their own links to endpoints.
#ifndef RUDDERLOOM_FORWARDING_GATEWAY_SERVER_HPP
#define RUDDERLOOM_FORWARDING_GATEWAY_SERVER_HPP

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

/// @brief Forwards one request of another node to the endpoint that it names, and the answer back.
/// On return, the exchange has been answered or aborted.
///
/// The other node has checked the caller, chosen the endpoint, and charges quota and retries. This
/// node sends the request at most once, over its own links only. Requests without this node's
/// gateway key are refused: the sender may be no node.
/// @ingroup forwarding
Awaitable<void> ForwardForNode(ForwardingState& state, HttpExchange& exchange);

}  // namespace rudderloom

#endif
