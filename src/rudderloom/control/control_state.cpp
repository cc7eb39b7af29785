#include "rudderloom/control/control_state.hpp"

#include <algorithm>  // for min, max
#include <cmath>      // for exp
#include <utility>    // for move

namespace rudderloom {

namespace {

constexpr double kDemandSmoothingMs = 2'000.0;
constexpr double kMinDemand = 0.05;
constexpr std::size_t kDigestsPerHeartbeat = 24;

std::string UnitName(const std::string& name, const std::string& version) {
  return name + "@" + version;
}

}  // namespace

ControlState::ControlState(Settings settings, std::string incarnation, std::string peers_address)
    : settings_(std::move(settings)),
      incarnation_(std::move(incarnation)),
      peers_address_(std::move(peers_address)),
      members_(settings_.name, settings_.membership) {}

ControlEffects ControlState::Handle(const message::Any& any,
                                    TimePoint now,
                                    std::int64_t unix_seconds) {
  ControlEffects effects;
  std::visit([&](const auto& message) { On(message, now); }, any);
  if (std::holds_alternative<message::Tick>(any)) {
    for (auto& [pool, keeper] : keepers_) {
      PoolEffects pool_effects = keeper.Tick(BuildPoolView(pool, now, unix_seconds), now);
      std::move(pool_effects.begin(), pool_effects.end(), std::back_inserter(effects.pool));
    }
  }
  if (dirty_) {
    dirty_ = false;
    effects.snapshot = MakeSnapshot(now);
  }
  return effects;
}

void ControlState::On(const message::ConfigurationSeen& seen, TimePoint) {
  dirty_ = configuration_.Offer(seen.configuration) || dirty_;
}

void ControlState::On(const message::EndpointsListed& listed, TimePoint) {
  endpoints_.ApplyList(listed.specs);
  endpoints_listed_ = true;
  dirty_ = true;
}

void ControlState::On(const message::EndpointPut& put, TimePoint) {
  endpoints_.Put(put.spec);
  dirty_ = true;
}

void ControlState::On(const message::EndpointRemoved& removed, TimePoint) {
  endpoints_.Remove(removed.name);
  dirty_ = true;
}

void ControlState::On(const message::NodesListed& listed, TimePoint) {
  members_.ApplyList(listed.nodes);
  nodes_listed_ = true;
}

void ControlState::On(const message::PoolSeen& seen, TimePoint now) {
  FindOrCreateKeeper(seen.pool).ApplyRead(seen.record, seen.version, seen.sight, now);
  dirty_ = true;
}

void ControlState::On(const message::PoolCallEnded& ended, TimePoint now) {
  PoolKeeper& keeper = FindOrCreateKeeper(ended.pool);
  switch (ended.result) {
    case message::PoolCallEnded::Result::kWritten:
      keeper.OnWriteSucceeded(ended.version, now);
      dirty_ = true;
      break;
    case message::PoolCallEnded::Result::kWriteFailed:
      keeper.WriteFailed(now);
      break;
    case message::PoolCallEnded::Result::kReadFailed:
      keeper.ReadFailed();
      break;
  }
}

void ControlState::On(const message::OrderEnded& ended, TimePoint now) {
  FindOrCreateKeeper(ended.order.pool).OrderEnded(ended.order, ended.outcome, now);
}

void ControlState::On(const message::EndpointPolled& polled, TimePoint now) {
  const auto found = endpoints_.Endpoints().find(polled.name);
  if (found == endpoints_.Endpoints().end() || found->second.spec.address != polled.address) {
    return;  // response of a previous endpoint with this name
  }
  const bool was_usable = EndpointTable::Usable(found->second);
  const LoadReport before = found->second.report;
  if (polled.report) {
    endpoints_.ApplyReport(polled.name, *polled.report, now);
  } else {
    endpoints_.PollFailed(polled.name);
  }
  const bool changed = was_usable != EndpointTable::Usable(found->second) ||
                       before.resident != found->second.report.resident ||
                       before.incarnation != found->second.report.incarnation;
  dirty_ = dirty_ || changed;
}

void ControlState::On(const message::HeartbeatReceived& heard, TimePoint now) {
  members_.RecordHeartbeat(heard.state, now);
  for (const NodeDigest& digest : heard.digests) {
    members_.RecordRelayedHeartbeat(digest, now);
  }
  for (const std::string& leaving : heard.state.leaving) {
    endpoints_.MarkProcessLeaving(leaving);
  }
  MergeCrashNews(heard.state.crash_news, now);
  dirty_ = true;  // the in-flight counts of a peer may have changed
}

void ControlState::On(const message::EndpointAnnouncedLeaving& said, TimePoint) {
  dirty_ = endpoints_.MarkLeaving(said.endpoint_and_incarnation) || dirty_;
}

// Each node counts crashes itself and forwards only news that it did not know. News that all nodes
// know is no longer forwarded.
void ControlState::MergeCrashNews(const CrashNews& news, TimePoint now) {
  if (!news.Empty() && crash_book_.Take(news, now)) {
    news_log_.Add(news, now);
    dirty_ = true;
  }
}

void ControlState::On(const message::TrafficSampled& sampled, TimePoint now) {
  MergeCrashNews(sampled.crash_news, now);
  in_flight_ = sampled.in_flight;
  demand_ = sampled.demand;
}

void ControlState::On(const message::Tick&, TimePoint now) {
  SmoothDemand(now);
  dirty_ = crash_book_.Expire(now) || dirty_;
  if (nodes_listed_) {
    members_.Expire(now);
    UpdateRunningNodes(now);
  }
  for (const auto& [name, state] : endpoints_.Endpoints()) {
    if (state.spec.service.empty()) {
      FindOrCreateKeeper(state.spec.pool);
    }
  }
}

void ControlState::UpdateRunningNodes(TimePoint now) {
  std::set<std::string> running = members_.PossiblyRunning(now);
  running.insert(incarnation_);
  if (!running_nodes_ || *running_nodes_ != running) {
    running_nodes_ = std::make_shared<const std::set<std::string>>(std::move(running));
    dirty_ = true;
  }
}

void ControlState::On(const message::StopRequested&, TimePoint) {
  stopping_ = true;
  for (auto& [pool, keeper] : keepers_) {
    keeper.Stop();
  }
}

PoolKeeper& ControlState::FindOrCreateKeeper(const std::string& pool) {
  const auto [found, is_new] =
      keepers_.try_emplace(pool, settings_.name, incarnation_, pool, settings_.residency);
  if (is_new && stopping_) {
    found->second.Stop();
  }
  return found->second;
}

void ControlState::SmoothDemand(TimePoint now) {
  const double passed = std::chrono::duration<double, std::milli>(now - smoothed_at_).count();
  smoothed_at_ = now;
  const double weight = 1.0 - std::exp(-passed / kDemandSmoothingMs);
  std::map<std::string, double> current_demand;
  for (const auto& [name, count] : demand_) {
    current_demand[name] += count;
  }
  for (const Member* member : members_.Live(now)) {
    for (const auto& [name, count] : member->state.demand) {
      current_demand[name] += count;
    }
  }
  for (const auto& [name, count] : current_demand) {
    smooth_demand_.try_emplace(name, 0.0);
  }
  for (auto& [name, value] : smooth_demand_) {
    const auto found = current_demand.find(name);
    value += weight * ((found == current_demand.end() ? 0.0 : found->second) - value);
  }
  std::erase_if(smooth_demand_, [](const auto& entry) { return entry.second < kMinDemand; });
}

std::vector<WantedUnit> ControlState::ListWantedUnits(const std::string& pool,
                                                      std::int64_t unix_seconds) const {
  const Catalog& catalog = configuration_.InForce()->catalog;
  std::map<std::string, std::int64_t> event_copies;
  for (const auto& [name, event] : catalog.events) {
    const std::int64_t from = event.start - event.lead.count() / 1000;
    const std::int64_t until = event.start + event.length.count() / 1000;
    if (unix_seconds < from || unix_seconds >= until) {
      continue;
    }
    for (const EventNeed& need : event.needs) {
      event_copies[need.name] = std::max(event_copies[need.name], need.copies);
    }
  }
  const auto demand_of = [&](const std::string& name) {
    const auto found = smooth_demand_.find(name);
    return found == smooth_demand_.end() ? 0.0 : found->second;
  };
  const auto copies_of = [&](const std::string& name, std::int64_t declared) {
    const auto found = event_copies.find(name);
    return found == event_copies.end() ? declared : std::max(declared, found->second);
  };
  std::vector<WantedUnit> wanted;
  for (const auto& [name, model] : catalog.models) {
    if (model.pool == pool) {
      wanted.push_back({UnitName(name, model.version), name, "", model.memory,
                        copies_of(name, model.copies), demand_of(name)});
    }
  }
  for (const auto& [name, adapter] : catalog.adapters) {
    const Model& model = catalog.models.at(adapter.model);
    if (model.pool == pool) {
      wanted.push_back({UnitName(name, adapter.version), name, UnitName(model.name, model.version),
                        adapter.memory, copies_of(name, 1), demand_of(name)});
    }
  }
  return wanted;
}

PoolView ControlState::BuildPoolView(const std::string& pool,
                                     TimePoint now,
                                     std::int64_t unix_seconds) {
  PoolView view;
  view.listed = endpoints_listed_;
  view.wanted = ListWantedUnits(pool, unix_seconds);
  for (const auto& [name, state] : endpoints_.Endpoints()) {
    if (state.spec.pool != pool || !state.spec.service.empty()) {
      continue;
    }
    PoolEndpoint endpoint;
    endpoint.name = name;
    endpoint.address = state.spec.address;
    endpoint.availability_zone = state.spec.availability_zone;
    endpoint.memory = state.spec.memory;
    endpoint.checks_fences = state.spec.checks_fences;
    endpoint.usable = IsRoutable(state);
    endpoint.slots = state.spec.slots;
    const auto own = in_flight_.find(name);
    const double total = (own == in_flight_.end() ? 0 : own->second) + OthersInFlight(name, now);
    endpoint.load = total / endpoint.slots;
    endpoint.used = state.report.used;
    endpoint.reported_at = state.reported_at;
    endpoint.resident = state.report.resident;
    view.endpoints.push_back(std::move(endpoint));
  }
  view.is_silent = [this, pool, now](const std::string& incarnation, std::uint64_t epoch) {
    if (!nodes_listed_) {
      return false;
    }
    for (const auto& [name, member] : members_.Members()) {
      if (member.state.incarnation != incarnation) {
        continue;
      }
      const auto quiet = member.state.quiet_epochs.find(pool);
      return members_.IsLive(member, now) && quiet != member.state.quiet_epochs.end() &&
             quiet->second >= epoch;
    }
    return members_.Ended(incarnation);
  };
  return view;
}

std::uint32_t ControlState::OthersInFlight(const std::string& endpoint, TimePoint now) const {
  std::uint32_t count = 0;
  for (const Member* member : members_.Live(now)) {
    const auto found = member->state.in_flight.find(endpoint);
    count += found == member->state.in_flight.end() ? 0 : found->second;
  }
  return count;
}

bool ControlState::IsRoutable(const EndpointState& state) const {
  return EndpointTable::Usable(state) &&
         !configuration_.InForce()->drained.contains(state.spec.name);
}

// Returns the state of a unit in the pool record; empty if the unit is not recorded.
std::optional<UnitState> ControlState::RecordedState(const EndpointState& endpoint,
                                                     const std::string& unit) const {
  const auto keeper = keepers_.find(endpoint.spec.pool);
  if (keeper == keepers_.end()) {
    return std::nullopt;
  }
  const auto& reservations = keeper->second.Stored().reservations;
  const auto found = reservations.find({endpoint.spec.name, unit});
  return found == reservations.end() ? std::nullopt : std::optional(found->second.state);
}

// Whether the lease holder of the pool is unloading the unit from this endpoint.
bool ControlState::IsBeingUnloaded(const EndpointState& endpoint, const std::string& unit) const {
  const auto state = RecordedState(endpoint, unit);
  return state == UnitState::kUnloading || state == UnitState::kLingering;
}

void ControlState::AddServingSet(Snapshot& snapshot,
                                 std::map<std::string, ServingSet>& sets,
                                 const std::string& name,
                                 const std::string& unit,
                                 const std::vector<std::uint32_t>& endpoints) const {
  ServingSet set;
  set.unit = unit;
  set.endpoints = endpoints;
  std::vector<std::string> names;
  for (std::uint32_t position = 0; position < endpoints.size(); ++position) {
    const EndpointView& endpoint = snapshot.endpoints[endpoints[position]];
    names.push_back(endpoint.name);
    if (endpoint.availability_zone == settings_.availability_zone) {
      set.near.push_back(position);
    }
  }
  const auto last = last_models_.find(name);
  const bool endpoints_unchanged =
      last != last_models_.end() && last->second.endpoints == endpoints;
  set.affinity = endpoints_unchanged ? last->second.affinity : BuildAffinity(names);
  sets[name] = std::move(set);
}

// Adds the endpoints that have the declared version loaded or, if there are none, those with the
// greatest version name among the others.
void ControlState::AddServingUnit(Snapshot& snapshot,
                                  const std::string& name,
                                  const std::string& unit) const {
  std::vector<std::uint32_t> declared;
  std::vector<std::uint32_t> recorded;
  std::map<std::string, std::vector<std::uint32_t>> others;
  const std::string prefix = name + "@";
  for (std::uint32_t i = 0; i < snapshot.endpoints.size(); ++i) {
    const EndpointState& state = endpoints_.Endpoints().at(snapshot.endpoints[i].name);
    const auto& resident = state.report.resident;
    for (auto held = resident.lower_bound(prefix);
         held != resident.end() && held->starts_with(prefix); ++held) {
      if (!IsBeingUnloaded(state, *held)) {
        (*held == unit ? declared : others[*held]).push_back(i);
      }
    }
    if (RecordedState(state, unit) == UnitState::kResident) {
      recorded.push_back(i);
    }
  }
  if (declared.empty()) {
    // The load was just confirmed to the lease holder and is not yet in the endpoint reports.
    declared = recorded;
  }
  if (declared.empty() && !others.empty()) {
    const auto newest = std::prev(others.end());
    AddServingSet(snapshot, snapshot.models, name, newest->first, newest->second);
    return;
  }
  AddServingSet(snapshot, snapshot.models, name, unit, declared);
}

SnapshotPtr ControlState::MakeSnapshot(TimePoint now) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->configuration = configuration_.InForce();
  snapshot->live_nodes = static_cast<std::uint32_t>(members_.Live(now).size()) + 1;
  snapshot->running_nodes = running_nodes_;
  snapshot->ready = endpoints_listed_ && snapshot->configuration->generation > 0;
  std::map<std::string, std::vector<std::uint32_t>> by_service;
  for (const auto& [name, state] : endpoints_.Endpoints()) {
    if (!IsRoutable(state)) {
      continue;
    }
    EndpointView view;
    view.id = state.id;
    view.name = name;
    view.address = state.spec.address;
    view.instance = InstanceOf(state);
    view.availability_zone = state.spec.availability_zone;
    view.slots = state.spec.slots;
    view.others_in_flight = OthersInFlight(name, now);
    if (!state.spec.service.empty()) {
      by_service[state.spec.service].push_back(
          static_cast<std::uint32_t>(snapshot->endpoints.size()));
    }
    snapshot->endpoints.push_back(std::move(view));
  }
  const Catalog& catalog = snapshot->configuration->catalog;
  for (const auto& [name, model] : catalog.models) {
    AddServingUnit(*snapshot, name, UnitName(name, model.version));
  }
  for (const auto& [name, adapter] : catalog.adapters) {
    AddServingUnit(*snapshot, name, UnitName(name, adapter.version));
  }
  for (const auto& [name, service] : catalog.services) {
    AddServingSet(*snapshot, snapshot->services, name, "", by_service[name]);
  }
  if (!crash_book_.Empty()) {
    snapshot->quarantine = std::make_shared<const QuarantineList>(crash_book_.List());
  }
  last_models_ = snapshot->models;
  return snapshot;
}

