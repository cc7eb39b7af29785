// Converts the data of operator calls to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_OPERATOR_CODEC_HPP
#define RUDDERLOOM_PEERS_OPERATOR_CODEC_HPP

#include "operator.capnp.h"                               // for rpc::ChangeRequest
#include "rudderloom/control/control_state.hpp"           // for NodeReport
#include "rudderloom/operators/configuration_change.hpp"  // for ChangeRequest

namespace rudderloom {

void Write(const ChangeRequest& request, rpc::ChangeRequest::Builder out);
ChangeRequest Read(rpc::ChangeRequest::Reader in);
void Write(const ChangeResult& result, rpc::ChangeResult::Builder out);
ChangeResult Read(rpc::ChangeResult::Reader in);
void Write(const NodeReport& report, const MembershipSettings& settings, rpc::Status::Builder out);

}  // namespace rudderloom

#endif
