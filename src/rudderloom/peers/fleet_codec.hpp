// Converts placement types to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_FLEET_CODEC_HPP
#define RUDDERLOOM_PEERS_FLEET_CODEC_HPP

#include "fleet.capnp.h"                               // for rpc::NodeCounts, rpc::Digest
#include "rudderloom/dissemination/digest.hpp"         // for HolderDigest
#include "rudderloom/quota/grant_book.hpp"             // for SpendAnswer
#include "rudderloom/endpoint_limits/permit_book.hpp"  // for PermitAnswer
#include "rudderloom/placement/demand.hpp"             // for NodeCounts

namespace rudderloom {

void Write(const NodeCounts& counts, rpc::NodeCounts::Builder out);
NodeCounts Read(rpc::NodeCounts::Reader in);

void Write(const HolderDigest& digest, rpc::Digest::Builder out);
HolderDigest Read(rpc::Digest::Reader in);

void Write(const SpendAnswer& answer, rpc::PlacementHolder::SpendResults::Builder out);
SpendAnswer Read(rpc::PlacementHolder::SpendResults::Reader in);

void Write(const PermitAnswer& answer, rpc::PlacementHolder::PermitResults::Builder out);
PermitAnswer Read(rpc::PlacementHolder::PermitResults::Reader in);
void Write(const PermitRequest& ask, rpc::PlacementHolder::PermitParams::Builder out);
PermitRequest Read(rpc::PlacementHolder::PermitParams::Reader in);
void Write(const SlotReport& report, rpc::PlacementHolder::SlotUsedParams::Builder out);
SlotReport Read(rpc::PlacementHolder::SlotUsedParams::Reader in);

}  // namespace rudderloom

#endif
