#include "peers/versions_codec.hpp"

#include <algorithm>  // for clamp
#include <cstdint>    // for uint32_t
#include <limits>     // for numeric_limits

namespace rudderloom {

void Write(const StartsToConfirm& told, rpc::PlacementHolder::StreamsBeginParams::Builder out) {
  out.setService(told.service);
  auto streams = out.initStreams(static_cast<unsigned>(told.starts.size()));
  unsigned index = 0;
  for (const StreamStart& start : told.starts) {
    auto stream = streams[index++];
    stream.setBeganAs(start.began_as);
    stream.setSoftwareVersion(start.software_version);
    stream.setAttempt(start.attempt);
  }
}

StartsToConfirm Read(rpc::PlacementHolder::StreamsBeginParams::Reader in) {
  StartsToConfirm told;
  told.service = in.getService().cStr();
  for (const auto stream : in.getStreams()) {
    told.starts.push_back(
        {stream.getBeganAs().cStr(), stream.getSoftwareVersion().cStr(), stream.getAttempt()});
  }
  return told;
}

void Write(const StreamQuery& query, rpc::PlacementHolder::StreamVersionParams::Builder out) {
  out.setBeganAs(query.began_as);
  out.setService(query.service);
}

StreamQuery Read(rpc::PlacementHolder::StreamVersionParams::Reader in) {
  return {in.getBeganAs().cStr(), in.getService().cStr()};
}

void Write(const StreamAnswer& answer, rpc::PlacementHolder::StreamVersionResults::Builder out) {
  out.setSoftwareVersion(answer.software_version);
  auto versions = out.initVersions(static_cast<unsigned>(answer.versions.size()));
  unsigned index = 0;
  for (const std::string& version : answer.versions) {
    versions.set(index++, version);
  }
  out.setKnowsHistory(answer.knows_history);
  out.setIsHolder(answer.is_holder);
  out.setHasLoaded(answer.has_loaded);
  out.setUnrecordedVersion(answer.unrecorded_version);
}

StreamAnswer Read(rpc::PlacementHolder::StreamVersionResults::Reader in) {
  StreamAnswer answer;
  answer.software_version = in.getSoftwareVersion().cStr();
  for (const auto version : in.getVersions()) {
    answer.versions.emplace(version.cStr());
  }
  answer.knows_history = in.getKnowsHistory();
  answer.is_holder = in.getIsHolder();
  answer.has_loaded = in.getHasLoaded();
  answer.unrecorded_version = in.getUnrecordedVersion().cStr();
  return answer;
}

void WriteVersions(const VersionAges& ages, rpc::Digest::Builder out) {
  constexpr Duration::rep kMaxAge = std::numeric_limits<std::uint32_t>::max();
  unsigned count = 0;
  for (const auto& [service, versions] : ages) {
    count += static_cast<unsigned>(versions.size());
  }
  auto entries = out.initServedVersions(count);
  unsigned index = 0;
  for (const auto& [service, versions] : ages) {
    for (const auto& [version, age] : versions) {
      auto entry = entries[index++];
      entry.setService(service);
      entry.setSoftwareVersion(version);
      entry.setAgeMs(
          static_cast<std::uint32_t>(std::clamp(age.count(), Duration::rep{0}, kMaxAge)));
    }
  }
}

void WriteSettledVersions(const VersionsByService& settled, rpc::Digest::Builder out) {
  unsigned count = 0;
  for (const auto& [service, versions] : settled) {
    count += static_cast<unsigned>(versions.size());
  }
  auto entries = out.initSettledVersions(count);
  unsigned index = 0;
  for (const auto& [service, versions] : settled) {
    for (const std::string& version : versions) {
      auto entry = entries[index++];
      entry.setService(service);
      entry.setSoftwareVersion(version);
    }
  }
}

VersionsByService ReadSettledVersions(rpc::Digest::Reader in) {
  VersionsByService settled;
  for (const auto entry : in.getSettledVersions()) {
    settled[entry.getService().cStr()].emplace(entry.getSoftwareVersion().cStr());
  }
  return settled;
}

VersionAges ReadVersions(rpc::Digest::Reader in) {
  VersionAges ages;
  for (const auto entry : in.getServedVersions()) {
    ages[entry.getService().cStr()][entry.getSoftwareVersion().cStr()] = Duration(entry.getAgeMs());
  }
  return ages;
}

}  // namespace rudderloom
