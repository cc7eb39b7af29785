// Converts lists of gateways to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_GATEWAY_CODEC_HPP
#define RUDDERLOOM_PEERS_GATEWAY_CODEC_HPP

#include "fleet.capnp.h"                 // for rpc::Gateway
#include "rudderloom/fleet/gateway.hpp"  // for GatewayList

namespace rudderloom {

void WriteGateways(const GatewayList& gateways, capnp::List<rpc::Gateway>::Builder out);
GatewayList ReadGateways(capnp::List<rpc::Gateway>::Reader in);

}  // namespace rudderloom

#endif
