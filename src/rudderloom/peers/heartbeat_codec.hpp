// Converts heartbeats to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_HEARTBEAT_CODEC_HPP
#define RUDDERLOOM_PEERS_HEARTBEAT_CODEC_HPP

#include "peer.capnp.h"                          // for rpc::Heartbeat
#include "rudderloom/control/control_state.hpp"  // for NodeReport
#include "rudderloom/control/messages.hpp"       // for message::HeartbeatReceived

namespace rudderloom {

void Write(const NodeReport& report, rpc::Heartbeat::Builder out);
message::HeartbeatReceived Read(rpc::Heartbeat::Reader in);

}  // namespace rudderloom

#endif
