#include "rudderloom/placement/planner.hpp"

#include <algorithm>  // for count_if, max, min, sort
#include <cmath>      // for exp
#include <limits>     // for numeric_limits

namespace rudderloom {

namespace {

// Requests in flight per copy from which another copy is worth its load.
constexpr double kWorthCopy = 1.5;
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
    for (const PlanEngine& engine : input_.engines) {
      for (const auto& [name, adapters] : engine.models) {
        const auto found = models_.find(name);
        if (found != models_.end()) {
          ++found->second.copies;
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
    return static_cast<std::uint32_t>(input_.engines.size() * (room / largest));
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
  double Crowding(const PlanEngine& engine, const std::string& leaving) const {
    double crowding = 0.0;
    for (const auto& [name, adapters] : engine.models) {
      const auto model = models_.find(name);
      const bool stays = name != leaving && model != models_.end();
      crowding += stays ? model->second.PressurePerCopy() : 0.0;
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
                                     static_cast<std::uint32_t>(input_.engines.size()));
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
    PlanEngine* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (PlanEngine& engine : input_.engines) {
      const bool fits =
          engine.takes_models && !engine.models.contains(name) && Free(engine) >= needed;
      if (!fits) {
        continue;
      }
      const double cost = Crowding(engine, "") + StoreCost(engine, name);
      if (cost < best_cost) {
        best_cost = cost;
        best = &engine;
      }
    }
    if (best == nullptr) {
      return false;
    }
    plan_.models.push_back(
        {best->instance, name, std::nullopt, model.asked_for, !best->local_weights.Has(name)});
    Taken(*best, name);
    return true;
  }

  void Taken(PlanEngine& engine, const std::string& newcomer) {
    engine.takes_models = false;
    engine.takes_adapters = false;
    engine.models[newcomer];
    ++models_[newcomer].copies;
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
    PlanEngine* best = nullptr;
    std::string best_victim;
    double best_cost = std::numeric_limits<double>::max();
    for (PlanEngine& engine : input_.engines) {
      if (!engine.takes_models || engine.models.contains(name)) {
        continue;
      }
      for (const auto& [victim_name, adapters] : engine.models) {
        const auto victim = models_.find(victim_name);
        if (victim == models_.end() || !MayGo(victim->second, newcomer)) {
          continue;
        }
        const std::uint64_t free = Free(engine) + victim->second.spec->memory_mb;
        if (free < newcomer.spec->memory_mb + AdapterReserve()) {
          continue;
        }
        const double last = victim->second.copies < 2 ? 1'000'000.0 : 0.0;
        const double cost = victim->second.PressurePerCopy() + Crowding(engine, victim_name) +
                            last + StoreCost(engine, name);
        if (cost < best_cost) {
          best_cost = cost;
          best = &engine;
          best_victim = victim_name;
        }
      }
    }
    if (best == nullptr) {
      return;
    }
    plan_.models.push_back(
        {best->instance, name, best_victim, newcomer.asked_for, !best->local_weights.Has(name)});
    --models_[best_victim].copies;
    best->models.erase(best_victim);
    Taken(*best, name);
  }

  void PlanAdapters() {
    std::vector<std::pair<UnitName, UnitDemand>> wanted;
    for (const auto& [unit, demand] : input_.demand.Units()) {
      const bool asked = demand.waiting > 0 ||
                         (input_.now - demand.asked_at < kAdapterWanted && demand.pressure > 0.2);
      if (unit.service == input_.service && !unit.adapter.empty() && asked) {
        wanted.emplace_back(unit, demand);
      }
    }
    std::sort(wanted.begin(), wanted.end(), [](const auto& left, const auto& right) {
      return left.second.waiting != right.second.waiting
                 ? left.second.waiting > right.second.waiting
                 : left.second.pressure > right.second.pressure;
    });
    for (const auto& [unit, demand] : wanted) {
      PlanAdapter(unit, demand);
    }
  }

  void PlanAdapter(const UnitName& unit, const UnitDemand& demand) {
    std::uint32_t copies = 0;
    for (const PlanEngine& engine : input_.engines) {
      const auto model = engine.models.find(unit.model);
      copies += model != engine.models.end() && model->second.contains(unit.adapter) ? 1 : 0;
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
    for (PlanEngine& engine : input_.engines) {
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
  PlacementPlan plan_;
};

}  // namespace

std::map<std::string, std::uint32_t> WantedCopies(const std::map<std::string, double>& pressures,
                                                  std::uint32_t places,
                                                  std::uint32_t engines) {
  std::map<std::string, std::uint32_t> wanted;
  for (const auto& [name, pressure] : pressures) {
    wanted[name] = 1;
  }
  std::uint32_t left = places - std::min(places, static_cast<std::uint32_t>(pressures.size()));
  while (left > 0) {
    std::string best;
    double best_share = kWorthCopy;
    for (const auto& [name, pressure] : pressures) {
      const double share = pressure / wanted[name];
      if (share > best_share && wanted[name] < engines) {
        best_share = share;
        best = name;
      }
    }
    if (best.empty()) {
      break;
    }
    ++wanted[best];
    --left;
  }
  return wanted;
}

PlacementPlan PlanPlacement(PlacementInput input) {
  Planner planner(std::move(input));
  return planner.Run();
}

}  // namespace rudderloom
