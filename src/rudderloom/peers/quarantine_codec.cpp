#include "peers/quarantine_codec.hpp"

#include "peers/crash_codec.hpp"  // for ToData

namespace rudderloom {

void WriteQuarantine(const QuarantineTable& table, rpc::QuarantineTable::Builder out) {
  out.setVersion(table.version);
  auto entries = out.initEntries(table.entries.size());
  for (unsigned i = 0; i < table.entries.size(); ++i) {
    const SuspectEntry& entry = table.entries[i];
    entries[i].setRequest(ToData(entry.request));
    entries[i].setHeldBefore(entry.quarantined_before);
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
  for (const auto encoded_entry : in.getEntries()) {
    const auto request = ReadRequestDigest(encoded_entry.getRequest());
    if (!request) {
      continue;
    }
    SuspectEntry entry;
    entry.request = *request;
    entry.quarantined_before = encoded_entry.getHeldBefore();
    entry.age = Duration(static_cast<Duration::rep>(encoded_entry.getAgeMs()));
    for (const EndpointKey endpoint : encoded_entry.getEndpoints()) {
      entry.endpoints.insert(endpoint);
    }
    table.entries.push_back(std::move(entry));
  }
  return table;
}

}  // namespace rudderloom
