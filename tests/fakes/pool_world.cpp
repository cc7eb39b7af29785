#include "fakes/pool_world.hpp"

#include <random>  // for mt19937_64
#include <set>     // for set

namespace rudderloom::fakes {

namespace {

constexpr Duration kTick{100};
constexpr Duration kNetwork{5};
constexpr Duration kLoadTime{1'000};
constexpr Duration kRunLength{230'000};
constexpr Duration kFaultLength{20'000};
constexpr Duration kCopyAge{5'000};
constexpr Duration kFreezeLength{45'000};
constexpr Duration kLateBy{20'000};
constexpr Duration kReplacedAfter{5'000};
constexpr Duration kListLag{10'000};
constexpr std::uint64_t kEndpointMemory = 8;
constexpr std::uint64_t kUnitMemory = 4;

constexpr int kVersions = 20;
constexpr Duration kVersionEvery{4'000};

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
    // Reports as taken, oldest first, so that late ones can be given out.
    std::multimap<TimePoint, std::set<std::string>> reports;
  };

  struct Node {
    std::string name;
    std::string incarnation;
    std::unique_ptr<PoolKeeper> keeper;
    bool alive = true;
    TimePoint frozen_until;
    TimePoint died_at;
    std::uint64_t quiet_heard = 0;            // as the others heard it last
    std::vector<std::function<void()>> held;  // what arrived while it was frozen
  };

  explicit Impl(WorldSettings given) : settings(std::move(given)), random(settings.seed) {
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

  void At(TimePoint time, std::function<void()> what) { events.emplace(time, std::move(what)); }
  void After(Duration pause, std::function<void()> what) { At(now + pause, std::move(what)); }

  void RunUntil(TimePoint end) {
    while (!events.empty() && events.begin()->first <= end) {
      now = events.begin()->first;
      const auto what = std::move(events.begin()->second);
      events.erase(events.begin());
      what();
    }
    now = end;
  }

  // --- faults ---

  bool Is(Fault fault) const {
    return fired && now < fault_until &&
           std::find(settings.faults.begin(), settings.faults.end(), fault) !=
               settings.faults.end();
  }

  // True once per run, for faults that hit one message.
  bool Take(Fault fault) {
    if (!Is(fault) || taken.contains(fault)) {
      return false;
    }
    taken.insert(fault);
    return true;
  }

  void Reach(Step step, bool load, Node& node, const std::string& endpoint) {
    if (fired || now < begin_faults || step != settings.step) {
      return;
    }
    const bool about_orders = static_cast<int>(step) <= static_cast<int>(Step::kRecorded);
    if (about_orders && load != settings.on_load) {
      return;
    }
    fired = true;
    fault_until = now + kFaultLength;
    Tell("fault at " + NameOf(step));
    for (const Fault fault : settings.faults) {
      Strike(fault, node, endpoint);
    }
  }

  void Strike(Fault fault, Node& node, const std::string& endpoint) {
    const std::string place = endpoint.empty() ? "ep1" : endpoint;
    switch (fault) {
      case Fault::kNodeKilled:
        Kill(node);
        break;
      case Fault::kNodeFrozen:
        node.frozen_until = now + kFreezeLength;
        break;
      case Fault::kPlannedStop:
        node.keeper->Stop();
        stopping = &node;
        break;
      case Fault::kEndpointKilled:
        endpoints[place].alive = false;
        endpoints[place].units.clear();
        After(kListLag, [this, place] { endpoints[place].listed = false; });
        break;
      case Fault::kEndpointRestarted:
        endpoints[place].units.clear();
        endpoints[place].epoch = 0;
        endpoints[place].sequences.clear();
        ++endpoints[place].starts;
        break;
      case Fault::kEndpointLeaving:
        endpoints[place].leaving = true;
        break;
      case Fault::kPlatformRestored:
        RestorePlatform();
        break;
      default:
        break;  // heeded where it matters
    }
  }

  void RestorePlatform() {
    const auto newer = copies.upper_bound(now - kCopyAge);
    if (newer != copies.begin()) {
      std::tie(record, version) = std::prev(newer)->second;
    }
    copies.clear();
    copies[now] = {record, version};
  }

  void Kill(Node& node) {
    node.alive = false;
    node.died_at = now;
    const std::string name = node.name;
    After(kReplacedAfter, [this, name] { AddNode(name); });
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

  // Runs something on a node, later if it is frozen, never if it is dead.
  void OnNode(Node& node, std::function<void()> what) {
    if (!node.alive) {
      return;
    }
    if (now < node.frozen_until) {
      node.held.push_back(std::move(what));
      return;
    }
    what();
  }

  void TickNode(Node& node) {
    if (!node.alive) {
      return;
    }
    if (now >= node.frozen_until) {
      auto held = std::move(node.held);
      node.held.clear();
      for (const auto& what : held) {
        what();
      }
      // One tick before the node hears anything new: it may act on what it knew.
      Execute(node, node.keeper->Tick(ViewFor(node), now));
      node.quiet_heard = node.keeper->QuietEpoch();
    }
    After(kTick, [this, &node] { TickNode(node); });
  }

  void WatchNode(Node& node) {
    if (!node.alive) {
      return;
    }
    const Duration delay = Is(Fault::kWatchBehind) ? Duration(8'000) : kNetwork;
    if (!Is(Fault::kWatchSilent) && !Is(Fault::kPlatformDown) && version > 0) {
      const PoolRecord seen = record;
      const StoreRevision seen_version = Present();
      After(delay, [this, &node, seen, seen_version] {
        OnNode(node, [this, &node, seen, seen_version] {
          node.keeper->Seen(seen, seen_version, PoolSight::kWatched, now);
        });
      });
    }
    After(kTick, [this, &node] { WatchNode(node); });
  }

  // --- what a node sees ---

  PoolView ViewFor(const Node& self) {
    PoolView view;
    view.listed = true;
    const Duration lag = Is(Fault::kReportLate) ? Duration(2'500) : Duration(200);
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
      PoolEndpoint shown;
      shown.name = name;
      shown.address = name;
      shown.memory = kEndpointMemory;
      shown.checks_fences = settings.checks_fences;
      shown.usable = endpoint.alive && !endpoint.leaving;
      auto report = endpoint.reports.upper_bound(now - lag);
      if (report != endpoint.reports.begin()) {
        --report;
        shown.reported_at = now;  // a lagging report still counts as heard now
        shown.resident = report->second;
        endpoint.reports.erase(endpoint.reports.begin(), report);
      }
      view.endpoints.push_back(std::move(shown));
    }
    for (const auto& [name, number] : versions) {
      WantedUnit wanted;
      wanted.name = name;
      wanted.unit = name + "@" + std::to_string(number);
      wanted.memory = kUnitMemory;
      view.wanted.push_back(std::move(wanted));
    }
    view.quiet = [this, &self](const std::string& incarnation, std::uint64_t epoch) {
      for (const auto& node : nodes) {
        if (node->incarnation != incarnation) {
          continue;
        }
        if (!node->alive) {
          return now - node->died_at > kListLag && !Is(Fault::kNodeListStale);
        }
        return &self == node.get() || (now >= node->frozen_until && node->quiet_heard >= epoch);
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
        Send(node, *order);
      } else {
        const auto& move = std::get<MoveDecided>(effect);
        ++findings.moves;
        Tell("decided " + move.unit + (move.kind == PlanAction::Kind::kLoad ? " onto " : " off ") +
             move.endpoint);
        Reach(Step::kDecided, move.kind == PlanAction::Kind::kLoad, node, move.endpoint);
      }
    }
  }

  Duration StoreTime() const { return Is(Fault::kPlatformSlow) ? Duration(1'200) : kNetwork; }

  StoreRevision Present() const { return {0, static_cast<std::uint64_t>(version)}; }

  void Write(Node& node, const WritePool& write) {
    After(StoreTime(), [this, &node, write] {
      const bool unreachable = Is(Fault::kPlatformDown) || Is(Fault::kPlatformErrors);
      if (unreachable || write.version != Present()) {
        After(kNetwork,
              [this, &node] { OnNode(node, [this, &node] { node.keeper->WriteFailed(now); }); });
        return;
      }
      const PoolRecord before = record;
      record = write.record;
      ++version;
      copies[now] = {record, version};
      const StoreRevision written = Present();
      const bool lost = Take(Fault::kPlatformLosesAnswer);
      After(kNetwork, [this, &node, written, lost] {
        OnNode(node, [this, &node, written, lost] {
          if (lost) {
            node.keeper->WriteFailed(now);
          } else {
            node.keeper->Written(written, now);
          }
        });
      });
      Noticed(node, before);
    });
  }

  // Tells which steps this write completed.
  void Noticed(Node& node, const PoolRecord& before) {
    if (record.epoch != before.epoch) {
      Tell("lease to " + record.incarnation + " epoch " + std::to_string(record.epoch));
      Reach(before.epoch == 0 || before.holder.empty() ? Step::kLeaseTaken : Step::kLeaseLapsed,
            true, node, "");
      Reach(Step::kLeaseTaken, true, node, "");
    } else if (record.holder.empty()) {
      Reach(Step::kLeaseHandedOver, true, node, "");
    } else {
      Reach(Step::kLeaseRenewed, true, node, "");
    }
    for (const auto& [key, reservation] : record.reservations) {
      const auto old = before.reservations.find(key);
      const bool same = old != before.reservations.end() && old->second.state == reservation.state;
      if (same) {
        continue;
      }
      if (reservation.state == UnitState::kLoading) {
        Reach(Step::kIntended, true, node, key.first);
      } else if (reservation.state == UnitState::kUnloading) {
        Reach(Step::kIntended, false, node, key.first);
      } else if (reservation.state == UnitState::kResident) {
        Reach(Step::kRecorded, true, node, key.first);
      }
    }
    for (const auto& [key, reservation] : before.reservations) {
      const auto now_there = record.reservations.find(key);
      const bool ended = now_there == record.reservations.end() ||
                         now_there->second.state == UnitState::kLingering;
      if (reservation.state == UnitState::kUnloading && ended) {
        Reach(Step::kRecorded, false, node, key.first);
      }
    }
  }

  void Read(Node& node) {
    After(StoreTime(), [this, &node] {
      const bool failed = Is(Fault::kPlatformDown) || Is(Fault::kPlatformErrors);
      const PoolRecord read = record;
      const auto read_version = version == 0 ? std::nullopt : std::optional(Present());
      After(kNetwork, [this, &node, failed, read, read_version] {
        OnNode(node, [this, &node, failed, read, read_version] {
          if (failed) {
            node.keeper->ReadFailed();
          } else {
            node.keeper->Seen(read, read_version, PoolSight::kRead, now);
          }
        });
      });
    });
  }

  // The order leaves a little after it was decided: a freeze may lie between.
  void Send(Node& node, const Order& order) {
    After(Duration(1), [this, &node, order] {
      if (!node.alive) {
        return;
      }
      if (now >= order.valid_until) {
        Answer(node, order, OrderOutcome::kNotSent);
        return;
      }
      Reach(Step::kSent, order.load, node, order.endpoint);
      if (!node.alive) {
        return;
      }
      // A process frozen just after it looked at its lease sends when it thaws.
      const TimePoint leaves = std::max(now, node.frozen_until);
      At(leaves, [this, &node, order] { Leave(node, order); });
    });
  }

  void Leave(Node& node, const Order& order) {
    if (!node.alive) {
      return;
    }
    Tell("sent " + order.unit + " seq " + std::to_string(order.sequence));
    if (Take(Fault::kCutBefore)) {
      Answer(node, order, OrderOutcome::kNotSent);
      return;
    }
    if (Take(Fault::kOrderLost) || Take(Fault::kCutDuring)) {
      Answer(node, order, OrderOutcome::kUnknown);
      return;
    }
    if (Take(Fault::kOrderLate)) {
      Answer(node, order, OrderOutcome::kUnknown);
      After(kLateBy, [this, order] { Arrive(nullptr, order, false); });
      return;
    }
    if (Take(Fault::kOrderDoubled)) {
      // Two copies left; the first one's connection broke, so the answer is not known.
      After(Duration(15'000), [this, order] { Arrive(nullptr, order, false); });
      After(kNetwork, [this, &node, order] { Arrive(&node, order, true); });
      return;
    }
    const bool lose_answer = Take(Fault::kCutAfter);
    After(kNetwork, [this, &node, order, lose_answer] { Arrive(&node, order, lose_answer); });
  }

  void Answer(Node& node, const Order& order, OrderOutcome outcome) {
    After(kNetwork, [this, &node, order, outcome] {
      OnNode(node, [this, &node, order, outcome] {
        node.keeper->OrderEnded(order, outcome, now);
        if (outcome == OrderOutcome::kDone) {
          Reach(Step::kConfirmed, order.load, node, order.endpoint);
        }
      });
    });
  }

  // --- endpoints ---

  void Arrive(Node* node, const Order& order, bool lose_answer) {
    Endpoint& endpoint = endpoints[order.endpoint];
    const auto answer = [this, node, order, lose_answer](OrderOutcome outcome) {
      if (node != nullptr) {
        Answer(*node, order, lose_answer ? OrderOutcome::kUnknown : outcome);
      }
    };
    if (!endpoint.alive) {
      answer(OrderOutcome::kNotSent);
      return;
    }
    std::uint64_t& sequence = endpoint.sequences[order.unit];
    if (settings.checks_fences && (order.epoch < endpoint.epoch || order.sequence < sequence)) {
      answer(OrderOutcome::kFenced);
      return;
    }
    endpoint.epoch = std::max(endpoint.epoch, order.epoch);
    sequence = std::max(sequence, order.sequence);
    if (node != nullptr) {
      Reach(Step::kTakingEffect, order.load, *node, order.endpoint);
      if (!endpoint.alive) {
        answer(OrderOutcome::kUnknown);
        return;
      }
    }
    if (!order.load) {
      endpoint.units.erase(order.unit);
      answer(OrderOutcome::kDone);
      return;
    }
    if (endpoint.units.contains(order.unit)) {
      answer(endpoint.units[order.unit] ? OrderOutcome::kDone : OrderOutcome::kNotYet);
      return;
    }
    if (Is(Fault::kWeightStoreBusy)) {
      answer(OrderOutcome::kNotYet);
      return;
    }
    if ((endpoint.units.size() + 1) * kUnitMemory > kEndpointMemory) {
      ++findings.overcommits;
      Tell("OVERCOMMIT by " + order.unit + " on " + order.endpoint);
      answer(OrderOutcome::kNoMemory);
      return;
    }
    endpoint.units[order.unit] = false;
    const std::uint64_t start = endpoint.starts;
    After(kLoadTime, [this, order, answer, start] {
      Endpoint& loading = endpoints[order.endpoint];
      const auto found = loading.units.find(order.unit);
      if (!loading.alive || loading.starts != start || found == loading.units.end()) {
        answer(OrderOutcome::kUnknown);
        return;
      }
      found->second = true;
      Tell("resident " + order.unit + " on " + order.endpoint);
      answer(OrderOutcome::kDone);
    });
  }

  // --- checks ---

  bool Serves(const std::string& name) const {
    for (const auto& [place, endpoint] : endpoints) {
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
    After(kTick, [this] { Check(); });
  }

  bool Converged() const {
    for (const auto& [name, number] : versions) {
      const std::string unit = name + "@" + std::to_string(number);
      bool there = false;
      for (const auto& [place, endpoint] : endpoints) {
        const auto found = endpoint.units.find(unit);
        there = there || (endpoint.alive && !endpoint.leaving && found != endpoint.units.end() &&
                          found->second);
      }
      if (!there) {
        return false;
      }
    }
    return true;
  }

  void Tell(const std::string& what) {
    findings.story += std::to_string(Between(TimePoint(), now).count()) + " " + what + "\n";
  }

  WorldSettings settings;
  ResidencySettings residency;
  std::mt19937_64 random;
  TimePoint now{std::chrono::hours(1)};
  TimePoint begin_faults;
  TimePoint fault_until;
  bool fired = false;
  std::set<Fault> taken;
  Node* stopping = nullptr;
  std::multimap<TimePoint, std::function<void()>> events;
  std::map<std::string, Endpoint> endpoints;
  std::vector<std::unique_ptr<Node>> nodes;
  std::uint64_t incarnations = 0;
  std::map<std::string, int> versions;
  PoolRecord record;
  std::uint64_t version = 0;
  std::map<TimePoint, std::pair<PoolRecord, std::uint64_t>> copies;  // by when they were made
  std::map<std::string, TimePoint> served_at;
  Findings findings;
};

PoolWorld::PoolWorld(WorldSettings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}

PoolWorld::~PoolWorld() = default;

Findings PoolWorld::Run() {
  Impl& world = *impl_;
  const TimePoint start = world.now;
  world.begin_faults = start + Duration(30'000);
  world.Check();
  // One name changes its version again and again: units loaded around the fault are soon unloaded,
  // and their room goes to others while copies of their orders may still be under way.
  for (int i = 0; i < kVersions; ++i) {
    world.At(start + Duration(30'000) + kVersionEvery * i, [&world] { ++world.versions["a"]; });
  }
  world.At(start + Duration(130'000), [&] { world.versions["b"] = 2; });
  world.At(start + Duration(134'000), [&] { world.versions["c"] = 2; });
  if (world.settings.step == Step::kLeaseTaken || world.settings.step == Step::kLeaseLapsed) {
    // The lease must change hands for these steps to come.
    world.At(start + Duration(35'000), [&] { world.Kill(*world.nodes[0]); });
    world.At(start + Duration(35'000), [&] { world.Kill(*world.nodes[1]); });
  }
  if (world.settings.step == Step::kLeaseHandedOver) {
    world.At(start + Duration(35'000), [&] {
      for (const auto& node : world.nodes) {
        if (node->keeper->Holds(world.now)) {
          node->keeper->Stop();
        }
      }
    });
  }
  world.RunUntil(start + kRunLength);
  world.findings.converged = world.Converged();
  world.findings.step_reached = world.fired;
  return world.findings;
}

}  // namespace rudderloom::fakes
