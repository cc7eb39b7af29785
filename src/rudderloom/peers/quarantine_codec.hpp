// Crashes and the quarantine, in Cap'n Proto's words and back.
#ifndef RUDDERLOOM_PEERS_QUARANTINE_CODEC_HPP
#define RUDDERLOOM_PEERS_QUARANTINE_CODEC_HPP

#include "generated/fleet.capnp.h"               // for rpc::CrashNews
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

void WriteNews(const CrashNews& news, rpc::CrashNews::Builder out);

CrashNews ReadNews(rpc::CrashNews::Reader in);

void WriteQuarantine(const QuarantineTable& table, rpc::QuarantineTable::Builder out);

QuarantineTable ReadQuarantine(rpc::QuarantineTable::Reader in);

}  // namespace rudderloom

#endif