std::shared_ptr<const NodeReport> ControlState::Report(TimePoint now, bool next_round) {
  auto report = std::make_shared<NodeReport>();
  NodeState& self = report->self;
  if (next_round) {
    ++heartbeat_count_;
    targets_ = members_.NextTargets();
    digests_ = members_.FreshDigests(kDigestsPerHeartbeat);
  }
  report->targets = targets_;
  report->digests = digests_;
  self.name = settings_.name;
  self.incarnation = incarnation_;
  self.peers_address = peers_address_;
  self.availability_zone = settings_.availability_zone;
  self.beat = heartbeat_count_;
  self.generation = configuration_.InForce()->generation;
  self.stopping = stopping_;
  self.leaving = endpoints_.Leaving();
  self.in_flight = in_flight_;
  self.demand = demand_;
  self.crash_news = news_log_.Current(now);
  report->released = true;
  for (const auto& [pool, keeper] : keepers_) {
    self.quiet_epochs[pool] = keeper.OldestOrderEpoch();
    report->pools[pool] = keeper.Stored();
    report->released = report->released && keeper.Released();
    if (keeper.Holds(now)) {
      report->held_pools.push_back(pool);
    }
  }
  for (const auto& [name, member] : members_.Members()) {
    report->members.push_back(member);
  }
  for (const auto& [name, state] : endpoints_.Endpoints()) {
    report->endpoints.push_back(state);
  }
  report->configuration = configuration_.InForce();
  report->peers_known = !members_.Members().empty();
  return report;
}

}  // namespace rudderloom
