#include "peers/operator_codec.hpp"

namespace rudderloom {

namespace {

unsigned ListSize(std::size_t size) {
  return static_cast<unsigned>(size);
}

// Visitor that writes each alternative of ChangeResult.
struct ResultWriter {
  rpc::ChangeResult::Builder out;

  void operator()(const ChangeAccepted& accepted) { out.setAccepted(accepted.generation); }
  void operator()(const ChangeUnchanged& unchanged) { out.setUnchanged(unchanged.generation); }
  void operator()(const ChangeConflict& conflict) {
    auto group = out.initConflict();
    group.setGeneration(conflict.generation);
    group.setAuthor(conflict.author);
  }
  void operator()(const ChangeInvalid& invalid) {
    auto error_list = out.initInvalid(ListSize(invalid.validation_errors.size()));
    for (unsigned i = 0; i < error_list.size(); ++i) {
      error_list[i].setPath(invalid.validation_errors[i].path);
      error_list[i].setMessage(invalid.validation_errors[i].message);
    }
  }
  void operator()(const ChangeUnreachable& unreachable) { out.setUnreachable(unreachable.message); }
  void operator()(const ChangeUnknown& unknown) { out.setUnknown(unknown.token); }
};

void WriteNode(const NodeState& state, bool live, rpc::NodeStatus::Builder out) {
  out.setName(state.name);
  out.setAddress(state.peers_address);
  out.setAvailabilityZone(state.availability_zone);
  out.setGeneration(state.generation);
  out.setLive(live);
  out.setStopping(state.stopping);
}

std::string_view EndpointStateName(const EndpointState& state, const Configuration& configuration) {
  if (state.spec.leaving || state.leaving_announced) {
    return "leaving";
  }
  if (configuration.drained.contains(state.spec.name)) {
    return "drained";
  }
  return EndpointTable::Usable(state) ? "live" : "silent";
}

void WriteEndpoint(const EndpointState& state,
                   const NodeReport& report,
                   rpc::EndpointStatus::Builder out) {
  out.setName(state.spec.name);
  out.setPool(state.spec.pool);
  out.setAddress(state.spec.address);
  out.setState(std::string(EndpointStateName(state, *report.configuration)));
  out.setMemory(state.spec.memory);
  std::vector<std::pair<std::string, const Reservation*>> units;
  std::uint64_t reserved = 0;
  const auto pool = report.pools.find(state.spec.pool);
  if (pool != report.pools.end()) {
    for (const auto& [key, reservation] : pool->second.reservations) {
      if (key.first == state.spec.name) {
        units.emplace_back(key.second, &reservation);
        reserved += reservation.memory;
      }
    }
  }
  out.setReserved(reserved);
  auto list = out.initUnits(ListSize(units.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setUnit(units[i].first);
    list[i].setState(std::string(NameOf(units[i].second->state)));
  }
}

}  // namespace

void Write(const ChangeRequest& request, rpc::ChangeRequest::Builder out) {
  out.setAuthor(request.author);
  out.setToken(request.token);
  out.setExpectedGeneration(request.expected_generation);
  if (const auto* drain = std::get_if<DrainEndpoint>(&request.what)) {
    auto group = out.initDrain();
    group.setEndpoint(drain->endpoint);
    group.setUndo(drain->undo);
    return;
  }
  const auto& apply = std::get<ApplySet>(request.what);
  auto group = out.initApply();
  group.setSet(apply.set);
  auto files = group.initFiles(ListSize(apply.files.size()));
  for (unsigned i = 0; i < files.size(); ++i) {
    files[i].setName(apply.files[i].name);
    files[i].setText(apply.files[i].text);
  }
}

ChangeRequest Read(rpc::ChangeRequest::Reader in) {
  ChangeRequest request;
  request.author = in.getAuthor().cStr();
  request.token = in.getToken().cStr();
  request.expected_generation = in.getExpectedGeneration();
  if (in.isDrain()) {
    request.what = DrainEndpoint{in.getDrain().getEndpoint().cStr(), in.getDrain().getUndo()};
    return request;
  }
  ApplySet apply;
  apply.set = in.getApply().getSet().cStr();
  for (const auto file : in.getApply().getFiles()) {
    apply.files.push_back({file.getName().cStr(), file.getText().cStr()});
  }
  request.what = std::move(apply);
  return request;
}

void Write(const ChangeResult& result, rpc::ChangeResult::Builder out) {
  std::visit(ResultWriter{out}, result);
}

ChangeResult Read(rpc::ChangeResult::Reader in) {
  switch (in.which()) {
    case rpc::ChangeResult::ACCEPTED:
      return ChangeAccepted{in.getAccepted()};
    case rpc::ChangeResult::UNCHANGED:
      return ChangeUnchanged{in.getUnchanged()};
    case rpc::ChangeResult::CONFLICT:
      return ChangeConflict{in.getConflict().getGeneration(), in.getConflict().getAuthor().cStr()};
    case rpc::ChangeResult::INVALID: {
      ChangeInvalid invalid;
      for (const auto mistake : in.getInvalid()) {
        invalid.validation_errors.push_back(
            {mistake.getPath().cStr(), mistake.getMessage().cStr()});
      }
      return invalid;
    }
    case rpc::ChangeResult::UNREACHABLE:
      return ChangeUnreachable{in.getUnreachable().cStr()};
    case rpc::ChangeResult::UNKNOWN:
      return ChangeUnknown{in.getUnknown().cStr()};
  }
  return ChangeUnknown{};
}

void Write(const NodeReport& report, const MembershipSettings& settings, rpc::Status::Builder out) {
  const TimePoint now = Now();
  WriteNode(report.self, true, out.initNode());
  auto others = out.initOthers(ListSize(report.members.size()));
  for (unsigned i = 0; i < others.size(); ++i) {
    const Member& member = report.members[i];
    const bool live =
        member.advanced_at && Between(*member.advanced_at, now) <= settings.silent_after;
    WriteNode(member.state, live, others[i]);
  }
  auto endpoints = out.initEndpoints(ListSize(report.endpoints.size()));
  for (unsigned i = 0; i < endpoints.size(); ++i) {
    WriteEndpoint(report.endpoints[i], report, endpoints[i]);
  }
  auto held = out.initHeldPools(ListSize(report.held_pools.size()));
  for (unsigned i = 0; i < held.size(); ++i) {
    held.set(i, report.held_pools[i]);
  }
}

}  // namespace rudderloom
