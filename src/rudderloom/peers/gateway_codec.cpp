#include "peers/gateway_codec.hpp"

namespace rudderloom {

void WriteGateways(const GatewayList& gateways, capnp::List<rpc::Gateway>::Builder out) {
  for (unsigned i = 0; i < gateways.size(); ++i) {
    out[i].setAddress(gateways[i].address);
    out[i].setKey(gateways[i].key);
  }
}

GatewayList ReadGateways(capnp::List<rpc::Gateway>::Reader in) {
  GatewayList gateways;
  for (const auto entry : in) {
    gateways.push_back({entry.getAddress().cStr(), entry.getKey().cStr()});
  }
  return gateways;
}

}  // namespace rudderloom
