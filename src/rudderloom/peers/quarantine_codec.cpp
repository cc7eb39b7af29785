#include "peers/quarantine_codec.hpp"

#include <algorithm>  // for copy

namespace rudderloom {

namespace {

capnp::Data::Reader DataOf(const RequestDigest& digest) {
  return {digest.bytes.data(), digest.bytes.size()};
}

// Empty when another version of the program tells digests of another size.
std::optional<RequestDigest> ReadRequestDigest(capnp::Data::Reader in) {
  RequestDigest digest;
  if (in.size() != digest.bytes.size()) {
    return std::nullopt;
  }
  std::copy(in.begin(), in.end(), digest.bytes.begin());
  return digest;
}

}  // namespace

void WriteNews(const CrashNews& news, rpc::CrashNews::Builder out) {
  auto crashes = out.initCrashes(news.crashes.size());
  unsigned index = 0;
  for (const RequestCrash& crash : news.crashes) {
    auto entry = crashes[index++];
    entry.setRequest(DataOf(crash.request));
    entry.setEndpoint(crash.endpoint);
  }
  auto cleared = out.initCleared(news.cleared.size());
  index = 0;
  for (const RequestDigest& request : news.cleared) {
    cleared.set(index++, DataOf(request));
  }
}

CrashNews ReadNews(rpc::CrashNews::Reader in) {
  CrashNews news;
  for (const auto entry : in.getCrashes()) {
    if (const auto request = ReadRequestDigest(entry.getRequest())) {
      news.crashes.insert({*request, entry.getEndpoint()});
    }
  }
  for (const auto cleared : in.getCleared()) {
    if (const auto request = ReadRequestDigest(cleared)) {
      news.cleared.insert(*request);
    }
  }
  return news;
}

void WriteQuarantine(const QuarantineTable& table, rpc::QuarantineTable::Builder out) {
  out.setVersion(table.version);
  auto entries = out.initEntries(table.entries.size());
  for (unsigned i = 0; i < table.entries.size(); ++i) {
    const SuspectEntry& entry = table.entries[i];
    entries[i].setRequest(DataOf(entry.request));
    entries[i].setHeldBefore(entry.held_before);
    entries[i].setAgeMs(static_cast<std::uint64_t>(entry.age.count()));
    auto endpoints = entries[i].initEndpoints(entry.endpoints.size());
    unsigned index = 0;
    for (const EndpointKey endpoint : entry.endpoints) {
      endpoints.set(index++, endpoint);
    }
  }
}

QuarantineTable ReadQuarantine(rpc::QuarantineTable::Reader in) {
  QuarantineTable table;
  table.version = in.getVersion();
  for (const auto told : in.getEntries()) {
    const auto request = ReadRequestDigest(told.getRequest());
    if (!request) {
      continue;
    }
    SuspectEntry entry;
    entry.request = *request;
    entry.held_before = told.getHeldBefore();
    entry.age = Duration(static_cast<Duration::rep>(told.getAgeMs()));
    for (const EndpointKey endpoint : told.getEndpoints()) {
      entry.endpoints.insert(endpoint);
    }
    table.entries.push_back(std::move(entry));
  }
  return table;
}

}  // namespace rudderloom
