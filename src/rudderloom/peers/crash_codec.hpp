// Converts crash news to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_CRASH_CODEC_HPP
#define RUDDERLOOM_PEERS_CRASH_CODEC_HPP

#include <optional>  // for optional

#include "generated/crashes.capnp.h"             // for rpc::CrashNews
#include "rudderloom/quarantine/crash_news.hpp"  // for CrashNews

namespace rudderloom {

// Returns a view of the digest's bytes, valid for the lifetime of the digest.
capnp::Data::Reader ToData(const RequestDigest& digest);

// Returns empty if the size differs, as digests of another program version may.
std::optional<RequestDigest> ReadRequestDigest(capnp::Data::Reader in);

void WriteNews(const CrashNews& news, rpc::CrashNews::Builder out);

CrashNews ReadNews(rpc::CrashNews::Reader in);

}  // namespace rudderloom

#endif
