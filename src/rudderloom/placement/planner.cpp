#include "rudderloom/placement/planner.hpp"

#include <algorithm>  // for count_if, max, min, sort
#include <cmath>      // for exp
#include <limits>     // for numeric_limits

namespace rudderloom {

namespace {

// What a load from the weight store is worth avoiding, in requests in flight on the endpoint.
constexpr double kStoreCost = 30.0;
// Requests in flight that are no more than the rest of a decayed average.
constexpr double kNoPressure = 0.05;
// A victim's remaining copies must be so much less pressed than the newcomer's.
constexpr double kSwapGain = 0.5;
constexpr Duration kIdleLastCopy{10'000};
// Part of an endpoint's places that each copy of a busy model must have taken before a model that
// nobody asks for gives up its only place. Where a third of the engines left, 196 models stood on
// 177 places: busy ones had one copy each beside dozens that were idle.
constexpr double kPressedPart = 0.5;
// What stands when nothing is known of the demand is the best forecast of it: each copy counts as
// this many requests in flight, less and less as demand is seen.
constexpr double kForecastPerCopy = 4.0;
constexpr double kForecastFadeSeconds = 4.0;
// Before demand has been seen for so long, no copy makes way for a model that nobody asks for.
constexpr Duration kDemandKnownAfter{5'000};
// Requests in flight for one copy of an adapter from which another copy is loaded.
constexpr double kWorthAdapterCopy = 6.0;
constexpr Duration kAdapterWanted{4'000};
constexpr Duration kAdapterRest{700};

struct ModelState {
  const ModelSpec* spec = nullptr;
  std::uint32_t copies = 0;
  std::uint32_t wanted = 1;
  UnitDemand demand;
  bool asked_for = false;  // by requests, not only by what stands

  double PressurePerCopy() const { return demand.pressure / std::max(1U, copies); }
};

// An engine with the models that it holds or will hold, found once: for each load that is planned
// all engines are weighed.
struct Candidate {
  PlanEngine* engine = nullptr;
  std::vector<ModelState*> held;  // those that the service has
};

class Planner {
 public:
  explicit Planner(PlacementInput input) : input_(std::move(input)) {}

  PlacementPlan Run() {
    CountCopies();
    BlendForecast();
    SetWanted();
    PlanModels();
    PlanAdapters();
    return std::move(plan_);
  }

 private:
  // Memory that adapters may come to need beside the models.
  std::uint64_t AdapterReserve() const {
    std::uint64_t largest = 0;
    for (const ModelSpec& model : input_.spec.models) {
      largest = std::max(largest, model.adapter_memory_mb);
    }
    return largest * input_.spec.adapter_slots;
  }

  std::uint64_t Free(const PlanEngine& engine) const {
    const std::uint64_t limit = input_.spec.memory_mb;
    return limit - std::min(limit, engine.memory_used);
  }

  void CountCopies() {
    for (const ModelSpec& model : input_.spec.models) {
      ModelState& state = models_[model.name];
      state.spec = &model;
      state.demand = input_.demand.Of({input_.service, model.name, ""});
      state.asked_for = state.demand.waiting > 0 || state.demand.pressure > kNoPressure;
    }
    for (PlanEngine& engine : input_.engines) {
      Candidate& candidate = candidates_.emplace_back();
      candidate.engine = &engine;
      for (const auto& [name, adapters] : engine.models) {
        const auto found = models_.find(name);
        if (found != models_.end()) {
          found->second.copies += engine.copies_count ? 1 : 0;
          candidate.held.push_back(&found->second);
          holders_[name].push_back(&engine);
        }
      }
    }
  }

  std::uint32_t Places() const {
    std::uint64_t largest = 1;
    for (const ModelSpec& model : input_.spec.models) {
      largest = std::max(largest, model.memory_mb);
    }
    const std::uint64_t room =
        input_.spec.memory_mb - std::min(input_.spec.memory_mb, AdapterReserve());
    return static_cast<std::uint32_t>(CountedEngines() * (room / largest));
  }

  std::uint64_t CountedEngines() const {
    return static_cast<std::uint64_t>(
        std::count_if(input_.engines.begin(), input_.engines.end(),
                      [](const PlanEngine& engine) { return engine.copies_count; }));
  }

  Duration DemandKnownFor() const {
    const auto first = input_.demand.FirstAsked();
    return first ? Between(*first, input_.now) : Duration(0);
  }

  // Weighs what stands against the demand seen so far.
  void BlendForecast() {
    const double seconds = std::chrono::duration<double>(DemandKnownFor()).count();
    const double forecast = kForecastPerCopy * std::exp(-seconds / kForecastFadeSeconds);
    for (auto& [name, state] : models_) {
      state.demand.pressure = std::max(state.demand.pressure, forecast * state.copies);
    }
  }

  // What the demand for an endpoint's models would ask of it, without `leaving`.
  static double Crowding(const Candidate& candidate, const ModelState* leaving) {
    double crowding = 0.0;
    for (const ModelState* model : candidate.held) {
      crowding += model != leaving ? model->PressurePerCopy() : 0.0;
    }
    return crowding;
  }

  void SetWanted() {
    std::map<std::string, double> pressures;
    for (const auto& [name, state] : models_) {
      pressures[name] = state.demand.pressure;
    }
    const auto idle = std::count_if(models_.begin(), models_.end(),
                                    [&](const auto& entry) { return Idle(entry.second); });
    const auto wanted = WantedCopies(pressures, static_cast<std::uint32_t>(Places() + idle),
                                     static_cast<std::uint32_t>(CountedEngines()));
    for (const auto& [name, copies] : wanted) {
      models_[name].wanted = copies;
    }
  }

  // Nobody has asked for it for long.
  bool Idle(const ModelState& model) const {
    return model.demand.running + model.demand.waiting == 0 &&
           DemandKnownFor() > kDemandKnownAfter &&
           input_.now - model.demand.asked_at > kIdleLastCopy;
  }

  // Loads are scarce, so what requests wait for comes first, and what nobody asks for last.
  enum class Rank { kWaitedFor, kBusy, kUnasked };

  static Rank RankOf(const ModelState& model) {
    if (model.copies > 0) {
      return Rank::kBusy;
    }
    return model.asked_for ? Rank::kWaitedFor : Rank::kUnasked;
  }

  void PlanModels() {
    std::vector<std::string> needs;
    for (const auto& [name, state] : models_) {
      if (state.copies < state.wanted) {
        needs.push_back(name);
      }
    }
    std::sort(needs.begin(), needs.end(), [&](const auto& left, const auto& right) {
      const ModelState& a = models_[left];
      const ModelState& b = models_[right];
      if (RankOf(a) != RankOf(b)) {
        return RankOf(a) < RankOf(b);
      }
      return a.PressurePerCopy() > b.PressurePerCopy();
    });
    for (const std::string& name : needs) {
      const ModelState& model = models_[name];
      plan_.shortfalls.push_back({name, model.demand.pressure, model.copies, model.wanted});
    }
    for (const std::string& name : needs) {
      if (!LoadIntoRoom(name)) {
        Swap(name);
      }
    }
  }

  // A load from the weight store takes several times as long, and there are few of them.
  static double StoreCost(const PlanEngine& engine, const std::string& model) {
    return engine.local_weights.Has(model) ? 0.0 : kStoreCost;
  }

  bool LoadIntoRoom(const std::string& name) {
    ModelState& model = models_[name];
    const std::uint64_t needed = model.spec->memory_mb + AdapterReserve();
    Candidate* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (Candidate& candidate : candidates_) {
      const PlanEngine& engine = *candidate.engine;
      const bool fits =
          engine.takes_models && Free(engine) >= needed && !engine.models.contains(name);
      if (!fits) {
        continue;
      }
      const double cost = Crowding(candidate, nullptr) + StoreCost(engine, name);
      if (cost < best_cost) {
        best_cost = cost;
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return false;
    }
    plan_.models.push_back({best->engine->instance, name, std::nullopt, model.asked_for,
                            !best->engine->local_weights.Has(name)});
    Taken(*best, name);
    return true;
  }

  void Taken(Candidate& candidate, const std::string& newcomer) {
    candidate.engine->takes_models = false;
    candidate.engine->takes_adapters = false;
    candidate.engine->models[newcomer];
    ModelState& model = models_[newcomer];
    candidate.held.push_back(&model);
    ++model.copies;
  }

  // True when a copy of `victim` may make way for `newcomer`.
  bool MayGo(const ModelState& victim, const ModelState& newcomer) const {
    if (!newcomer.asked_for && DemandKnownFor() < kDemandKnownAfter) {
      return false;
    }
    if (victim.copies >= 2) {
      const double left = victim.demand.pressure / (victim.copies - 1);
      if (victim.copies > victim.wanted) {
        return newcomer.copies == 0 || left <= kSwapGain * newcomer.PressurePerCopy();
      }
      return newcomer.copies == 0 && newcomer.demand.pressure > 0.0 &&
             left <= std::max(1.0, newcomer.demand.pressure) * 4.0;
    }
    const bool pressed = DemandKnownFor() > kIdleLastCopy &&
                         newcomer.PressurePerCopy() >= kPressedPart * input_.spec.slots;
    return Idle(victim) && newcomer.asked_for && (newcomer.copies == 0 || pressed);
  }

  void Swap(const std::string& name) {
    ModelState& newcomer = models_[name];
    const std::uint64_t needed = newcomer.spec->memory_mb + AdapterReserve();
    Candidate* best = nullptr;
    ModelState* best_victim = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (Candidate& candidate : candidates_) {
      const PlanEngine& engine = *candidate.engine;
      if (!engine.takes_models || engine.models.contains(name)) {
        continue;
      }
      for (ModelState* victim : candidate.held) {
        if (!MayGo(*victim, newcomer) || Free(engine) + victim->spec->memory_mb < needed) {
          continue;
        }
        const double last = victim->copies < 2 ? 1'000'000.0 : 0.0;
        const double cost = victim->PressurePerCopy() + Crowding(candidate, victim) + last +
                            StoreCost(engine, name);
        if (cost < best_cost) {
          best_cost = cost;
          best = &candidate;
          best_victim = victim;
        }
      }
    }
    if (best == nullptr) {
      return;
    }
    const std::string& victim_name = best_victim->spec->name;
    plan_.models.push_back({best->engine->instance, name, victim_name, newcomer.asked_for,
                            !best->engine->local_weights.Has(name)});
    --best_victim->copies;
    best->engine->models.erase(victim_name);
    std::erase(best->held, best_victim);
    Taken(*best, name);
  }

  void PlanAdapters() {
    std::set<UnitName> unanswered;
    for (const PlanEngine& engine : input_.engines) {
      if (const auto& adapter = engine.unanswered_adapter) {
        unanswered.insert({input_.service, adapter->first, adapter->second});
      }
    }
    // An adapter whose load order is unanswered may already be loading, so it is planned on other
    // engines after all others that requests wait for.
    const auto rank = [&](const std::pair<UnitName, UnitDemand>& entry) {
      if (entry.second.waiting == 0) {
        return 2;
      }
      return unanswered.contains(entry.first) ? 1 : 0;
    };
    std::vector<std::pair<UnitName, UnitDemand>> wanted;
    for (const auto& [unit, demand] : input_.demand.Units()) {
      const bool asked = demand.waiting > 0 ||
                         (input_.now - demand.asked_at < kAdapterWanted && demand.pressure > 0.2);
      if (unit.service == input_.service && !unit.adapter.empty() && asked) {
        wanted.emplace_back(unit, demand);
      }
    }
    std::sort(wanted.begin(), wanted.end(), [&](const auto& left, const auto& right) {
      if (rank(left) != rank(right)) {
        return rank(left) < rank(right);
      }
      return left.second.waiting != right.second.waiting
                 ? left.second.waiting > right.second.waiting
                 : left.second.pressure > right.second.pressure;
    });
    for (const auto& [unit, demand] : wanted) {
      PlanAdapter(unit, demand);
    }
  }

  void PlanAdapter(const UnitName& unit, const UnitDemand& demand) {
    // Engines that hold the model at the plan's start: others can't take its adapters yet.
    const auto holders = holders_.find(unit.model);
    if (holders == holders_.end()) {
      return;
    }
    std::uint32_t copies = 0;
    for (const PlanEngine* engine : holders->second) {
      const auto model = engine->models.find(unit.model);
      copies += model != engine->models.end() && model->second.contains(unit.adapter) ? 1 : 0;
    }
    const bool missing = copies == 0;
    if (!missing && demand.pressure / copies < kWorthAdapterCopy) {
      return;
    }
    const auto spec = models_.find(unit.model);
    if (spec == models_.end()) {
      return;
    }
    PlanEngine* best = nullptr;
    AdapterStep best_step;
    double best_cost = std::numeric_limits<double>::max();
    for (PlanEngine* holder : holders->second) {
      PlanEngine& engine = *holder;
      const auto model = engine.models.find(unit.model);
      if (!engine.takes_adapters || model == engine.models.end() ||
          !engine.resident.contains(unit.model) || model->second.contains(unit.adapter)) {
        continue;
      }
      AdapterStep step{engine.instance, unit.model, unit.adapter, std::nullopt};
      const bool place = engine.adapters < input_.spec.adapter_slots;
      if (place && Free(engine) < spec->second.spec->adapter_memory_mb) {
        continue;
      }
      if (!place) {
        step.victim = RestingAdapter(engine);
        if (!step.victim) {
          continue;
        }
      }
      const double cost = engine.load.requests + 2.0 * engine.adapters +
                          static_cast<double>(engine.load.unread_tokens) / 1'000.0 +
                          (step.victim ? 20.0 : 0.0);
      if (cost < best_cost) {
        best_cost = cost;
        best = &engine;
        best_step = std::move(step);
      }
    }
    // A further copy is not worth another adapter's place.
    if (best == nullptr || (!missing && best_step.victim)) {
      return;
    }
    best->takes_adapters = false;
    best->takes_models = false;
    best->models[unit.model].insert(unit.adapter);
    plan_.adapters.push_back(std::move(best_step));
  }

  // The adapter of an engine that has rested longest; empty when all are in use.
  std::optional<std::pair<std::string, std::string>> RestingAdapter(
      const PlanEngine& engine) const {
    std::optional<std::pair<std::string, std::string>> resting;
    TimePoint oldest = input_.now - kAdapterRest;
    for (const auto& [model, adapters] : engine.models) {
      for (const std::string& adapter : adapters) {
        const UnitDemand demand = input_.demand.Of({input_.service, model, adapter});
        if (demand.running == 0 && demand.waiting == 0 && demand.asked_at < oldest) {
          oldest = demand.asked_at;
          resting = {model, adapter};
        }
      }
    }
    return resting;
  }

  PlacementInput input_;
  std::map<std::string, ModelState> models_;
  std::vector<Candidate> candidates_;
  std::map<std::string, std::vector<PlanEngine*>> holders_;  // of each model, at the plan's start
  PlacementPlan plan_;
};

}  // namespace

PlacementPlan PlanPlacement(PlacementInput input) {
  Planner planner(std::move(input));
  return planner.Run();
}

}  // namespace rudderloom
