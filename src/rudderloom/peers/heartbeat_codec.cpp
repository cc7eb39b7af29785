#include "peers/heartbeat_codec.hpp"

#include "peers/crash_codec.hpp"  // for WriteNews, ReadNews

namespace rudderloom {

namespace {

template <class Map>
void WriteCounts(const Map& counts, capnp::List<rpc::Count>::Builder out) {
  unsigned i = 0;
  for (const auto& [name, count] : counts) {
    out[i].setName(name);
    out[i].setCount(count);
    ++i;
  }
}

template <class Map>
Map ReadCounts(capnp::List<rpc::Count>::Reader in) {
  Map counts;
  for (const auto count : in) {
    counts[count.getName().cStr()] = static_cast<typename Map::mapped_type>(count.getCount());
  }
  return counts;
}

unsigned ListSize(std::size_t size) {
  return static_cast<unsigned>(size);
}

}  // namespace

void Write(const NodeReport& report, rpc::Heartbeat::Builder out) {
  const NodeState& self = report.self;
  out.setName(self.name);
  out.setIncarnation(self.incarnation);
  out.setAddress(self.peers_address);
  out.setAvailabilityZone(self.availability_zone);
  out.setBeat(self.beat);
  out.setGeneration(self.generation);
  out.setStopping(self.stopping);
  auto leaving = out.initLeaving(ListSize(self.leaving.size()));
  for (unsigned i = 0; i < leaving.size(); ++i) {
    leaving.set(i, self.leaving[i]);
  }
  WriteCounts(self.in_flight, out.initInFlight(ListSize(self.in_flight.size())));
  WriteCounts(self.demand, out.initDemand(ListSize(self.demand.size())));
  WriteCounts(self.quiet_epochs, out.initQuietEpochs(ListSize(self.quiet_epochs.size())));
  if (!self.crash_news.Empty()) {
    WriteNews(self.crash_news, out.initCrashNews());
  }
  auto digests = out.initDigests(ListSize(report.digests.size()));
  for (unsigned i = 0; i < digests.size(); ++i) {
    const NodeDigest& digest = report.digests[i];
    digests[i].setId(digest.id);
    digests[i].setBeat(static_cast<std::uint32_t>(digest.beat));
    digests[i].setGeneration(static_cast<std::uint32_t>(digest.generation));
  }
}

message::HeartbeatReceived Read(rpc::Heartbeat::Reader in) {
  message::HeartbeatReceived heartbeat;
  NodeState& state = heartbeat.state;
  state.name = in.getName().cStr();
  state.incarnation = in.getIncarnation().cStr();
  state.peers_address = in.getAddress().cStr();
  state.availability_zone = in.getAvailabilityZone().cStr();
  state.beat = in.getBeat();
  state.generation = in.getGeneration();
  state.stopping = in.getStopping();
  for (const auto leaving : in.getLeaving()) {
    state.leaving.emplace_back(leaving.cStr());
  }
  state.in_flight = ReadCounts<std::map<std::string, std::uint32_t>>(in.getInFlight());
  state.demand = ReadCounts<std::map<std::string, std::uint32_t>>(in.getDemand());
  state.quiet_epochs = ReadCounts<std::map<std::string, std::uint64_t>>(in.getQuietEpochs());
  state.crash_news = ReadNews(in.getCrashNews());
  for (const auto digest : in.getDigests()) {
    heartbeat.digests.push_back({digest.getId(), digest.getBeat(), digest.getGeneration()});
  }
  return heartbeat;
}

}  // namespace rudderloom
