#include "rudderloom/placement/planner.hpp"

#include <algorithm>  // for count_if, max, min, sort
#include <cmath>      // for exp
#include <limits>     // for numeric_limits

namespace rudderloom {

namespace {

// Cost of a load from the weight store, in requests in flight on the endpoint.
constexpr double kWeightStoreLoadCost = 30.0;
// Pressure up to which a value is only the remainder of a decayed average.
constexpr double kNegligiblePressure = 0.05;
// Maximum ratio between the pressure on a victim's remaining copies and the pressure per copy of
// its replacement.
constexpr double kMaxVictimPressureRatio = 0.5;
constexpr Duration kLastCopyIdleTime{10'000};
// Fraction of an endpoint's slots that each copy of a busy model must use before a model without
// requests loses its only copy. When a third of the engines left, 196 models shared 177 places, and
// busy models had one copy each beside dozens of idle ones.
constexpr double kBusySlotFraction = 0.5;
// While demand is unknown, the current placement is its best forecast: each copy counts as this
// many requests in flight, decaying as demand is observed.
constexpr double kInitialPressurePerCopy = 4.0;
constexpr double kInitialPressureDecaySeconds = 4.0;
// Until demand has been observed for this long, no copy is unloaded for a model without requests.
constexpr Duration kMinDemandObservation{5'000};
// Requests in flight per copy of an adapter at which another copy is loaded.
constexpr double kPressurePerExtraAdapterCopy = 6.0;
constexpr Duration kAdapterDemandWindow{4'000};
constexpr Duration kAdapterIdleTime{700};

struct ModelState {
  const ModelSpec* spec = nullptr;
  std::uint32_t copies = 0;
  std::uint32_t wanted = 1;
  UnitDemand demand;
  bool requested = false;  // by requests, not only by the initial pressure

  double PressurePerCopy() const { return demand.pressure / std::max(1U, copies); }
};

// An engine with the models that it holds or will hold. Looked up once, because every planned load
// compares all engines.
struct Candidate {
  PlanEngine* engine = nullptr;
  std::vector<ModelState*> held;  // only models of the service
};

class Planner {
 public:
  explicit Planner(PlacementInput input) : input_(std::move(input)) {}

  PlacementPlan Run() {
    CountCopies();
    ApplyInitialPressure();
    ComputeWantedCopies();
    PlanModels();
    PlanAdapters();
    return std::move(plan_);
  }

 private:
  // Memory to reserve for adapters beside the models.
  std::uint64_t AdapterReserve() const {
    std::uint64_t largest = 0;
    for (const ModelSpec& model : input_.spec.models) {
      largest = std::max(largest, model.adapter_memory_mb);
    }
    return largest * input_.spec.adapter_slots;
  }

  std::uint64_t FreeMemory(const PlanEngine& engine) const {
    const std::uint64_t limit = input_.spec.memory_mb;
    return limit - std::min(limit, engine.memory_used);
  }

  void CountCopies() {
    for (const ModelSpec& model : input_.spec.models) {
      ModelState& state = models_[model.name];
      state.spec = &model;
      state.demand = input_.demand.DemandFor({input_.service, model.name, ""});
      state.requested = state.demand.waiting > 0 || state.demand.pressure > kNegligiblePressure;
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

  std::uint32_t ModelCapacity() const {
    std::uint64_t largest = 1;
    for (const ModelSpec& model : input_.spec.models) {
      largest = std::max(largest, model.memory_mb);
    }
    const std::uint64_t model_memory =
        input_.spec.memory_mb - std::min(input_.spec.memory_mb, AdapterReserve());
    return static_cast<std::uint32_t>(CountedEngines() * (model_memory / largest));
  }

  std::uint64_t CountedEngines() const {
    return static_cast<std::uint64_t>(
        std::count_if(input_.engines.begin(), input_.engines.end(),
                      [](const PlanEngine& engine) { return engine.copies_count; }));
  }

  Duration DemandObservedFor() const {
    const auto first = input_.demand.FirstRequestAt();
    return first ? Between(*first, input_.now) : Duration(0);
  }

  // Raises the pressure of loaded models while little demand has been observed.
  void ApplyInitialPressure() {
    const double seconds = std::chrono::duration<double>(DemandObservedFor()).count();
    const double initial_pressure =
        kInitialPressurePerCopy * std::exp(-seconds / kInitialPressureDecaySeconds);
    for (auto& [name, state] : models_) {
      state.demand.pressure = std::max(state.demand.pressure, initial_pressure * state.copies);
    }
  }

  // Total pressure per copy of the models on an engine, without `leaving`.
  static double CompetingPressure(const Candidate& candidate, const ModelState* leaving) {
    double competing_pressure = 0.0;
    for (const ModelState* model : candidate.held) {
      competing_pressure += model != leaving ? model->PressurePerCopy() : 0.0;
    }
    return competing_pressure;
  }

  void ComputeWantedCopies() {
    std::map<std::string, double> pressures;
    for (const auto& [name, state] : models_) {
      pressures[name] = state.demand.pressure;
    }
    const auto idle = std::count_if(models_.begin(), models_.end(),
                                    [&](const auto& entry) { return IsIdle(entry.second); });
    const auto wanted = WantedCopies(pressures, static_cast<std::uint32_t>(ModelCapacity() + idle),
                                     static_cast<std::uint32_t>(CountedEngines()));
    for (const auto& [name, copies] : wanted) {
      models_[name].wanted = copies;
    }
  }

  // True if the model has not been requested for a long time.
  bool IsIdle(const ModelState& model) const {
    return model.demand.running + model.demand.waiting == 0 &&
           DemandObservedFor() > kMinDemandObservation &&
           input_.now - model.demand.last_requested_at > kLastCopyIdleTime;
  }

  // Loads are scarce, so models that requests wait for come first and unrequested models last.
  enum class Rank { kWaiting, kBusy, kUnrequested };

  static Rank RankOf(const ModelState& model) {
    if (model.copies > 0) {
      return Rank::kBusy;
    }
    return model.requested ? Rank::kWaiting : Rank::kUnrequested;
  }

  void PlanModels() {
    std::vector<std::string> short_models;
    for (const auto& [name, state] : models_) {
      if (state.copies < state.wanted) {
        short_models.push_back(name);
      }
    }
    std::sort(short_models.begin(), short_models.end(), [&](const auto& left, const auto& right) {
      const ModelState& a = models_[left];
      const ModelState& b = models_[right];
      if (RankOf(a) != RankOf(b)) {
        return RankOf(a) < RankOf(b);
      }
      return a.PressurePerCopy() > b.PressurePerCopy();
    });
    for (const std::string& name : short_models) {
      const ModelState& model = models_[name];
      plan_.shortfalls.push_back({name, model.demand.pressure, model.copies, model.wanted});
    }
    for (const std::string& name : short_models) {
      if (!LoadIntoFreeMemory(name)) {
        PlanSwap(name);
      }
    }
  }

  // A load from the weight store takes several times as long, and only few may start.
  static double WeightStoreCost(const PlanEngine& engine, const std::string& model) {
    return engine.local_weights.Has(model) ? 0.0 : kWeightStoreLoadCost;
  }

  bool LoadIntoFreeMemory(const std::string& name) {
    ModelState& model = models_[name];
    const std::uint64_t needed = model.spec->memory_mb + AdapterReserve();
    Candidate* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (Candidate& candidate : candidates_) {
      const PlanEngine& engine = *candidate.engine;
      const bool fits =
          engine.takes_models && FreeMemory(engine) >= needed && !engine.models.contains(name);
      if (!fits) {
        continue;
      }
      const double cost = CompetingPressure(candidate, nullptr) + WeightStoreCost(engine, name);
      if (cost < best_cost) {
        best_cost = cost;
        best = &candidate;
      }
    }
    if (best == nullptr) {
      return false;
    }
    plan_.models.push_back({best->engine->instance, name, std::nullopt, model.requested,
                            !best->engine->local_weights.Has(name)});
    MarkPlanned(*best, name);
    return true;
  }

  void MarkPlanned(Candidate& candidate, const std::string& replacement) {
    candidate.engine->takes_models = false;
    candidate.engine->takes_adapters = false;
    candidate.engine->models[replacement];
    ModelState& model = models_[replacement];
    candidate.held.push_back(&model);
    ++model.copies;
  }

  // True if a copy of `victim` may be unloaded for `replacement`.
  bool MayUnload(const ModelState& victim, const ModelState& replacement) const {
    if (!replacement.requested && DemandObservedFor() < kMinDemandObservation) {
      return false;
    }
    if (victim.copies >= 2) {
      const double pressure_after_unload = victim.demand.pressure / (victim.copies - 1);
      if (victim.copies > victim.wanted) {
        return replacement.copies == 0 ||
               pressure_after_unload <= kMaxVictimPressureRatio * replacement.PressurePerCopy();
      }
      return replacement.copies == 0 && replacement.demand.pressure > 0.0 &&
             pressure_after_unload <= std::max(1.0, replacement.demand.pressure) * 4.0;
    }
    const bool replacement_busy =
        DemandObservedFor() > kLastCopyIdleTime &&
        replacement.PressurePerCopy() >= kBusySlotFraction * input_.spec.slots;
    return IsIdle(victim) && replacement.requested && (replacement.copies == 0 || replacement_busy);
  }

  void PlanSwap(const std::string& name) {
    ModelState& replacement = models_[name];
    const std::uint64_t needed = replacement.spec->memory_mb + AdapterReserve();
    Candidate* best = nullptr;
    ModelState* best_victim = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (Candidate& candidate : candidates_) {
      const PlanEngine& engine = *candidate.engine;
      if (!engine.takes_models || engine.models.contains(name)) {
        continue;
      }
      for (ModelState* victim : candidate.held) {
        if (!MayUnload(*victim, replacement) ||
            FreeMemory(engine) + victim->spec->memory_mb < needed) {
          continue;
        }
        const double last_copy_penalty = victim->copies < 2 ? 1'000'000.0 : 0.0;
        const double cost = victim->PressurePerCopy() + CompetingPressure(candidate, victim) +
                            last_copy_penalty + WeightStoreCost(engine, name);
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
    plan_.models.push_back({best->engine->instance, name, victim_name, replacement.requested,
                            !best->engine->local_weights.Has(name)});
    --best_victim->copies;
    best->engine->models.erase(victim_name);
    std::erase(best->held, best_victim);
    MarkPlanned(*best, name);
  }

  void PlanAdapters() {
    std::set<UnitName> unanswered;
    for (const PlanEngine& engine : input_.engines) {
      if (const auto& adapter = engine.unanswered_adapter) {
        unanswered.insert({input_.service, adapter->first, adapter->second});
      }
    }
    // An adapter with an unanswered load order may already be loading, so it is planned on other
    // engines only after all other adapters that requests wait for.
    const auto rank = [&](const std::pair<UnitName, UnitDemand>& entry) {
      if (entry.second.waiting == 0) {
        return 2;
      }
      return unanswered.contains(entry.first) ? 1 : 0;
    };
    std::vector<std::pair<UnitName, UnitDemand>> wanted;
    for (const auto& [unit, demand] : input_.demand.Units()) {
      const bool recently_requested =
          demand.waiting > 0 ||
          (input_.now - demand.last_requested_at < kAdapterDemandWindow && demand.pressure > 0.2);
      if (unit.service == input_.service && !unit.adapter.empty() && recently_requested) {
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
    // Engines that hold the model at the start of the plan; others can't load its adapters yet.
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
    if (!missing && demand.pressure / copies < kPressurePerExtraAdapterCopy) {
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
      const bool has_free_slot = engine.adapters < input_.spec.adapter_slots;
      if (has_free_slot && FreeMemory(engine) < spec->second.spec->adapter_memory_mb) {
        continue;
      }
      if (!has_free_slot) {
        step.victim = LongestIdleAdapter(engine);
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
    // Another adapter is never unloaded for an additional copy.
    if (best == nullptr || (!missing && best_step.victim)) {
      return;
    }
    best->takes_adapters = false;
    best->takes_models = false;
    best->models[unit.model].insert(unit.adapter);
    plan_.adapters.push_back(std::move(best_step));
  }

  // The adapter of an engine that has been idle longest; empty if all are in use.
  std::optional<std::pair<std::string, std::string>> LongestIdleAdapter(
      const PlanEngine& engine) const {
    std::optional<std::pair<std::string, std::string>> idle_adapter;
    TimePoint oldest = input_.now - kAdapterIdleTime;
    for (const auto& [model, adapters] : engine.models) {
      for (const std::string& adapter : adapters) {
        const UnitDemand demand = input_.demand.DemandFor({input_.service, model, adapter});
        if (demand.running == 0 && demand.waiting == 0 && demand.last_requested_at < oldest) {
          oldest = demand.last_requested_at;
          idle_adapter = {model, adapter};
        }
      }
    }
    return idle_adapter;
  }

  PlacementInput input_;
  std::map<std::string, ModelState> models_;
  std::vector<Candidate> candidates_;
  std::map<std::string, std::vector<PlanEngine*>> holders_;  // by model, at the start of the plan
  PlacementPlan plan_;
};

}  // namespace

PlacementPlan PlanPlacement(PlacementInput input) {
  Planner planner(std::move(input));
  return planner.Run();
}

}  // namespace rudderloom
