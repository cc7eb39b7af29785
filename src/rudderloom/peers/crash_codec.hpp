// News of crashes, in Cap'n Proto's words and back.
#ifndef RUDDERLOOM_PEERS_CRASH_CODEC_HPP
#define RUDDERLOOM_PEERS_CRASH_CODEC_HPP

#include <optional>  // for optional

#include "generated/crashes.capnp.h"             // for rpc::CrashNews
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

// The digest's bytes; valid as long as the digest.
capnp::Data::Reader DataOf(const RequestDigest& digest);

// Empty when another version of the program tells digests of another size.
std::optional<RequestDigest> ReadRequestDigest(capnp::Data::Reader in);

void WriteNews(const CrashNews& news, rpc::CrashNews::Builder out);

CrashNews ReadNews(rpc::CrashNews::Reader in);

}  // namespace rudderloom

#endif
