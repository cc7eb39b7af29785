#include "peers/fleet_codec.hpp"

#include <capnp/message.h>           // for MallocMessageBuilder
#include <capnp/serialize-packed.h>  // for writePackedMessage, PackedMessageReader
#include <kj/io.h>                   // for VectorOutputStream, ArrayInputStream
#include <algorithm>                 // for min
#include <limits>                    // for numeric_limits

namespace rudderloom {

namespace {

constexpr std::uint64_t kTokenUnit = 64;

template <class Number>
Number Clamped(std::uint64_t value) {
  return static_cast<Number>(std::min<std::uint64_t>(value, std::numeric_limits<Number>::max()));
}

void WriteLoads(const LoadTable& loads, capnp::List<rpc::EndpointLoad>::Builder out) {
  unsigned index = 0;
  for (const auto& [endpoint, load] : loads) {
    auto entry = out[index++];
    entry.setEndpoint(endpoint);
    entry.setRequests(Clamped<std::uint8_t>(load.requests));
    entry.setDeferred(Clamped<std::uint8_t>(load.deferred));
    entry.setUnreadTokenUnits(
        Clamped<std::uint16_t>((load.unread_tokens + kTokenUnit - 1) / kTokenUnit));
  }
}

LoadTable ReadLoads(capnp::List<rpc::EndpointLoad>::Reader in) {
  LoadTable loads;
  for (const auto entry : in) {
    loads[entry.getEndpoint()] = {entry.getRequests(), entry.getDeferred(),
                                  entry.getUnreadTokenUnits() * kTokenUnit};
  }
  return loads;
}

void WriteModels(const std::vector<ResidentModel>& models,
                 capnp::List<rpc::ServedModel>::Builder out) {
  for (unsigned i = 0; i < models.size(); ++i) {
    out[i].setName(models[i].name);
    out[i].setVersion(models[i].version);
    auto adapters = out[i].initAdapters(models[i].adapters.size());
    unsigned index = 0;
    for (const std::string& adapter : models[i].adapters) {
      adapters.set(index++, adapter);
    }
  }
}

std::vector<ResidentModel> ReadModels(capnp::List<rpc::ServedModel>::Reader in) {
  std::vector<ResidentModel> models;
  for (const auto entry : in) {
    ResidentModel model{entry.getName().cStr(), entry.getVersion(), {}};
    for (const auto adapter : entry.getAdapters()) {
      model.adapters.insert(adapter.cStr());
    }
    models.push_back(std::move(model));
  }
  return models;
}

void WriteEndpoint(const EndpointRecord& record, rpc::EndpointEntry::Builder out) {
  out.setInstance(record.instance);
  out.setService(record.service);
  out.setAddress(record.address);
  out.setAvailabilityZone(record.availability_zone);
  out.setSlots(record.slots);
  out.setLeaving(record.leaving);
}

EndpointRecord ReadEndpoint(rpc::EndpointEntry::Reader in) {
  EndpointRecord record;
  record.instance = in.getInstance().cStr();
  record.service = in.getService().cStr();
  record.address = in.getAddress().cStr();
  record.availability_zone = in.getAvailabilityZone().cStr();
  record.slots = in.getSlots();
  record.leaving = in.getLeaving();
  record.tells_models = false;
  return record;
}

void WriteEntry(const std::pair<std::string, EndpointRecord>& entry,
                rpc::EndpointEntry::Builder out) {
  WriteEndpoint(entry.second, out);
}

void WriteEntry(const std::pair<std::string, std::vector<ResidentModel>>& entry,
                rpc::Serving::Builder out) {
  out.setInstance(entry.first);
  WriteModels(entry.second, out.initModels(entry.second.size()));
}

std::pair<std::string, EndpointRecord> ReadEntry(rpc::EndpointEntry::Reader in) {
  EndpointRecord record = ReadEndpoint(in);
  std::string instance = record.instance;
  return {std::move(instance), std::move(record)};
}

std::pair<std::string, std::vector<ResidentModel>> ReadEntry(rpc::Serving::Reader in) {
  return {in.getInstance().cStr(), ReadModels(in.getModels())};
}

template <class Value, class Builder>
void WriteChanges(const Changes<Value>& changes, Builder out) {
  out.setVersion(changes.version);
  out.setWhole(changes.whole);
  auto entries = out.initEntries(changes.values.size());
  for (unsigned i = 0; i < changes.values.size(); ++i) {
    WriteEntry(changes.values[i], entries[i]);
  }
  auto gone = out.initGone(changes.gone.size());
  for (unsigned i = 0; i < changes.gone.size(); ++i) {
    gone.set(i, changes.gone[i]);
  }
}

template <class Value, class Reader>
Changes<Value> ReadChanges(Reader in) {
  Changes<Value> changes;
  changes.version = in.getVersion();
  changes.whole = in.getWhole();
  for (const auto entry : in.getEntries()) {
    changes.values.push_back(ReadEntry(entry));
  }
  for (const auto instance : in.getGone()) {
    changes.gone.emplace_back(instance.cStr());
  }
  return changes;
}

// Names and lists of names are mostly pointers and padding, which packing takes out: without it the
// changes took up to 13 Mbit/s of a holder's link beside 85 nodes.
void WritePacked(const HolderDigest& digest, rpc::Digest::Builder out) {
  capnp::MallocMessageBuilder message;
  auto changes = message.initRoot<rpc::DigestChanges>();
  WriteChanges(digest.serving, changes.initServing());
  WriteChanges(digest.endpoints, changes.initEndpoints());
  kj::VectorOutputStream packed;
  capnp::writePackedMessage(packed, message);
  out.setPackedChanges(packed.getArray());
}

void ReadPacked(rpc::Digest::Reader in, HolderDigest& digest) {
  kj::ArrayInputStream packed(in.getPackedChanges());
  capnp::PackedMessageReader message(packed);
  const auto changes = message.getRoot<rpc::DigestChanges>();
  digest.serving = ReadChanges<std::vector<ResidentModel>>(changes.getServing());
  digest.endpoints = ReadChanges<EndpointRecord>(changes.getEndpoints());
}

}  // namespace

void Write(const NodeCounts& counts, rpc::NodeCounts::Builder out) {
  out.setNode(counts.node);
  out.setIncarnation(counts.incarnation);
  out.setServingSeen(counts.serving_seen);
  out.setRoutesVersion(counts.routes_version);
  out.setEndpointsSeen(counts.endpoints_seen);
  out.setProcessorShare(static_cast<float>(counts.processor_share));
  WriteLoads(counts.loads, out.initLoads(counts.loads.size()));
  auto units = out.initUnits(counts.units.size());
  unsigned index = 0;
  for (const auto& [unit, count] : counts.units) {
    auto entry = units[index++];
    entry.setService(unit.service);
    entry.setModel(unit.model);
    entry.setAdapter(unit.adapter);
    entry.setRunning(count.running);
    entry.setWaiting(count.waiting);
    entry.setOfferedMs(static_cast<std::uint64_t>(count.offered.count()));
  }
}

NodeCounts Read(rpc::NodeCounts::Reader in) {
  NodeCounts counts;
  counts.node = in.getNode().cStr();
  counts.incarnation = in.getIncarnation().cStr();
  counts.serving_seen = in.getServingSeen();
  counts.routes_version = in.getRoutesVersion();
  counts.endpoints_seen = in.getEndpointsSeen();
  counts.processor_share = in.getProcessorShare();
  counts.loads = ReadLoads(in.getLoads());
  for (const auto entry : in.getUnits()) {
    const UnitName unit{entry.getService().cStr(), entry.getModel().cStr(),
                        entry.getAdapter().cStr()};
    counts.units[unit] = {entry.getRunning(), entry.getWaiting(),
                          Duration(static_cast<Duration::rep>(entry.getOfferedMs()))};
  }
  return counts;
}

void Write(const HolderDigest& digest, rpc::Digest::Builder out) {
  out.setHolds(digest.holds);
  out.setEpoch(digest.epoch);
  out.setNodes(digest.nodes);
  out.setRoutesVersion(digest.routes_version);
  out.setStandby(digest.standby);
  out.setRenewalsFail(digest.renewals_fail);
  WriteLoads(digest.loads, out.initLoads(digest.loads.size()));
  WritePacked(digest, out);
  if (digest.endpoints_age) {
    out.setEndpointsAgeMs(digest.endpoints_age->count());
  }
}

HolderDigest Read(rpc::Digest::Reader in) {
  HolderDigest digest;
  digest.holds = in.getHolds();
  digest.epoch = in.getEpoch();
  digest.nodes = in.getNodes();
  digest.routes_version = in.getRoutesVersion();
  digest.standby = in.getStandby();
  digest.renewals_fail = in.getRenewalsFail();
  digest.loads = ReadLoads(in.getLoads());
  if (in.hasPackedChanges()) {
    ReadPacked(in, digest);
  }
  if (in.getEndpointsAgeMs() >= 0) {
    digest.endpoints_age = Duration(in.getEndpointsAgeMs());
  }
  return digest;
}

}  // namespace rudderloom
