#include "bench/simulation.hpp"

#include <algorithm>  // for min_element
#include <memory>     // for unique_ptr
#include <queue>      // for priority_queue

#include "rudderloom/admission/admission_queue.hpp"  // for AdmissionQueue
#include "rudderloom/residency/planner.hpp"          // for Plan
#include "rudderloom/routing/router.hpp"             // for Router

namespace rudderloom::bench {

namespace {

constexpr std::int64_t kPlanInterval = 500;
constexpr std::int64_t kSnapshotInterval = 500;
constexpr std::int64_t kDispatchInterval = 10;
constexpr std::int64_t kMaxConcurrentLoads = 8;
constexpr std::int64_t kLoadInterval = 500;  // two loads per second
constexpr std::int64_t kEventLeadTime = 60'000;
// Moves before this time only bring a policy from the common start to its steady state.
constexpr std::int64_t kWarmUp = 60'000;
constexpr std::int64_t kPrefixCacheSaving = 150;  // ms saved by a cached prefix
constexpr std::size_t kCachedPrefixes = 24;
constexpr std::int64_t kPriorities[] = {0, 5, 8};
constexpr double kDemandSmoothing = 0.22;

struct Copy {
  UnitState state = UnitState::kLoading;
  std::int64_t used_at = 0;
  std::uint64_t sequence = 0;
};

struct FakeEndpoint {
  std::map<int, Copy> copies;
  int running = 0;
  bool alive = true;
  std::vector<std::uint64_t> cache;  // prefixes, most recent last
};

struct Event {
  std::int64_t at;
  std::uint64_t order;
  enum class Kind {
    kArrive,
    kFinish,
    kLoaded,
    kPlan,
    kPublishSnapshots,
    kDispatch,
    kLoseEndpoint
  } kind;
  std::size_t request = 0;
  int endpoint = 0;
  int model = 0;
  bool operator>(const Event& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

TimePoint At(std::int64_t ms) {
  return TimePoint(Duration(ms));
}

// A node with the production router and admission queue and its snapshot of the endpoints.
struct Node {
  Node(std::size_t queue, std::uint64_t seed) : queue(queue), router(seed) {}
  AdmissionQueue queue;
  Router router;
  Snapshot snapshot;
  std::map<Ticket, std::size_t> waiting;  // index of the request
  std::vector<std::uint32_t> in_flight;
};

class Simulation {
 public:
  Simulation(const Workload& workload, Policy policy, std::uint64_t seed)
      : workload_(workload), policy_(policy) {
    endpoints_.resize(static_cast<std::size_t>(workload.endpoints));
    demand_.resize(workload.models.size(), 0.0);
    for (int i = 0; i < workload.nodes; ++i) {
      nodes_.push_back(std::make_unique<Node>(2'000, seed + static_cast<std::uint64_t>(i)));
      nodes_.back()->in_flight.resize(endpoints_.size(), 0);
    }
    node_of_.resize(workload.requests.size());
    for (std::size_t i = 0; i < workload.requests.size(); ++i) {
      node_of_[i] = i * 7919 % nodes_.size();
    }
  }

  Result Run() {
    PlaceInitialCopies();
    for (std::size_t i = 0; i < workload_.requests.size(); ++i) {
      Schedule(workload_.requests[i].arrival, Event::Kind::kArrive, i);
    }
    for (const int lost : workload_.lost_endpoints) {
      Schedule(workload_.event_start, Event::Kind::kLoseEndpoint, 0, lost);
    }
    Schedule(0, Event::Kind::kPublishSnapshots);
    Schedule(0, Event::Kind::kDispatch);
    if (policy_ == Policy::kRudderloom) {
      Schedule(0, Event::Kind::kPlan);
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
    return std::move(result_);
  }

 private:
  void Schedule(std::int64_t at,
                Event::Kind kind,
                std::size_t request = 0,
                int endpoint = 0,
                int model = 0) {
    events_.push({at, ++order_, kind, request, endpoint, model});
  }

  FakeEndpoint& Endpoint(int index) { return endpoints_[static_cast<std::size_t>(index)]; }
  const ModelSpec& Model(int index) const {
    return workload_.models[static_cast<std::size_t>(index)];
  }

  bool Serves(int endpoint, int model) {
    if (policy_ == Policy::kRelaxedBound) {
      return Endpoint(endpoint).alive;
    }
    const auto found = Endpoint(endpoint).copies.find(model);
    return Endpoint(endpoint).alive && found != Endpoint(endpoint).copies.end() &&
           found->second.state == UnitState::kResident;
  }

  std::uint64_t UsedMemory(int endpoint) {
    std::uint64_t taken = 0;
    for (const auto& [model, copy] : Endpoint(endpoint).copies) {
      taken += Model(model).memory;
    }
    return taken;
  }

  // Places one copy of each model before the run; for the static policy, as many copies by declared
  // share as memory holds.
  void PlaceInitialCopies() {
    std::vector<std::int64_t> copies(workload_.models.size(), 1);
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < workload_.models.size(); ++i) {
      order.push_back(i);
      if (policy_ == Policy::kStatic) {
        copies[i] = std::max<std::int64_t>(
            workload_.models[i].declared_copies,
            static_cast<std::int64_t>(workload_.models[i].base_rate * 0.9 / workload_.slots * 1.5) +
                1);
      }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return workload_.models[a].memory > workload_.models[b].memory;
    });
    for (std::int64_t round = 0; round < 32; ++round) {
      for (const std::size_t model : order) {
        if (round < copies[model]) {
          PlaceCopy(static_cast<int>(model));
        }
      }
    }
  }

  void PlaceCopy(int model) {
    int best = -1;
    for (int i = 0; i < workload_.endpoints; ++i) {
      const bool fits = !Endpoint(i).copies.contains(model) &&
                        UsedMemory(i) + Model(model).memory <= workload_.memory;
      if (fits && (best < 0 || UsedMemory(i) < UsedMemory(best))) {
        best = i;
      }
    }
    if (best >= 0) {
      Endpoint(best).copies[model] = {UnitState::kResident, 0, ++sequence_};
    }
  }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Event::Kind::kArrive:
        HandleArrival(event.request);
        break;
      case Event::Kind::kFinish:
        FinishRequest(event.request, event.endpoint);
        break;
      case Event::Kind::kLoaded:
        FinishLoad(event.endpoint, event.model);
        break;
      case Event::Kind::kPlan:
        ApplyPlan();
        ScheduleNext(kPlanInterval, Event::Kind::kPlan);
        break;
      case Event::Kind::kPublishSnapshots:
        PublishSnapshots();
        ScheduleNext(kSnapshotInterval, Event::Kind::kPublishSnapshots);
        break;
      case Event::Kind::kDispatch:
        DispatchAll();
        ScheduleNext(kDispatchInterval, Event::Kind::kDispatch);
        break;
      case Event::Kind::kLoseEndpoint:
        LoseEndpoint(event.endpoint);
        break;
    }
  }

  void ScheduleNext(std::int64_t after, Event::Kind kind) {
    if (now_ < workload_.duration + 120'000) {
      Schedule(now_ + after, kind);
    }
  }

  void CountRefusal(const std::string& reason) { ++result_.refused[reason]; }

  void HandleArrival(std::size_t index) {
    const Request& request = workload_.requests[index];
    ++result_.sent[request.priority_class];
    ++active_[request.model];
    if (policy_ == Policy::kRudderloom) {
      EnterNode(index);
      return;
    }
    if (policy_ == Policy::kOnDemand) {
      LoadOnDemand(request.model);
    }
    if (!StartOnFreeEndpoint(index)) {
      baseline_queues_[request.priority_class].push_back(index);
    }
  }

  // --- rudderloom policy ---

  void EnterNode(std::size_t index) {
    Node& node = *nodes_[node_of_[index]];
    const Request& request = workload_.requests[index];
    if (node.queue.Waiting(Model(request.model).name) == 0 && TryRoute(node, index)) {
      return;
    }
    QueuedRequest applicant;
    applicant.ticket = index + 1;
    applicant.target = Model(request.model).name;
    applicant.caller = "caller-" + std::to_string(request.prefix % 5);
    applicant.priority = kPriorities[request.priority_class];
    applicant.deadline = At(request.deadline - request.duration);
    const auto set = node.snapshot.models.find(applicant.target);
    const std::uint32_t room = set == node.snapshot.models.end()
                                   ? 0
                                   : node.router.AvailableShare(node.snapshot, set->second);
    if (const auto refused = node.queue.Enqueue(applicant, room, At(now_))) {
      --active_[request.model];
      CountRefusal(refused->reason == AdmissionRefusal::Reason::kQueueFull
                       ? "queue_full"
                       : "deadline_unreachable");
      return;
    }
    node.waiting[applicant.ticket] = index;
  }

  bool TryRoute(Node& node, std::size_t index) {
    const Request& request = workload_.requests[index];
    const auto set = node.snapshot.models.find(Model(request.model).name);
    if (set == node.snapshot.models.end()) {
      return false;
    }
    RouteQuery ask;
    ask.prefix = request.prefix * 1000 + static_cast<std::uint64_t>(request.model);
    ask.is_background = request.priority_class == 2;
    for (int tries = 0; tries < 3; ++tries) {
      const auto chosen = node.router.Choose(node.snapshot, set->second, ask, At(now_));
      if (!chosen) {
        return false;
      }
      const auto endpoint = static_cast<int>(node.snapshot.endpoints[*chosen].id);
      // The snapshot may be stale: an endpoint that has lost the model rejects the request at once.
      if (!Serves(endpoint, request.model)) {
        ask.excluded.push_back(static_cast<std::uint32_t>(endpoint));
        continue;
      }
      node.router.RequestStarted(static_cast<std::uint32_t>(endpoint));
      ++node.in_flight[static_cast<std::size_t>(endpoint)];
      StartRequest(index, endpoint);
      return true;
    }
    return false;
  }

  void DispatchNode(Node& node) {
    for (const QueuedRequest& late : node.queue.Expire(At(now_))) {
      --active_[workload_.requests[node.waiting.at(late.ticket)].model];
      node.waiting.erase(late.ticket);
      CountRefusal("deadline_passed");
    }
    std::map<std::pair<std::string, std::int64_t>, bool> full;
    while (const auto next = node.queue.Next([&](const QueuedRequest& applicant) {
      bool& is_full = full[{applicant.target, applicant.priority}];
      if (is_full) {
        return false;
      }
      is_full = !TryRoute(node, node.waiting.at(applicant.ticket));
      return !is_full;
    })) {
      node.waiting.erase(next->ticket);
    }
  }

  void PublishSnapshots() {
    for (auto& [model, count] : active_) {
      double& demand = demand_[static_cast<std::size_t>(model)];
      demand += kDemandSmoothing * (static_cast<double>(count) - demand);
    }
    for (auto& node : nodes_) {
      node->snapshot = {};
      node->snapshot.live_nodes = static_cast<std::uint32_t>(nodes_.size());
      std::map<std::string, std::vector<std::string>> names;
      for (int i = 0; i < workload_.endpoints; ++i) {
        if (!Endpoint(i).alive) {
          continue;
        }
        EndpointView view;
        view.id = static_cast<std::uint32_t>(i);
        view.name = "endpoint-" + std::to_string(i);
        view.slots = static_cast<std::uint32_t>(workload_.slots);
        for (const auto& other : nodes_) {
          view.others_in_flight +=
              other == node ? 0 : other->in_flight[static_cast<std::size_t>(i)];
        }
        const auto position = static_cast<std::uint32_t>(node->snapshot.endpoints.size());
        for (const auto& [model, copy] : Endpoint(i).copies) {
          if (copy.state == UnitState::kResident) {
            node->snapshot.models[Model(model).name].endpoints.push_back(position);
            names[Model(model).name].push_back(view.name);
          }
        }
        node->snapshot.endpoints.push_back(std::move(view));
      }
      for (auto& [name, set] : node->snapshot.models) {
        auto& known = affinity_[names[name]];
        if (known.empty()) {
          known = BuildAffinity(names[name]);
        }
        set.affinity = known;
      }
    }
  }

  void ApplyPlan() {
    PlanInput input;
    const bool event = now_ >= workload_.event_start - kEventLeadTime && now_ < workload_.event_end;
    for (std::size_t i = 0; i < workload_.models.size(); ++i) {
      PlanUnit unit;
      unit.name = workload_.models[i].name;
      unit.memory = workload_.models[i].memory;
      unit.copies = event ? std::max<std::int64_t>(1, workload_.models[i].declared_copies) : 1;
      unit.demand = demand_[i];
      input.units.push_back(unit);
    }
    std::int64_t loading = 0;
    for (int i = 0; i < workload_.endpoints; ++i) {
      PlanEndpoint endpoint;
      endpoint.memory = workload_.memory;
      endpoint.usable = Endpoint(i).alive;
      endpoint.zone = i % workload_.zones;
      endpoint.slots = workload_.slots;
      endpoint.load = static_cast<double>(Endpoint(i).running) / workload_.slots;
      endpoint.taken = UsedMemory(i);
      for (const auto& [model, copy] : Endpoint(i).copies) {
        endpoint.entries.push_back({model, copy.state, copy.sequence});
        loading += copy.state == UnitState::kLoading ? 1 : 0;
      }
      input.endpoints.push_back(std::move(endpoint));
    }
    input.loads = std::max<std::int64_t>(0, kMaxConcurrentLoads - loading);
    for (const PlanAction& action : Plan(std::move(input))) {
      if (action.kind == PlanAction::Kind::kLoad) {
        BeginLoad(action.endpoint, action.unit);
      } else {
        Endpoint(action.endpoint).copies.erase(action.unit);
        CountMove();
      }
    }
  }

  // --- all policies ---

  void BeginLoad(int endpoint, int model) {
    Endpoint(endpoint).copies[model] = {UnitState::kLoading, now_, ++sequence_};
    CountMove();
    next_load_ = std::max(next_load_ + kLoadInterval, now_);
    const std::int64_t duration = 1'000 + static_cast<std::int64_t>(Model(model).memory) * 180;
    result_.load_ms += duration;
    Schedule(next_load_ + duration, Event::Kind::kLoaded, 0, endpoint, model);
  }

  void CountMove() { result_.moves += now_ >= kWarmUp ? 1 : 0; }

  void FinishLoad(int endpoint, int model) {
    const auto found = Endpoint(endpoint).copies.find(model);
    if (Endpoint(endpoint).alive && found != Endpoint(endpoint).copies.end()) {
      found->second.state = UnitState::kResident;
      found->second.used_at = now_;
    }
    DispatchAll();
  }

  void LoseEndpoint(int endpoint) {
    Endpoint(endpoint).alive = false;
    Endpoint(endpoint).copies.clear();
  }

  void StartRequest(std::size_t index, int endpoint) {
    const Request& request = workload_.requests[index];
    FakeEndpoint& fake = Endpoint(endpoint);
    const std::uint64_t prefix = request.prefix * 1000 + static_cast<std::uint64_t>(request.model);
    const auto cached = std::find(fake.cache.begin(), fake.cache.end(), prefix);
    const std::int64_t saved = cached == fake.cache.end() ? 0 : kPrefixCacheSaving;
    if (cached != fake.cache.end()) {
      fake.cache.erase(cached);
    } else if (fake.cache.size() >= kCachedPrefixes) {
      fake.cache.erase(fake.cache.begin());
    }
    fake.cache.push_back(prefix);
    ++fake.running;
    // Running more requests than slots slows down all requests of the engine.
    const std::int64_t slowdown =
        std::max(1, (fake.running + workload_.slots - 1) / workload_.slots);
    fake.copies[request.model].used_at = now_;
    if (policy_ == Policy::kRelaxedBound) {
      fake.copies.clear();
    }
    result_.wait_ms.push_back(now_ - request.arrival);
    Schedule(now_ + std::max<std::int64_t>(20, request.duration - saved) * slowdown,
             Event::Kind::kFinish, index, endpoint);
  }

  void FinishRequest(std::size_t index, int endpoint) {
    const Request& request = workload_.requests[index];
    --Endpoint(endpoint).running;
    --active_[request.model];
    const bool interrupted =
        !Endpoint(endpoint).alive && now_ - workload_.event_start < request.duration;
    if (policy_ == Policy::kRudderloom) {
      Node& node = *nodes_[node_of_[index]];
      node.router.RequestEnded(static_cast<std::uint32_t>(endpoint), RouteResult::kServed,
                               Duration(100), At(now_));
      --node.in_flight[static_cast<std::size_t>(endpoint)];
      node.queue.RecordServiceTime(Model(request.model).name, Duration(request.duration));
    }
    if (now_ <= request.deadline && !interrupted) {
      ++result_.attained[request.priority_class];
    } else {
      CountRefusal(interrupted ? "cut" : "late");
    }
    if (policy_ == Policy::kRudderloom) {
      DispatchNode(*nodes_[node_of_[index]]);
    } else {
      DispatchBaseline();
    }
  }

  void DispatchAll() {
    if (policy_ != Policy::kRudderloom) {
      DispatchBaseline();
      return;
    }
    for (auto& node : nodes_) {
      if (node->queue.Size() > 0) {
        DispatchNode(*node);
      }
    }
  }

  // --- baseline policies: one queue per priority class, perfect knowledge of running requests ---

  void DispatchBaseline() {
    for (auto& baseline_queue : baseline_queues_) {
      std::map<int, bool> full;
      for (auto waiting = baseline_queue.begin(); waiting != baseline_queue.end();) {
        const Request& request = workload_.requests[*waiting];
        if (now_ + request.duration > request.deadline) {
          --active_[request.model];
          CountRefusal("deadline_passed");
          waiting = baseline_queue.erase(waiting);
        } else if (!full[request.model] && StartOnFreeEndpoint(*waiting)) {
          waiting = baseline_queue.erase(waiting);
        } else {
          full[request.model] = true;
          ++waiting;
        }
      }
    }
  }

  bool StartOnFreeEndpoint(std::size_t index) {
    const int model = workload_.requests[index].model;
    int best = -1;
    for (int step = 0; step < workload_.endpoints; ++step) {
      const int i = (step + next_endpoint_) % workload_.endpoints;
      if (!Serves(i, model) || Endpoint(i).running >= workload_.slots) {
        continue;
      }
      if (policy_ == Policy::kOnDemand) {
        best = i;
        next_endpoint_ = i + 1;
        break;
      }
      if (best < 0 || Endpoint(i).running < Endpoint(best).running) {
        best = i;
      }
    }
    if (best < 0) {
      return false;
    }
    StartRequest(index, best);
    return true;
  }

  // Loads a model that no endpoint with a free slot serves and evicts the least recently used ones.
  void LoadOnDemand(int model) {
    for (int i = 0; i < workload_.endpoints; ++i) {
      const auto found = Endpoint(i).copies.find(model);
      const bool available =
          found != Endpoint(i).copies.end() && Endpoint(i).alive &&
          (found->second.state == UnitState::kLoading || Endpoint(i).running < workload_.slots);
      if (available) {
        return;
      }
    }
    for (int step = 0; step < workload_.endpoints; ++step) {
      const int i = (step + next_endpoint_) % workload_.endpoints;
      FakeEndpoint& fake = Endpoint(i);
      if (!fake.alive || fake.running >= workload_.slots || fake.copies.contains(model)) {
        continue;
      }
      while (UsedMemory(i) + Model(model).memory > workload_.memory) {
        const auto oldest = std::min_element(
            fake.copies.begin(), fake.copies.end(),
            [](const auto& a, const auto& b) { return a.second.used_at < b.second.used_at; });
        fake.copies.erase(oldest);
        CountMove();
      }
      BeginLoad(i, model);
      next_endpoint_ = i + 1;
      return;
    }
  }

  const Workload& workload_;
  Policy policy_;
  std::vector<FakeEndpoint> endpoints_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::size_t> node_of_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::size_t> baseline_queues_[3];
  std::map<int, std::int64_t> active_;  // requests that run or wait, by model
  std::vector<double> demand_;
  std::map<std::vector<std::string>, std::vector<std::uint32_t>> affinity_;
  std::int64_t now_ = 0;
  std::int64_t next_load_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t sequence_ = 0;
  int next_endpoint_ = 0;
  Result result_;
};

}  // namespace

std::string NameOf(Policy policy) {
  switch (policy) {
    case Policy::kRudderloom:
      return "ours";
    case Policy::kStatic:
      return "static";
    case Policy::kOnDemand:
      return "on demand";
    case Policy::kRelaxedBound:
      return "relaxed bound";
  }
  return "";
}

Result Simulate(const Workload& workload, Policy policy, std::uint64_t seed) {
  return Simulation(workload, policy, seed).Run();
}

}  // namespace rudderloom::bench
