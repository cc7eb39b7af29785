#include "peers/quarantine_codec.hpp"

#include "peers/crash_codec.hpp"  // for DataOf

namespace rudderloom {

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
