// Converts software versions and starts of streams to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_VERSIONS_CODEC_HPP
#define RUDDERLOOM_PEERS_VERSIONS_CODEC_HPP

#include "fleet.capnp.h"                                    // for rpc::PlacementHolder
#include "rudderloom/stream_versions/kept_starts.hpp"       // for StreamQuery
#include "rudderloom/stream_versions/service_versions.hpp"  // for VersionAges
#include "rudderloom/stream_versions/version_book.hpp"      // for StreamStarts

namespace rudderloom {

void Write(const StartsToConfirm& told, rpc::PlacementHolder::StreamsBeginParams::Builder out);
StartsToConfirm Read(rpc::PlacementHolder::StreamsBeginParams::Reader in);

void Write(const StreamQuery& query, rpc::PlacementHolder::StreamVersionParams::Builder out);
StreamQuery Read(rpc::PlacementHolder::StreamVersionParams::Reader in);

void Write(const StreamAnswer& answer, rpc::PlacementHolder::StreamVersionResults::Builder out);
StreamAnswer Read(rpc::PlacementHolder::StreamVersionResults::Reader in);

void WriteSettledVersions(const VersionsByService& settled, rpc::Digest::Builder out);
VersionsByService ReadSettledVersions(rpc::Digest::Reader in);

void WriteVersions(const VersionAges& ages, rpc::Digest::Builder out);
VersionAges ReadVersions(rpc::Digest::Reader in);

}  // namespace rudderloom

#endif
