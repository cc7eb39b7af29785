#include "fakes/pool_world.hpp"

#include <random>  // for mt19937_64
#include <set>     // for set

namespace rudderloom::fakes {

namespace {

constexpr Duration kTickInterval{100};
constexpr Duration kNetworkDelay{5};
constexpr Duration kLoadTime{1'000};
constexpr Duration kRunDuration{230'000};
constexpr Duration kFaultDuration{20'000};
constexpr Duration kRestoredSnapshotAge{5'000};
constexpr Duration kFreezeDuration{45'000};
constexpr Duration kLateOrderDelay{20'000};
constexpr Duration kReplacementDelay{5'000};
constexpr Duration kListLag{10'000};
constexpr std::uint64_t kEndpointMemory = 8;
constexpr std::uint64_t kUnitMemory = 4;

constexpr int kVersionCount = 20;
constexpr Duration kVersionInterval{4'000};

const std::vector<std::string> kNames{"a", "b", "c", "d"};

std::string BaseName(const std::string& unit) {
  return unit.substr(0, unit.find('@'));
}

}  // namespace

struct PoolWorld::Impl {
  struct Endpoint {
    std::string name;
    bool alive = true;
    bool listed = true;
    bool leaving = false;
    std::map<std::string, bool> units;  // true once loaded
    std::uint64_t epoch = 0;
    std::map<std::string, std::uint64_t> sequences;
    std::uint64_t starts = 0;
    // Reports in order of creation, so that late ones can be delivered.
    std::multimap<TimePoint, std::set<std::string>> reports;
  };

  struct Node {
    std::string name;
    std::string incarnation;
    std::unique_ptr<PoolKeeper> keeper;
    bool alive = true;
    TimePoint frozen_until;
    TimePoint died_at;
    std::uint64_t reported_quiet_epoch = 0;  // last value that the other nodes received
    std::vector<std::function<void()>>
        deferred;  // callbacks that came due while the node was frozen
  };

  explicit Impl(PoolWorldSettings initial_settings)
      : settings(std::move(initial_settings)), random(settings.seed) {
    residency.late_order_bound = Duration(40'000);
    residency.loads_per_second = 10.0;
    for (const char* name : {"ep1", "ep2", "ep3"}) {
      endpoints[name].name = name;
    }
    AddNode("n1");
    AddNode("n2");
    for (const std::string& name : kNames) {
      versions[name] = 1;
    }
  }

  // --- clock ---

  void ScheduleAt(TimePoint time, std::function<void()> callback) {
    events.emplace(time, std::move(callback));
  }
  void ScheduleAfter(Duration pause, std::function<void()> callback) {
    ScheduleAt(now + pause, std::move(callback));
  }

  void RunUntil(TimePoint end) {
    while (!events.empty() && events.begin()->first <= end) {
      now = events.begin()->first;
      const auto callback = std::move(events.begin()->second);
      events.erase(events.begin());
      callback();
    }
    now = end;
  }

  // --- faults ---

  bool FaultActive(Fault fault) const {
    return fault_triggered && now < fault_until &&
           std::find(settings.faults.begin(), settings.faults.end(), fault) !=
               settings.faults.end();
  }

  // Returns true once per run, for faults that affect a single message.
  bool ConsumeFault(Fault fault) {
    if (!FaultActive(fault) || consumed_faults.contains(fault)) {
      return false;
    }
    consumed_faults.insert(fault);
    return true;
  }

  void ReachStep(Step step, bool load, Node& node, const std::string& endpoint) {
    if (fault_triggered || now < begin_faults || step != settings.step) {
      return;
    }
    const bool about_orders = static_cast<int>(step) <= static_cast<int>(Step::kRecorded);
    if (about_orders && load != settings.on_load) {
      return;
    }
    fault_triggered = true;
    fault_until = now + kFaultDuration;
    Log("fault at " + NameOf(step));
    for (const Fault fault : settings.faults) {
      ApplyFault(fault, node, endpoint);
    }
  }

  void ApplyFault(Fault fault, Node& node, const std::string& endpoint) {
    const std::string endpoint_name = endpoint.empty() ? "ep1" : endpoint;
    switch (fault) {
      case Fault::kNodeKilled:
        Kill(node);
        break;
      case Fault::kNodeFrozen:
        node.frozen_until = now + kFreezeDuration;
        break;
      case Fault::kPlannedStop:
        node.keeper->Stop();
        stopping = &node;
        break;
      case Fault::kEndpointKilled:
        endpoints[endpoint_name].alive = false;
        endpoints[endpoint_name].units.clear();
        ScheduleAfter(kListLag, [this, endpoint_name] { endpoints[endpoint_name].listed = false; });
        break;
      case Fault::kEndpointRestarted:
        endpoints[endpoint_name].units.clear();
        endpoints[endpoint_name].epoch = 0;
        endpoints[endpoint_name].sequences.clear();
        ++endpoints[endpoint_name].starts;
        break;
      case Fault::kEndpointLeaving:
        endpoints[endpoint_name].leaving = true;
        break;
      case Fault::kPlatformRestored:
        RestorePlatform();
        break;
      default:
        break;  // checked where the fault takes effect
    }
  }

  void RestorePlatform() {
    const auto newer = snapshots.upper_bound(now - kRestoredSnapshotAge);
    if (newer != snapshots.begin()) {
      std::tie(record, version) = std::prev(newer)->second;
    }
    snapshots.clear();
    snapshots[now] = {record, version};
  }

  void Kill(Node& node) {
    node.alive = false;
    node.died_at = now;
    const std::string name = node.name;
    ScheduleAfter(kReplacementDelay, [this, name] { AddNode(name); });
  }

  void AddNode(const std::string& name) {
    auto node = std::make_unique<Node>();
    node->name = name;
    node->incarnation = name + "#" + std::to_string(++incarnations);
    node->keeper = std::make_unique<PoolKeeper>(name, node->incarnation, "p", residency);
    Node& added = *node;
    nodes.push_back(std::move(node));
    TickNode(added);
    WatchNode(added);
  }

  // Runs `callback` on a node; defers it while the node is frozen, drops it if the node is dead.
  void OnNode(Node& node, std::function<void()> callback) {
    if (!node.alive) {
      return;
    }
    if (now < node.frozen_until) {
      node.deferred.push_back(std::move(callback));
      return;
    }
    callback();
  }

  void TickNode(Node& node) {
    if (!node.alive) {
      return;
    }
    if (now >= node.frozen_until) {
      auto deferred = std::move(node.deferred);
      node.deferred.clear();
      for (const auto& callback : deferred) {
        callback();
      }
      // The node ticks once before it receives anything new, so it may act on stale state.
      Execute(node, node.keeper->Tick(ViewFor(node), now));
      node.reported_quiet_epoch = node.keeper->OldestOrderEpoch();
    }
    ScheduleAfter(kTickInterval, [this, &node] { TickNode(node); });
  }

  void WatchNode(Node& node) {
    if (!node.alive) {
      return;
    }
    const Duration delay = FaultActive(Fault::kWatchBehind) ? Duration(8'000) : kNetworkDelay;
    if (!FaultActive(Fault::kWatchSilent) && !FaultActive(Fault::kPlatformDown) && version > 0) {
      const PoolRecord seen = record;
      const StoreRevision seen_version = CurrentVersion();
      ScheduleAfter(delay, [this, &node, seen, seen_version] {
        OnNode(node, [this, &node, seen, seen_version] {
          node.keeper->ApplyRead(seen, seen_version, PoolReadKind::kWatched, now);
        });
      });
    }
    ScheduleAfter(kTickInterval, [this, &node] { WatchNode(node); });
  }

  // --- view of a node ---

  PoolView ViewFor(const Node& self) {
    PoolView view;
    view.listed = true;
    const Duration lag = FaultActive(Fault::kReportLate) ? Duration(2'500) : Duration(200);
    for (auto& [name, endpoint] : endpoints) {
      if (!endpoint.listed) {
        continue;
      }
      if (endpoint.alive) {
        std::set<std::string> units;
        for (const auto& [unit, loaded] : endpoint.units) {
          if (loaded) {
            units.insert(unit);
          }
        }
        endpoint.reports.emplace(now, units);
      }
      PoolEndpoint view_endpoint;
      view_endpoint.name = name;
      view_endpoint.address = name;
      view_endpoint.memory = kEndpointMemory;
      view_endpoint.checks_fences = settings.checks_fences;
      view_endpoint.usable = endpoint.alive && !endpoint.leaving;
      auto report = endpoint.reports.upper_bound(now - lag);
      if (report != endpoint.reports.begin()) {
        --report;
        view_endpoint.reported_at = now;  // a delayed report still counts as received now
        view_endpoint.resident = report->second;
        endpoint.reports.erase(endpoint.reports.begin(), report);
      }
      view.endpoints.push_back(std::move(view_endpoint));
    }
    for (const auto& [name, number] : versions) {
      WantedUnit wanted;
      wanted.name = name;
      wanted.unit = name + "@" + std::to_string(number);
      wanted.memory = kUnitMemory;
      view.wanted.push_back(std::move(wanted));
    }
    view.is_silent = [this, &self](const std::string& incarnation, std::uint64_t epoch) {
      for (const auto& node : nodes) {
        if (node->incarnation != incarnation) {
          continue;
        }
        if (!node->alive) {
          return now - node->died_at > kListLag && !FaultActive(Fault::kNodeListStale);
        }
        return &self == node.get() ||
               (now >= node->frozen_until && node->reported_quiet_epoch >= epoch);
      }
      return false;
    };
    return view;
  }

  // --- effects ---

  void Execute(Node& node, const PoolEffects& effects) {
    for (const PoolEffect& effect : effects) {
      if (const auto* write = std::get_if<WritePool>(&effect)) {
        Write(node, *write);
      } else if (std::holds_alternative<ReadPool>(effect)) {
        Read(node);
      } else if (const auto* order = std::get_if<Order>(&effect)) {
        SendOrder(node, *order);
      } else {
        const auto& move = std::get<MoveDecided>(effect);
        ++findings.moves;
        Log("decided " + move.unit + (move.kind == PlanAction::Kind::kLoad ? " onto " : " off ") +
            move.endpoint);
        ReachStep(Step::kDecided, move.kind == PlanAction::Kind::kLoad, node, move.endpoint);
      }
    }
  }

  Duration StoreLatency() const {
    return FaultActive(Fault::kPlatformSlow) ? Duration(1'200) : kNetworkDelay;
  }

  StoreRevision CurrentVersion() const { return {0, static_cast<std::uint64_t>(version)}; }

  void Write(Node& node, const WritePool& write) {
    ScheduleAfter(StoreLatency(), [this, &node, write] {
      const bool unreachable =
          FaultActive(Fault::kPlatformDown) || FaultActive(Fault::kPlatformErrors);
      if (unreachable || write.version != CurrentVersion()) {
        ScheduleAfter(kNetworkDelay, [this, &node] {
          OnNode(node, [this, &node] { node.keeper->WriteFailed(now); });
        });
        return;
      }
      const PoolRecord before = record;
      record = write.record;
      ++version;
      snapshots[now] = {record, version};
      const StoreRevision written = CurrentVersion();
      const bool lost = ConsumeFault(Fault::kPlatformLosesAnswer);
      ScheduleAfter(kNetworkDelay, [this, &node, written, lost] {
        OnNode(node, [this, &node, written, lost] {
          if (lost) {
            node.keeper->WriteFailed(now);
          } else {
            node.keeper->OnWriteSucceeded(written, now);
          }
        });
      });
      DetectCompletedSteps(node, before);
    });
  }

  // Signals the steps that this write completed.
  void DetectCompletedSteps(Node& node, const PoolRecord& before) {
    if (record.epoch != before.epoch) {
      Log("lease to " + record.incarnation + " epoch " + std::to_string(record.epoch));
      ReachStep(before.epoch == 0 || before.holder.empty() ? Step::kLeaseTaken : Step::kLeaseLapsed,
                true, node, "");
      ReachStep(Step::kLeaseTaken, true, node, "");
    } else if (record.holder.empty()) {
      ReachStep(Step::kLeaseHandedOver, true, node, "");
    } else {
      ReachStep(Step::kLeaseRenewed, true, node, "");
    }
    for (const auto& [key, reservation] : record.reservations) {
      const auto old = before.reservations.find(key);
      const bool same = old != before.reservations.end() && old->second.state == reservation.state;
      if (same) {
        continue;
      }
      if (reservation.state == UnitState::kLoading) {
        ReachStep(Step::kIntended, true, node, key.first);
      } else if (reservation.state == UnitState::kUnloading) {
        ReachStep(Step::kIntended, false, node, key.first);
      } else if (reservation.state == UnitState::kResident) {
        ReachStep(Step::kRecorded, true, node, key.first);
      }
    }
    for (const auto& [key, reservation] : before.reservations) {
      const auto current = record.reservations.find(key);
      const bool ended =
          current == record.reservations.end() || current->second.state == UnitState::kLingering;
      if (reservation.state == UnitState::kUnloading && ended) {
        ReachStep(Step::kRecorded, false, node, key.first);
      }
    }
  }

  void Read(Node& node) {
    ScheduleAfter(StoreLatency(), [this, &node] {
      const bool failed = FaultActive(Fault::kPlatformDown) || FaultActive(Fault::kPlatformErrors);
      const PoolRecord read = record;
      const auto read_version = version == 0 ? std::nullopt : std::optional(CurrentVersion());
      ScheduleAfter(kNetworkDelay, [this, &node, failed, read, read_version] {
        OnNode(node, [this, &node, failed, read, read_version] {
          if (failed) {
            node.keeper->ReadFailed();
          } else {
            node.keeper->ApplyRead(read, read_version, PoolReadKind::kRead, now);
          }
        });
      });
    });
  }

  // Sends the order shortly after the decision, so that a freeze can fall in between.
  void SendOrder(Node& node, const Order& order) {
    ScheduleAfter(Duration(1), [this, &node, order] {
      if (!node.alive) {
        return;
      }
      if (now >= order.valid_until) {
        DeliverOutcome(node, order, OrderOutcome::kNotSent);
        return;
      }
      ReachStep(Step::kSent, order.load, node, order.endpoint);
      if (!node.alive) {
        return;
      }
      // A process that freezes right after checking its lease sends the order when it resumes.
      const TimePoint leaves = std::max(now, node.frozen_until);
      ScheduleAt(leaves, [this, &node, order] { TransmitOrder(node, order); });
    });
  }

  void TransmitOrder(Node& node, const Order& order) {
    if (!node.alive) {
      return;
    }
    Log("sent " + order.unit + " seq " + std::to_string(order.sequence));
    if (ConsumeFault(Fault::kCutBefore)) {
      DeliverOutcome(node, order, OrderOutcome::kNotSent);
      return;
    }
    if (ConsumeFault(Fault::kOrderLost) || ConsumeFault(Fault::kCutDuring)) {
      DeliverOutcome(node, order, OrderOutcome::kUnknown);
      return;
    }
    if (ConsumeFault(Fault::kOrderLate)) {
      DeliverOutcome(node, order, OrderOutcome::kUnknown);
      ScheduleAfter(kLateOrderDelay, [this, order] { ReceiveOrder(nullptr, order, false); });
      return;
    }
    if (ConsumeFault(Fault::kOrderDoubled)) {
      // Two copies are sent; the connection of the first one breaks, so its outcome is unknown.
      ScheduleAfter(Duration(15'000), [this, order] { ReceiveOrder(nullptr, order, false); });
      ScheduleAfter(kNetworkDelay, [this, &node, order] { ReceiveOrder(&node, order, true); });
      return;
    }
    const bool lose_response = ConsumeFault(Fault::kCutAfter);
    ScheduleAfter(kNetworkDelay, [this, &node, order, lose_response] {
      ReceiveOrder(&node, order, lose_response);
    });
  }

  void DeliverOutcome(Node& node, const Order& order, OrderOutcome outcome) {
    ScheduleAfter(kNetworkDelay, [this, &node, order, outcome] {
      OnNode(node, [this, &node, order, outcome] {
        node.keeper->OrderEnded(order, outcome, now);
        if (outcome == OrderOutcome::kDone) {
          ReachStep(Step::kConfirmed, order.load, node, order.endpoint);
        }
      });
    });
  }

  // --- endpoints ---

  void ReceiveOrder(Node* node, const Order& order, bool lose_response) {
    Endpoint& endpoint = endpoints[order.endpoint];
    const auto reply = [this, node, order, lose_response](OrderOutcome outcome) {
      if (node != nullptr) {
        DeliverOutcome(*node, order, lose_response ? OrderOutcome::kUnknown : outcome);
      }
    };
    if (!endpoint.alive) {
      reply(OrderOutcome::kNotSent);
      return;
    }
    std::uint64_t& sequence = endpoint.sequences[order.unit];
    if (settings.checks_fences && (order.epoch < endpoint.epoch || order.sequence < sequence)) {
      reply(OrderOutcome::kFenced);
      return;
    }
    endpoint.epoch = std::max(endpoint.epoch, order.epoch);
    sequence = std::max(sequence, order.sequence);
    if (node != nullptr) {
      ReachStep(Step::kTakingEffect, order.load, *node, order.endpoint);
      if (!endpoint.alive) {
        reply(OrderOutcome::kUnknown);
        return;
      }
    }
    if (!order.load) {
      endpoint.units.erase(order.unit);
      reply(OrderOutcome::kDone);
      return;
    }
    if (endpoint.units.contains(order.unit)) {
      reply(endpoint.units[order.unit] ? OrderOutcome::kDone : OrderOutcome::kNotYet);
      return;
    }
    if (FaultActive(Fault::kWeightStoreBusy)) {
      reply(OrderOutcome::kNotYet);
      return;
    }
    if ((endpoint.units.size() + 1) * kUnitMemory > kEndpointMemory) {
      ++findings.overcommits;
      Log("OVERCOMMIT by " + order.unit + " on " + order.endpoint);
      reply(OrderOutcome::kNoMemory);
      return;
    }
    endpoint.units[order.unit] = false;
    const std::uint64_t start = endpoint.starts;
    ScheduleAfter(kLoadTime, [this, order, reply, start] {
      Endpoint& loading = endpoints[order.endpoint];
      const auto found = loading.units.find(order.unit);
      if (!loading.alive || loading.starts != start || found == loading.units.end()) {
        reply(OrderOutcome::kUnknown);
        return;
      }
      found->second = true;
      Log("resident " + order.unit + " on " + order.endpoint);
      reply(OrderOutcome::kDone);
    });
  }

  // --- checks ---

  bool Serves(const std::string& name) const {
    for (const auto& [endpoint_name, endpoint] : endpoints) {
      for (const auto& [unit, loaded] : endpoint.units) {
        if (endpoint.alive && !endpoint.leaving && loaded && BaseName(unit) == name) {
          return true;
        }
      }
    }
    return false;
  }

  void Check() {
    for (const std::string& name : kNames) {
      if (Serves(name)) {
        served_at[name] = now;
        continue;
      }
      const auto last = served_at.find(name);
      if (last == served_at.end()) {
        continue;
      }
      findings.longest_gap = std::max(findings.longest_gap, Between(last->second, now));
    }
    ScheduleAfter(kTickInterval, [this] { Check(); });
  }

  bool Converged() const {
    for (const auto& [name, number] : versions) {
      const std::string unit = name + "@" + std::to_string(number);
      bool served = false;
      for (const auto& [endpoint_name, endpoint] : endpoints) {
        const auto found = endpoint.units.find(unit);
        served = served || (endpoint.alive && !endpoint.leaving && found != endpoint.units.end() &&
                            found->second);
      }
      if (!served) {
        return false;
      }
    }
    return true;
  }

  void Log(const std::string& message) {
    findings.event_log += std::to_string(Between(TimePoint(), now).count()) + " " + message + "\n";
  }

  PoolWorldSettings settings;
  ResidencySettings residency;
  std::mt19937_64 random;
  TimePoint now{std::chrono::hours(1)};
  TimePoint begin_faults;
  TimePoint fault_until;
  bool fault_triggered = false;
  std::set<Fault> consumed_faults;
  Node* stopping = nullptr;
  std::multimap<TimePoint, std::function<void()>> events;
  std::map<std::string, Endpoint> endpoints;
  std::vector<std::unique_ptr<Node>> nodes;
  std::uint64_t incarnations = 0;
  std::map<std::string, int> versions;
  PoolRecord record;
  std::uint64_t version = 0;
  std::map<TimePoint, std::pair<PoolRecord, std::uint64_t>> snapshots;  // by creation time
  std::map<std::string, TimePoint> served_at;
  PoolWorldResult findings;
};

PoolWorld::PoolWorld(PoolWorldSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings))) {}

PoolWorld::~PoolWorld() = default;

PoolWorldResult PoolWorld::Run() {
  Impl& world = *impl_;
  const TimePoint start = world.now;
  world.begin_faults = start + Duration(30'000);
  world.Check();
  // One name changes its version repeatedly: units loaded around the fault are soon unloaded, and
  // their memory is reused while copies of their orders may still be in transit.
  for (int i = 0; i < kVersionCount; ++i) {
    world.ScheduleAt(start + Duration(30'000) + kVersionInterval * i,
                     [&world] { ++world.versions["a"]; });
  }
  world.ScheduleAt(start + Duration(130'000), [&] { world.versions["b"] = 2; });
  world.ScheduleAt(start + Duration(134'000), [&] { world.versions["c"] = 2; });
  if (world.settings.step == Step::kLeaseTaken || world.settings.step == Step::kLeaseLapsed) {
    // These steps occur only if the lease changes its holder.
    world.ScheduleAt(start + Duration(35'000), [&] { world.Kill(*world.nodes[0]); });
    world.ScheduleAt(start + Duration(35'000), [&] { world.Kill(*world.nodes[1]); });
  }
  if (world.settings.step == Step::kLeaseHandedOver) {
    world.ScheduleAt(start + Duration(35'000), [&] {
      for (const auto& node : world.nodes) {
        if (node->keeper->Holds(world.now)) {
          node->keeper->Stop();
        }
      }
    });
  }
  world.RunUntil(start + kRunDuration);
  world.findings.converged = world.Converged();
  world.findings.step_reached = world.fault_triggered;
  return world.findings;
}

}  // namespace rudderloom::fakes
