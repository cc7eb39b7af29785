// At which software version a stream may go on.
#ifndef RUDDERLOOM_FORWARDING_STREAM_VERSION_HPP
#define RUDDERLOOM_FORWARDING_STREAM_VERSION_HPP

#include <optional>  // for optional
#include <string>    // for string

#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// Records that an endpoint of this version is about to begin the stream. While the service has
// several versions, the lease holder and its deputy are told before the first event arrives, so
// that any node can find it out.
void RecordStreamStart(ForwardingState& state,
                       const std::string& service,
                       const StreamStart& start);

// The version at which a stream that its client takes up began; empty if any endpoint of the
// service may go on with it, and no value if it can't be known.
Awaitable<std::optional<std::string>> FindStreamVersion(ForwardingState& state,
                                                        std::string service,
                                                        std::string began_as);

}  // namespace rudderloom

#endif
