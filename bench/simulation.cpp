#include "bench/simulation.hpp"

#include <algorithm>  // for min_element
#include <memory>     // for unique_ptr
#include <queue>      // for priority_queue

#include "rudderloom/admission/admission_queue.hpp"  // for AdmissionQueue
#include "rudderloom/residency/planner.hpp"          // for Plan
#include "rudderloom/routing/router.hpp"             // for Router

namespace rudderloom::bench {

namespace {

constexpr std::int64_t kPlanEvery = 500;
constexpr std::int64_t kReportEvery = 500;
constexpr std::int64_t kPumpEvery = 10;
constexpr std::int64_t kLoadsAtOnce = 8;
constexpr std::int64_t kBetweenLoads = 500;  // two a second
constexpr std::int64_t kLead = 60'000;
// Moves before this moment only bring a policy from the common start to its own steady state.
constexpr std::int64_t kWarmUp = 60'000;
constexpr std::int64_t kCacheSaves = 150;  // ms that a cached prefix saves
constexpr std::size_t kCachedPrefixes = 24;
constexpr std::int64_t kPriorities[] = {0, 5, 8};
constexpr double kSmoothing = 0.22;

struct Copy {
  UnitState state = UnitState::kLoading;
  std::int64_t used_at = 0;
  std::uint64_t sequence = 0;
};

struct FakeEndpoint {
  std::map<int, Copy> copies;
  int running = 0;
  bool alive = true;
  std::vector<std::uint64_t> cache;  // prefixes, the newest last
};

struct Event {
  std::int64_t at;
  std::uint64_t order;
  enum class Kind { kArrive, kFinish, kLoaded, kPlan, kReport, kPump, kLose } kind;
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

// One entry node: the real router and queue, and what it knows.
struct Node {
  Node(std::size_t queue, std::uint64_t seed) : queue(queue), router(seed) {}
  AdmissionQueue queue;
  Router router;
  Snapshot snapshot;
  std::map<Ticket, std::size_t> waiting;  // to the request
  std::vector<std::uint32_t> in_flight;
};

class Simulation {
 public:
  Simulation(const Workload& load, Policy policy, std::uint64_t seed)
      : load_(load), policy_(policy) {
    endpoints_.resize(static_cast<std::size_t>(load.endpoints));
    demand_.resize(load.models.size(), 0.0);
    for (int i = 0; i < load.nodes; ++i) {
      nodes_.push_back(std::make_unique<Node>(2'000, seed + static_cast<std::uint64_t>(i)));
      nodes_.back()->in_flight.resize(endpoints_.size(), 0);
    }
    node_of_.resize(load.requests.size());
    for (std::size_t i = 0; i < load.requests.size(); ++i) {
      node_of_[i] = i * 7919 % nodes_.size();
    }
  }

  Result Run() {
    Place();
    for (std::size_t i = 0; i < load_.requests.size(); ++i) {
      Push(load_.requests[i].at, Event::Kind::kArrive, i);
    }
    for (const int lost : load_.lost) {
      Push(load_.event_start, Event::Kind::kLose, 0, lost);
    }
    Push(0, Event::Kind::kReport);
    Push(0, Event::Kind::kPump);
    if (policy_ == Policy::kOurs) {
      Push(0, Event::Kind::kPlan);
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
  void Push(std::int64_t at,
            Event::Kind kind,
            std::size_t request = 0,
            int endpoint = 0,
            int model = 0) {
    events_.push({at, ++order_, kind, request, endpoint, model});
  }

  FakeEndpoint& Endpoint(int index) { return endpoints_[static_cast<std::size_t>(index)]; }
  const ModelSpec& Model(int index) const { return load_.models[static_cast<std::size_t>(index)]; }

  bool Serves(int endpoint, int model) {
    if (policy_ == Policy::kRelaxed) {
      return Endpoint(endpoint).alive;
    }
    const auto found = Endpoint(endpoint).copies.find(model);
    return Endpoint(endpoint).alive && found != Endpoint(endpoint).copies.end() &&
           found->second.state == UnitState::kResident;
  }

  std::uint64_t Taken(int endpoint) {
    std::uint64_t taken = 0;
    for (const auto& [model, copy] : Endpoint(endpoint).copies) {
      taken += Model(model).memory;
    }
    return taken;
  }

  // Where everything stands before the run: one copy of each model, for the static policy as many
  // as memory holds by declared share.
  void Place() {
    std::vector<std::int64_t> copies(load_.models.size(), 1);
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < load_.models.size(); ++i) {
      order.push_back(i);
      if (policy_ == Policy::kStatic) {
        copies[i] = std::max<std::int64_t>(
            load_.models[i].copies,
            static_cast<std::int64_t>(load_.models[i].usual * 0.9 / load_.slots * 1.5) + 1);
      }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return load_.models[a].memory > load_.models[b].memory;
    });
    for (std::int64_t round = 0; round < 32; ++round) {
      for (const std::size_t model : order) {
        if (round < copies[model]) {
          PlaceOne(static_cast<int>(model));
        }
      }
    }
  }

  void PlaceOne(int model) {
    int best = -1;
    for (int i = 0; i < load_.endpoints; ++i) {
      const bool fits =
          !Endpoint(i).copies.contains(model) && Taken(i) + Model(model).memory <= load_.memory;
      if (fits && (best < 0 || Taken(i) < Taken(best))) {
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
        Arrive(event.request);
        break;
      case Event::Kind::kFinish:
        Finish(event.request, event.endpoint);
        break;
      case Event::Kind::kLoaded:
        Loaded(event.endpoint, event.model);
        break;
      case Event::Kind::kPlan:
        PlanNow();
        Again(kPlanEvery, Event::Kind::kPlan);
        break;
      case Event::Kind::kReport:
        Report();
        Again(kReportEvery, Event::Kind::kReport);
        break;
      case Event::Kind::kPump:
        PumpAll();
        Again(kPumpEvery, Event::Kind::kPump);
        break;
      case Event::Kind::kLose:
        Lose(event.endpoint);
        break;
    }
  }

  void Again(std::int64_t after, Event::Kind kind) {
    if (now_ < load_.length + 120'000) {
      Push(now_ + after, kind);
    }
  }

  void Refuse(const std::string& reason) { ++result_.refused[reason]; }

  void Arrive(std::size_t index) {
    const Request& request = load_.requests[index];
    ++result_.sent[request.kind];
    ++present_[request.model];
    if (policy_ == Policy::kOurs) {
      ArriveOurs(index);
      return;
    }
    if (policy_ == Policy::kOnDemand) {
      LoadOnDemand(request.model);
    }
    if (!StartSomewhere(index)) {
      line_[request.kind].push_back(index);
    }
  }

  // --- ours ---

  void ArriveOurs(std::size_t index) {
    Node& node = *nodes_[node_of_[index]];
    const Request& request = load_.requests[index];
    if (node.queue.Waiting(Model(request.model).name) == 0 && TryOurs(node, index)) {
      return;
    }
    Applicant applicant;
    applicant.ticket = index + 1;
    applicant.target = Model(request.model).name;
    applicant.caller = "caller-" + std::to_string(request.prefix % 5);
    applicant.priority = kPriorities[request.kind];
    applicant.deadline = At(request.deadline - request.length);
    const auto set = node.snapshot.models.find(applicant.target);
    const std::uint32_t room =
        set == node.snapshot.models.end() ? 0 : node.router.Room(node.snapshot, set->second);
    if (const auto refused = node.queue.Enter(applicant, room, At(now_))) {
      --present_[request.model];
      Refuse(refused->reason == AdmissionRefusal::Reason::kQueueFull ? "queue_full"
                                                                     : "deadline_unreachable");
      return;
    }
    node.waiting[applicant.ticket] = index;
  }

  bool TryOurs(Node& node, std::size_t index) {
    const Request& request = load_.requests[index];
    const auto set = node.snapshot.models.find(Model(request.model).name);
    if (set == node.snapshot.models.end()) {
      return false;
    }
    RouteAsk ask;
    ask.prefix = request.prefix * 1000 + static_cast<std::uint64_t>(request.model);
    ask.fills = request.kind == 2;
    for (int tries = 0; tries < 3; ++tries) {
      const auto chosen = node.router.Choose(node.snapshot, set->second, ask, At(now_));
      if (!chosen) {
        return false;
      }
      const auto endpoint = static_cast<int>(node.snapshot.endpoints[*chosen].id);
      // The snapshot lags: an endpoint may have lost the model, and says so at once.
      if (!Serves(endpoint, request.model)) {
        ask.excluded.push_back(static_cast<std::uint32_t>(endpoint));
        continue;
      }
      node.router.Started(static_cast<std::uint32_t>(endpoint));
      ++node.in_flight[static_cast<std::size_t>(endpoint)];
      Start(index, endpoint);
      return true;
    }
    return false;
  }

  void PumpNode(Node& node) {
    for (const Applicant& late : node.queue.Expire(At(now_))) {
      --present_[load_.requests[node.waiting.at(late.ticket)].model];
      node.waiting.erase(late.ticket);
      Refuse("deadline_passed");
    }
    std::map<std::pair<std::string, std::int64_t>, bool> full;
    while (const auto next = node.queue.Next([&](const Applicant& applicant) {
      bool& is_full = full[{applicant.target, applicant.priority}];
      if (is_full) {
        return false;
      }
      is_full = !TryOurs(node, node.waiting.at(applicant.ticket));
      return !is_full;
    })) {
      node.waiting.erase(next->ticket);
    }
  }

  void Report() {
    for (auto& [model, count] : present_) {
      double& demand = demand_[static_cast<std::size_t>(model)];
      demand += kSmoothing * (static_cast<double>(count) - demand);
    }
    for (auto& node : nodes_) {
      node->snapshot = {};
      node->snapshot.live_nodes = static_cast<std::uint32_t>(nodes_.size());
      std::map<std::string, std::vector<std::string>> names;
      for (int i = 0; i < load_.endpoints; ++i) {
        if (!Endpoint(i).alive) {
          continue;
        }
        EndpointView view;
        view.id = static_cast<std::uint32_t>(i);
        view.name = "endpoint-" + std::to_string(i);
        view.slots = static_cast<std::uint32_t>(load_.slots);
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

  void PlanNow() {
    PlanInput input;
    const bool event = now_ >= load_.event_start - kLead && now_ < load_.event_end;
    for (std::size_t i = 0; i < load_.models.size(); ++i) {
      PlanUnit unit;
      unit.name = load_.models[i].name;
      unit.memory = load_.models[i].memory;
      unit.copies = event ? std::max<std::int64_t>(1, load_.models[i].copies) : 1;
      unit.demand = demand_[i];
      input.units.push_back(unit);
    }
    std::int64_t loading = 0;
    for (int i = 0; i < load_.endpoints; ++i) {
      PlanEndpoint endpoint;
      endpoint.memory = load_.memory;
      endpoint.usable = Endpoint(i).alive;
      endpoint.zone = i % load_.zones;
      endpoint.slots = load_.slots;
      endpoint.load = static_cast<double>(Endpoint(i).running) / load_.slots;
      endpoint.taken = Taken(i);
      for (const auto& [model, copy] : Endpoint(i).copies) {
        endpoint.entries.push_back({model, copy.state, copy.sequence});
        loading += copy.state == UnitState::kLoading ? 1 : 0;
      }
      input.endpoints.push_back(std::move(endpoint));
    }
    input.loads = std::max<std::int64_t>(0, kLoadsAtOnce - loading);
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
    next_load_ = std::max(next_load_ + kBetweenLoads, now_);
    const std::int64_t length = 1'000 + static_cast<std::int64_t>(Model(model).memory) * 180;
    result_.reload_ms += length;
    Push(next_load_ + length, Event::Kind::kLoaded, 0, endpoint, model);
  }

  void CountMove() { result_.moves += now_ >= kWarmUp ? 1 : 0; }

  void Loaded(int endpoint, int model) {
    const auto found = Endpoint(endpoint).copies.find(model);
    if (Endpoint(endpoint).alive && found != Endpoint(endpoint).copies.end()) {
      found->second.state = UnitState::kResident;
      found->second.used_at = now_;
    }
    PumpAll();
  }

  void Lose(int endpoint) {
    Endpoint(endpoint).alive = false;
    Endpoint(endpoint).copies.clear();
  }

  void Start(std::size_t index, int endpoint) {
    const Request& request = load_.requests[index];
    FakeEndpoint& place = Endpoint(endpoint);
    const std::uint64_t prefix = request.prefix * 1000 + static_cast<std::uint64_t>(request.model);
    const auto cached = std::find(place.cache.begin(), place.cache.end(), prefix);
    const std::int64_t saved = cached == place.cache.end() ? 0 : kCacheSaves;
    if (cached != place.cache.end()) {
      place.cache.erase(cached);
    } else if (place.cache.size() >= kCachedPrefixes) {
      place.cache.erase(place.cache.begin());
    }
    place.cache.push_back(prefix);
    ++place.running;
    // An engine that runs more than its slots slows down for all that it runs.
    const std::int64_t crowd = std::max(1, (place.running + load_.slots - 1) / load_.slots);
    place.copies[request.model].used_at = now_;
    if (policy_ == Policy::kRelaxed) {
      place.copies.clear();
    }
    result_.wait.push_back(now_ - request.at);
    Push(now_ + std::max<std::int64_t>(20, request.length - saved) * crowd, Event::Kind::kFinish,
         index, endpoint);
  }

  void Finish(std::size_t index, int endpoint) {
    const Request& request = load_.requests[index];
    --Endpoint(endpoint).running;
    --present_[request.model];
    const bool cut = !Endpoint(endpoint).alive && now_ - load_.event_start < request.length;
    if (policy_ == Policy::kOurs) {
      Node& node = *nodes_[node_of_[index]];
      node.router.Ended(static_cast<std::uint32_t>(endpoint), RouteResult::kServed, Duration(100),
                        At(now_));
      --node.in_flight[static_cast<std::size_t>(endpoint)];
      node.queue.Served(Model(request.model).name, Duration(request.length));
    }
    if (now_ <= request.deadline && !cut) {
      ++result_.attained[request.kind];
    } else {
      Refuse(cut ? "cut" : "late");
    }
    if (policy_ == Policy::kOurs) {
      PumpNode(*nodes_[node_of_[index]]);
    } else {
      PumpLine();
    }
  }

  void PumpAll() {
    if (policy_ != Policy::kOurs) {
      PumpLine();
      return;
    }
    for (auto& node : nodes_) {
      if (node->queue.Size() > 0) {
        PumpNode(*node);
      }
    }
  }

  // --- baselines: one line by kind, perfect knowledge of what runs where ---

  void PumpLine() {
    for (auto& line : line_) {
      std::map<int, bool> full;
      for (auto waiting = line.begin(); waiting != line.end();) {
        const Request& request = load_.requests[*waiting];
        if (now_ + request.length > request.deadline) {
          --present_[request.model];
          Refuse("deadline_passed");
          waiting = line.erase(waiting);
        } else if (!full[request.model] && StartSomewhere(*waiting)) {
          waiting = line.erase(waiting);
        } else {
          full[request.model] = true;
          ++waiting;
        }
      }
    }
  }

  bool StartSomewhere(std::size_t index) {
    const int model = load_.requests[index].model;
    int best = -1;
    for (int step = 0; step < load_.endpoints; ++step) {
      const int i = (step + turn_) % load_.endpoints;
      if (!Serves(i, model) || Endpoint(i).running >= load_.slots) {
        continue;
      }
      if (policy_ == Policy::kOnDemand) {
        best = i;
        turn_ = i + 1;
        break;
      }
      if (best < 0 || Endpoint(i).running < Endpoint(best).running) {
        best = i;
      }
    }
    if (best < 0) {
      return false;
    }
    Start(index, best);
    return true;
  }

  // Loads a model that no endpoint with a free slot serves, in place of the least recently used.
  void LoadOnDemand(int model) {
    for (int i = 0; i < load_.endpoints; ++i) {
      const auto found = Endpoint(i).copies.find(model);
      const bool coming =
          found != Endpoint(i).copies.end() && Endpoint(i).alive &&
          (found->second.state == UnitState::kLoading || Endpoint(i).running < load_.slots);
      if (coming) {
        return;
      }
    }
    for (int step = 0; step < load_.endpoints; ++step) {
      const int i = (step + turn_) % load_.endpoints;
      FakeEndpoint& place = Endpoint(i);
      if (!place.alive || place.running >= load_.slots || place.copies.contains(model)) {
        continue;
      }
      while (Taken(i) + Model(model).memory > load_.memory) {
        const auto oldest = std::min_element(
            place.copies.begin(), place.copies.end(),
            [](const auto& a, const auto& b) { return a.second.used_at < b.second.used_at; });
        place.copies.erase(oldest);
        CountMove();
      }
      BeginLoad(i, model);
      turn_ = i + 1;
      return;
    }
  }

  const Workload& load_;
  Policy policy_;
  std::vector<FakeEndpoint> endpoints_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::size_t> node_of_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::size_t> line_[3];
  std::map<int, std::int64_t> present_;  // running or waiting, by model
  std::vector<double> demand_;
  std::map<std::vector<std::string>, std::vector<std::uint32_t>> affinity_;
  std::int64_t now_ = 0;
  std::int64_t next_load_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t sequence_ = 0;
  int turn_ = 0;
  Result result_;
};

}  // namespace

std::string NameOf(Policy policy) {
  switch (policy) {
    case Policy::kOurs:
      return "ours";
    case Policy::kStatic:
      return "static";
    case Policy::kOnDemand:
      return "on demand";
    case Policy::kRelaxed:
      return "relaxed bound";
  }
  return "";
}

Result Simulate(const Workload& workload, Policy policy, std::uint64_t seed) {
  return Simulation(workload, policy, seed).Run();
}

}  // namespace rudderloom::bench
