#include "process/version_streams.hpp"

#include <doctest/doctest.h>  // for REQUIRE

#include <algorithm>  // for any_of
#include <csignal>    // for SIGTERM
#include <numeric>    // for iota

namespace rudderloom::tests {

namespace {

constexpr int kEngineSlots = 16;
constexpr Duration kAnswerTimeout{6'000};

std::string StreamRequest(const std::string& id, const std::string& headers = {}) {
  return "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 5000\r\nModel: m\r\nToken-Count: 10,40\r\nPrompt-Prefix: ab:6,cd:4\r\n" +
         headers + "Content-Length: 4\r\n\r\nbody";
}

}  // namespace

VersionsCluster::VersionsCluster(unsigned seed, int node_count, Duration event_time)
    : random_(seed), node_count_(node_count), event_time_(event_time) {
  cluster_.Configure(1);
}

std::vector<int> VersionsCluster::AllNodes() const {
  std::vector<int> nodes(static_cast<std::size_t>(node_count_));
  std::iota(nodes.begin(), nodes.end(), 0);
  return nodes;
}

void VersionsCluster::StartEngine(const std::string& version) {
  cluster_.StartEngine(EngineName(engines_.size()), "m", kEngineSlots, event_time_, version);
  engines_.push_back({version});
}

void VersionsCluster::KillEngine(int engine) {
  const auto index = static_cast<std::size_t>(engine);
  cluster_.At(EngineName(index)).Kill();
  engines_.at(index).ended = true;
}

void VersionsCluster::KillVersion(const std::string& version) {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i].version == version && !engines_[i].ended) {
      KillEngine(static_cast<int>(i));
    }
  }
}

void VersionsCluster::StopVersion(const std::string& version) {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i].version == version && !engines_[i].ended) {
      cluster_.At(EngineName(i)).Signal(SIGTERM);
      engines_[i].ended = true;
    }
  }
}

void VersionsCluster::WaitUntilUnlisted() {
  const std::string store = cluster_.At("store").Address();
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const std::string entry = "/objects/servers/" + EngineName(i);
    REQUIRE((!engines_[i].ended ||
             cluster_.WaitUntil([&] { return cluster_.Call(store, entry).status == 404; })));
  }
}

void VersionsCluster::StartNodes() {
  for (const int node : AllNodes()) {
    StartNode(node);
  }
  WaitUntilServing(AllNodes());
}

void VersionsCluster::StartNode(int node) {
  cluster_.SetFirstStart(started_.insert(node).second);
  cluster_.StartFleetNode(NodeName(node));
}

void VersionsCluster::WaitUntilReady(int node) {
  REQUIRE(cluster_.WaitUntil([&] { return cluster_.ReadyStatus(NodeName(node)) == 200; }));
}

void VersionsCluster::WaitUntilServing(const std::vector<int>& nodes) {
  for (const int node : nodes) {
    WaitUntilReady(node);
  }
  std::set<int> waiting(nodes.begin(), nodes.end());
  REQUIRE(cluster_.WaitUntil([&] {
    std::vector<FleetRequest> calls;
    calls.reserve(waiting.size());
    for (const int node : waiting) {
      calls.push_back({NodeName(node), "/stream/x", "warm" + std::to_string(++last_id_), "m"});
    }
    const auto responses = cluster_.SendAll(calls);
    for (const FleetRequest& call : calls) {
      if (responses.at(call.id).status == 200) {
        waiting.erase(std::stoi(call.node.substr(1)));
      }
    }
    return waiting.empty();
  }));
}

std::vector<ClientStream> VersionsCluster::Begin(int count) {
  std::vector<ClientStream> streams = Connect(count, AllNodes());
  Begin(streams);
  return streams;
}

std::vector<ClientStream> VersionsCluster::Connect(int count, const std::vector<int>& nodes) {
  std::vector<ClientStream> streams(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < streams.size(); ++i) {
    streams[i].connection = std::make_unique<RawCaller>(AddressOf(nodes[i % nodes.size()]));
  }
  return streams;
}

void VersionsCluster::Begin(std::vector<ClientStream>& streams) {
  for (ClientStream& stream : streams) {
    stream.began_as = "s" + std::to_string(++last_id_);
    stream.connection->Send(StreamRequest(stream.began_as));
  }
  for (ClientStream& stream : streams) {
    stream.begun = stream.connection->ReceiveText("id: 2\n");
  }
}

void VersionsCluster::Drop(std::vector<ClientStream>& streams) {
  for (ClientStream& stream : streams) {
    if (stream.connection == nullptr) {
      continue;
    }
    stream.began_at = RecordVersion(stream, stream.connection->Receive(Duration(1)));
    stream.connection.reset();
  }
}

void VersionsCluster::SendTakeUp(ClientStream& stream, int node) {
  const std::string id = "t" + std::to_string(++last_id_);
  const std::string headers = "Last-Event-Id: 2\r\nResumes: " + stream.began_as + "\r\n";
  stream.taken_up_as.insert(id);
  stream.connection = std::make_unique<RawCaller>(AddressOf(node), StreamRequest(id, headers));
}

void VersionsCluster::TakeUp(std::vector<ClientStream>& streams, const TakeUpOptions& options) {
  Drop(streams);
  const std::vector<int> nodes = options.nodes.empty() ? AllNodes() : options.nodes;
  std::uniform_int_distribution<std::size_t> draw(0, nodes.size() - 1);
  TimePoint next_at = Now();
  for (int i = 0; i < options.attempts; ++i) {
    if (Now() < next_at) {
      cluster_.Sleep(Between(Now(), next_at));
    }
    next_at = Now() + options.interval;
    for (ClientStream& stream : streams) {
      if (i == 0 || stream.refused) {
        SendTakeUp(stream, nodes[draw(random_)]);
      }
    }
    if (!ReceiveTakenUp(streams)) {
      return;
    }
  }
}

bool VersionsCluster::ReceiveTakenUp(std::vector<ClientStream>& streams) {
  bool any_refused = false;
  for (ClientStream& stream : streams) {
    if (stream.connection == nullptr) {
      continue;
    }
    const Received rest = stream.connection->Receive(kAnswerTimeout);
    stream.went_on = rest.complete && rest.response.status == 200;
    stream.refused = rest.response.status == 503;
    any_refused = any_refused || stream.refused;
    RecordVersion(stream, rest);
    stream.connection.reset();
  }
  return any_refused;
}

void VersionsCluster::Finish(std::vector<ClientStream>& streams) {
  for (ClientStream& stream : streams) {
    const Received rest = stream.connection->Receive(kAnswerTimeout);
    stream.went_on = rest.complete;
    RecordVersion(stream, rest);
    stream.connection.reset();
  }
}

void VersionsCluster::RecordRuns(std::vector<ClientStream>& streams) {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i].ended) {
      continue;
    }
    const boost::json::object runs = cluster_.Stats(EngineName(i)).at("runs").as_object();
    for (ClientStream& stream : streams) {
      const auto ran = [&](const std::string& id) { return runs.contains(id); };
      if (ran(stream.began_as) ||
          std::any_of(stream.taken_up_as.begin(), stream.taken_up_as.end(), ran)) {
        stream.versions.insert(engines_[i].version);
      }
    }
  }
}

std::string VersionsCluster::RecordVersion(ClientStream& stream, const Received& received) const {
  const std::string stamp = received.response.Header("Server-Stamp");
  if (stamp.size() <= 1) {
    return "";
  }
  const std::string& version = engines_.at(std::stoul(stamp.substr(1))).version;
  stream.versions.insert(version);
  return version;
}

}  // namespace rudderloom::tests
