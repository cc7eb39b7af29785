#include "fakes/fleet_world.hpp"

#include <algorithm>  // for find_if
#include <utility>    // for exchange

namespace rudderloom::fakes {

namespace {

constexpr int kStepMs = 5;
constexpr int kTickIntervalMs = 50;
constexpr int kSampleIntervalMs = 200;
constexpr int kStoreLatencyMs = 10;
constexpr int kStoreTimeoutMs = 1'000;
constexpr int kPeerLatencyMs = 5;
constexpr int kPeerTimeoutMs = 600;
constexpr int kRetryDelayMs = 800;  // after a failed call
constexpr int kSharedWatchIntervalMs = 500;
constexpr double kStaleReadCost = 0.1;

}  // namespace

FleetWorld::FleetWorld(const FleetWorldOptions& options) : options_(options) {
  Configure(1);
  PutEndpoint("e1", false);
  PutEndpoint("e2", false);
  for (int i = 0; i < options.nodes; ++i) {
    Node& node = nodes_.emplace_back();
    node.name = "n" + std::to_string(i);
    node.address = node.name + ":1";
    node.share =
        i < options.large_in_zone * options.zones ? options.large_share : options.small_share;
  }
  for (int i = 0; i < options.nodes; ++i) {
    Start(i);
  }
  first_generation_ = false;
}

FleetSettings FleetWorld::MakeSettings(const Node& node) const {
  FleetSettings settings;
  settings.name = node.name;
  settings.listen.peers = node.address;
  settings.processor_share = node.share;
  settings.group_size = options_.group_size;
  settings.first_start = first_generation_ && options_.first_start;
  const int index = static_cast<int>(&node - nodes_.data());
  settings.availability_zone = "zone-" + std::to_string(index % options_.zones);
  settings.bounds.drain = Duration(4'000);
  settings.bounds.configuration = Duration(4'000);
  return settings;
}

void FleetWorld::Kill(int index) {
  Node& node = NodeAt(index);
  node.state.reset();
  node.statement.reset();
  node.view.reset();
  node.versions = {};
  node.holds_lease = false;
  ++node.generation;
}

void FleetWorld::Start(int index) {
  Node& node = NodeAt(index);
  Kill(index);
  node.state = std::make_unique<FleetState>(MakeSettings(node), std::to_string(node.generation));
  node.endpoints = {};
  node.configuration = {};
  node.pending_report.reset();
  node.spending.clear();
  node.crash_news = {};
  node.limits = {};
  node.reporting = false;
  node.routes_version = 0;
  const Followings followings = InitialFollowings(MakeSettings(node));
  SetFollowing(node, node.endpoints, followings.endpoints);
  SetFollowing(node, node.configuration, followings.configuration);
}

void FleetWorld::Suspend(int index, int milliseconds, int clock_lag_ms) {
  NodeAt(index).suspended_until = now_ + milliseconds;
  NodeAt(index).clock_lag_ms = clock_lag_ms;
}

void FleetWorld::Configure(std::uint64_t version) {
  store_.routes_version = version;
  ++store_.revision;
  SnapshotStore();
}

void FleetWorld::PutEndpoint(const std::string& instance,
                             bool leaving,
                             const std::string& software_version) {
  EndpointRecord record;
  record.instance = instance;
  record.id = instance;
  record.service = "desk";
  record.address = instance + ":1";
  record.software_version = software_version;
  record.leaving = leaving;
  store_.endpoints[instance] = {record, ++store_.revision};
  SnapshotStore();
}

void FleetWorld::RemoveEndpoint(const std::string& instance) {
  store_.endpoints.erase(instance);
  ++store_.revision;
  SnapshotStore();
}

void FleetWorld::SnapshotStore() {
  store_snapshots_[now_] = store_;
}

void FleetWorld::WriteUnrelatedObjects(int writes) {
  store_.revision += static_cast<std::uint64_t>(writes);
  SnapshotStore();
}

void FleetWorld::RestoreStore(int age, int replay_delay_ms) {
  const auto newer = store_snapshots_.upper_bound(now_ - age);
  const StoreContents lost = store_;
  store_ = newer == store_snapshots_.begin() ? StoreContents() : std::prev(newer)->second;
  store_.lease.era = lost.lease.era + 1;
  store_snapshots_.clear();
  SnapshotStore();
  Schedule(replay_delay_ms, [this, lost] { ReplayLostWrites(lost); });
}

void FleetWorld::ReplayLostWrites(const StoreContents& lost) {
  for (const auto& [instance, entry] : lost.endpoints) {
    const auto found = store_.endpoints.find(instance);
    if (found == store_.endpoints.end() || (entry.first.leaving && !found->second.first.leaving)) {
      PutEndpoint(instance, entry.first.leaving, entry.first.software_version);
    }
  }
  if (lost.routes_version > store_.routes_version) {
    Configure(lost.routes_version);
  }
}

RouteTablePtr FleetWorld::BuildRoutes() const {
  // Each version has its own route besides one that all versions share.
  std::vector<Route> routes(2);
  routes[0].prefix = "/stays/";
  routes[1].prefix = "/v" + std::to_string(store_.routes_version) + "/";
  return std::make_shared<const RouteTable>(
      store_.routes_version, routes, std::vector<ServiceSpec>{}, ClientLimits{},
      Callers{!options_.customers.empty(), options_.customers});
}

void FleetWorld::Schedule(int milliseconds, std::function<void()> callback) {
  events_.emplace(now_ + milliseconds, std::move(callback));
}

void FleetWorld::ScheduleOnNode(Node& node, int milliseconds, std::function<void()> callback) {
  Schedule(milliseconds,
           [this, &node, generation = node.generation, callback = std::move(callback)] {
             if (node.generation != generation || !node.state) {
               return;
             }
             if (Suspended(node)) {
               ScheduleOnNode(node, node.suspended_until - now_, callback);
             } else {
               callback();
             }
           });
}

FleetWorld::Node* FleetWorld::FindNode(const std::string& address) {
  const auto found = std::find_if(nodes_.begin(), nodes_.end(),
                                  [&](const Node& node) { return node.address == address; });
  return found == nodes_.end() ? nullptr : &*found;
}

void FleetWorld::Play(int milliseconds) {
  const int until = now_ + milliseconds;
  for (; now_ < until; now_ += kStepMs) {
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto callback = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      callback();
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = nodes_[i];
      if (!node.state || Suspended(node)) {
        continue;
      }
      const int phase = now_ + static_cast<int>(i) * kStepMs;
      if (phase % kTickIntervalMs == 0) {
        HandleMessage(node, fleet_message::Tick{TimeAt(node)});
        AdvanceSubscription(node, node.endpoints, false);
        AdvanceSubscription(node, node.configuration, true);
      }
      if (phase % kSampleIntervalMs == 0) {
        Sample(node);
      }
    }
  }
}

void FleetWorld::Sample(Node& node) {
  NodeCounts counts;
  counts.node = node.name;
  counts.loads[KeyOf("e1")] = {1, 0, 0};
  counts.spending = node.spending;
  for (auto& [customer, spending] : node.spending) {
    spending = {0, 0, spending.nodes};
  }
  counts.crash_news = std::exchange(node.crash_news, {});
  counts.limits = std::exchange(node.limits, {});
  counts.reaches_endpoints = !node.cut_from_endpoints;
  counts.needs_gateways = node.cut_from_endpoints;
  if (counts.reaches_endpoints) {
    counts.gateways = {{node.name + ":2", "key of " + node.name}};
  }
  HandleMessage(node, fleet_message::NodeSampled{counts});
}

void FleetWorld::HandleMessage(Node& node, const fleet_message::Any& message) {
  Execute(node, node.state->Handle(message, TimeAt(node)));
}

void FleetWorld::Execute(Node& node, FleetEffects effects) {
  if (effects.view) {
    node.view = effects.view;
    const std::uint64_t version = node.view->routes ? node.view->routes->Version() : 0;
    configuration_regressions_ += version < node.routes_version ? 1 : 0;
    node.routes_version = version;
  }
  if (effects.versions) {
    node.versions = std::move(*effects.versions);
  }
  if (effects.statement) {
    node.statement = effects.statement;
    node.holds_lease = effects.statement->common.is_authoritative &&
                       effects.statement->common.holder == node.address;
  }
  if (effects.followings) {
    SetFollowing(node, node.endpoints, effects.followings->endpoints);
    SetFollowing(node, node.configuration, effects.followings->configuration);
  }
  if (effects.store_era) {
    for (Subscription* subscription : {&node.endpoints, &node.configuration}) {
      subscription->listed = subscription->listed && subscription->era >= *effects.store_era;
    }
  }
  if (effects.lease_read) {
    ReadLease(node, *effects.lease_read);
  }
  if (effects.lease_write) {
    WriteLease(node, *effects.lease_write);
  }
  if (effects.report) {
    if (node.pending_report) {
      MergeUnreported(node.pending_report->counts, effects.report->counts);
    }
    node.pending_report = std::move(effects.report);
    SendReport(node);
  }
  if (effects.read_routes) {
    AnswerStoreCall(node, node.configuration, true, true);
  }
}

void FleetWorld::ReadLease(Node& node, LeaseRead mode) {
  const bool fresh = mode == LeaseRead::kFresh;
  calls_.lease += fresh ? 1.0 : kStaleReadCost;
  const auto record = store_.lease.record;
  const StoreRevision version = store_.lease.Version();
  if (!ReachesStore(node)) {
    ScheduleOnNode(node, kStoreTimeoutMs,
                   [this, &node] { HandleMessage(node, fleet_message::LeaseReadFailed{}); });
    return;
  }
  ScheduleOnNode(node, kStoreLatencyMs, [this, &node, fresh, record, version] {
    HandleMessage(node, fleet_message::LeaseSeen{record, version, fresh});
  });
}

void FleetWorld::WriteLease(Node& node, const LeaseWrite& write) {
  calls_.lease += 1;
  const bool is_done = ReachesStore(node) && store_writes_ != StoreWrites::kRefused;
  const bool taken = is_done && store_.lease.Put(write);
  if (!is_done || store_writes_ == StoreWrites::kUnanswered) {
    SnapshotStore();
    ScheduleOnNode(node, kStoreTimeoutMs, [this, &node] {
      HandleMessage(node, fleet_message::LeaseWritten{std::nullopt});
    });
    return;
  }
  SnapshotStore();
  const auto version = taken ? std::optional(store_.lease.Version()) : std::nullopt;
  ScheduleOnNode(node, kStoreLatencyMs, [this, &node, version] {
    HandleMessage(node, fleet_message::LeaseWritten{version});
  });
}

void FleetWorld::SendReport(Node& node) {
  if (node.reporting || !node.pending_report) {
    return;
  }
  const CountsToReport report = std::move(*node.pending_report);
  node.pending_report.reset();
  node.reporting = true;
  Node* to = FindNode(report.to);
  const bool silent = to == nullptr || node.cut_from_nodes || to->cut_from_nodes || Suspended(*to);
  if (silent || !to->state) {
    ScheduleOnNode(node, silent ? kPeerTimeoutMs : kPeerLatencyMs, [this, &node, report] {
      FinishReport(node);
      HandleMessage(node, fleet_message::ReportFailed{report.to, report.counts.report_number});
    });
    return;
  }
  HolderDigest digest;
  if (to->statement) {
    digest = DigestFor(*to->statement, report.counts, TimeAt(*to));
  }
  AddTransitTime(digest, Duration(kPeerLatencyMs));
  to->report_times.push_back(now_);
  ScheduleOnNode(*to, 0, [this, to, report] {
    HandleMessage(*to, fleet_message::PeerCountsReceived{report.counts});
  });
  ScheduleOnNode(node, kPeerLatencyMs, [this, &node, report, digest] {
    FinishReport(node);
    HandleMessage(node,
                  fleet_message::DigestReceived{digest, report.to, report.counts.report_number});
  });
}

void FleetWorld::FinishReport(Node& node) {
  node.reporting = false;
  SendReport(node);
}

void FleetWorld::SetFollowing(Node&, Subscription& subscription, FollowMode mode) {
  if (subscription.mode == mode) {
    return;
  }
  // A watch continues as another kind of watch; after a pause it starts with a list.
  const bool was_watching =
      subscription.mode == FollowMode::kStore || subscription.mode == FollowMode::kStoreForOthers;
  subscription.needs_probe = subscription.needs_probe || subscription.mode == FollowMode::kHolder;
  subscription.mode = mode;
  subscription.listed = subscription.listed && was_watching && mode != FollowMode::kHolder;
}

void FleetWorld::AdvanceSubscription(Node& node, Subscription& subscription, bool configuration) {
  if (subscription.mode == FollowMode::kHolder || subscription.call_in_flight) {
    return;
  }
  if (subscription.needs_probe) {
    ProbeStore(node, subscription);
    return;
  }
  if (!subscription.listed) {
    AnswerStoreCall(node, subscription, configuration, true);
    return;
  }
  if (subscription.mode == FollowMode::kStoreOnce) {
    return;
  }
  const bool changed = store_.revision > subscription.seen_revision;
  const bool due =
      subscription.mode == FollowMode::kStoreForOthers && now_ >= subscription.next_answer_at;
  if (changed || due || !ReachesStore(node)) {
    AnswerStoreCall(node, subscription, configuration, false);
  }
}

void FleetWorld::ProbeStore(Node& node, Subscription& subscription) {
  calls_.lists += kStaleReadCost;
  subscription.call_in_flight = true;
  const bool reaches_store = ReachesStore(node);
  ScheduleOnNode(node, reaches_store ? kStoreLatencyMs : kStoreTimeoutMs + kRetryDelayMs,
                 [&subscription, reaches_store] {
                   subscription.call_in_flight = false;
                   subscription.needs_probe = !reaches_store;
                 });
}

void FleetWorld::AnswerStoreCall(Node& node,
                                 Subscription& subscription,
                                 bool configuration,
                                 bool list) {
  (list ? calls_.lists : calls_.watches) += 1;
  subscription.call_in_flight = true;
  if (!ReachesStore(node)) {
    ScheduleOnNode(node, kStoreTimeoutMs + kRetryDelayMs, [&subscription] {
      subscription.call_in_flight = false;
      subscription.listed = false;
      subscription.needs_probe = true;
    });
    return;
  }
  const std::uint64_t at = store_.revision;
  const std::uint64_t era = store_.lease.era;
  // A watch that continues from a revision of another era ends; a list follows.
  const bool other_era = !list && subscription.era != era;
  std::vector<EndpointRecord> records;
  for (const auto& [instance, entry] : store_.endpoints) {
    records.push_back(entry.first);
  }
  const RouteTablePtr routes = BuildRoutes();
  ScheduleOnNode(node, kStoreLatencyMs, [=, this, &node, &subscription] {
    subscription.call_in_flight = false;
    subscription.listed = !other_era;
    if (other_era) {
      return;
    }
    subscription.seen_revision = at;
    subscription.era = era;
    subscription.next_answer_at = now_ + kSharedWatchIntervalMs;
    if (configuration) {
      HandleMessage(node, fleet_message::RoutesSeen{routes});
      HandleMessage(node, fleet_message::RoutesConfirmed{});
    } else {
      HandleMessage(node, fleet_message::EndpointsListed{records, StoreRevision(era, at)});
    }
  });
}

}  // namespace rudderloom::fakes
