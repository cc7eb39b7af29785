// Converts the quarantine table to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_QUARANTINE_CODEC_HPP
#define RUDDERLOOM_PEERS_QUARANTINE_CODEC_HPP

#include "generated/fleet.capnp.h"               // for rpc::QuarantineTable
#include "rudderloom/quarantine/crash_news.hpp"  // for QuarantineTable

namespace rudderloom {

void WriteQuarantine(const QuarantineTable& table, rpc::QuarantineTable::Builder out);

QuarantineTable ReadQuarantine(rpc::QuarantineTable::Reader in);

}  // namespace rudderloom

#endif
