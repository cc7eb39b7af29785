// Turns what nodes tell one another into Cap'n Proto messages and back.
#ifndef RUDDERLOOM_PEERS_HEARTBEAT_CODEC_HPP
#define RUDDERLOOM_PEERS_HEARTBEAT_CODEC_HPP

#include "peer.capnp.h"                          // for rpc::Heartbeat
#include "rudderloom/control/control_state.hpp"  // for NodeReport
#include "rudderloom/control/messages.hpp"       // for message::PeerHeard

namespace rudderloom {

void Write(const NodeReport& report, rpc::Heartbeat::Builder out);
message::PeerHeard Read(rpc::Heartbeat::Reader in);

}  // namespace rudderloom

#endif
