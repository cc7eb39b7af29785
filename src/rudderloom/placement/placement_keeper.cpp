#include "rudderloom/placement/placement_keeper.hpp"

#include <algorithm>  // for count_if, min

#include "rudderloom/base/log_line.hpp"              // for LogLine
#include "rudderloom/placement/limited_engines.hpp"  // for LeaveLimitedOut

namespace rudderloom {

namespace {

// Requests that are on their way to a model must have arrived before it is unloaded.
constexpr Duration kWithdrawTime{400};
constexpr Duration kLogShortfallsEvery{1'000};
constexpr std::size_t kShortfallsTold = 3;
// Expected time from the acceptance of an order until the adapter can be used.
constexpr Duration kAdapterLoadTime{80};
// Units whose last request is older are left out of the forecast.
constexpr Duration kDemandWindow{2'000};

// Recently requested models and adapters without running requests: the adapters by their model, an
// empty list where only the model itself was requested.
using LackedUnits = std::map<std::string, std::vector<std::string>>;

LackedUnits FindLackedUnits(const std::string& service, const DemandBoard& demand, TimePoint now) {
  LackedUnits lacked;
  for (const auto& [unit, asked] : demand.Units()) {
    if (unit.service != service || asked.running > 0 || now - asked.asked_at > kDemandWindow) {
      continue;
    }
    std::vector<std::string>& adapters = lacked[unit.model];
    if (!unit.adapter.empty()) {
      adapters.push_back(unit.adapter);
    }
  }
  return lacked;
}

// Adds the expected ends of adapter loads on models that the engine holds.
void AddAdapters(const EngineState& engine,
                 const std::string& service,
                 const LackedUnits& lacked,
                 LoadForecast& forecast,
                 TimePoint now) {
  const bool accepts_order = engine.Certain() && !engine.awaits_announcement;
  if (accepts_order && engine.pending_adapters.empty()) {
    return;
  }
  for (const ResidentModel& model : engine.models) {
    const auto found = lacked.find(model.name);
    if (found == lacked.end()) {
      continue;
    }
    for (const std::string& adapter : found->second) {
      const bool pending = engine.pending_adapters.contains(model.name + "/" + adapter);
      if (pending || !accepts_order) {
        const TimePoint from = pending ? now : engine.NextOrderAt(now);
        AddExpected(forecast, {service, model.name, adapter}, from + kAdapterLoadTime);
      }
    }
  }
}

}  // namespace

PlacementKeeper::PlacementKeeper(Duration load_window, double load_overshoot, Duration lease_bound)
    : pacer_(load_window, load_overshoot), announcements_(lease_bound, load_window) {}

void PlacementKeeper::Reset(const FormerLease& former, TimePoint now) {
  engines_.clear();
  announcements_.Reset(former, now);
  if (former.who != FormerHolder::kThisProcess) {
    pacer_.AssumeStarted(CountWeightStore(former.own) + CountWeightStore(former.inherited), now);
  }
  ServingChanged();
}

void PlacementKeeper::GoOn(const FormerLease& former, TimePoint now) {
  announcements_.Reset(former, now);
  ServingChanged();
}

void PlacementKeeper::Follow(const std::map<std::string, KnownEndpoint>& endpoints, TimePoint now) {
  const std::size_t before = engines_.size();
  std::erase_if(engines_, [&](const auto& entry) {
    const auto found = endpoints.find(entry.first);
    return found == endpoints.end() || found->second.record.leaving || found->second.gone_at;
  });
  bool changed = before != engines_.size();
  for (const auto& [instance, known] : endpoints) {
    if (known.record.leaving || known.gone_at || engines_.contains(instance)) {
      continue;
    }
    engines_.emplace(instance, EngineState::FromRecord(known.record, now));
    changed = true;
  }
  if (changed) {
    ServingChanged();
  }
}

void PlacementKeeper::AskReports(PlacementEffects& effects, TimePoint now) {
  for (auto& [instance, engine] : engines_) {
    if (!engine.asking && !engine.flight && now >= engine.ask_at) {
      engine.asking = true;
      effects.report_calls.push_back({instance, engine.address, engine.born});
    }
  }
}

void PlacementKeeper::Reported(const std::string& instance,
                               const std::optional<EngineReport>& report,
                               TimePoint now) {
  const auto found = engines_.find(instance);
  if (found != engines_.end() && found->second.TakeReport(report, now)) {
    ServingChanged();
  }
}

void PlacementKeeper::OrderEnded(const PlacementOrder& order,
                                 PlacementOutcome outcome,
                                 TimePoint now) {
  --orders_under_way_;
  const auto found = engines_.find(order.instance);
  if (found != engines_.end() &&
      found->second.OrderEnded(order, outcome, load_times_[order.model], now)) {
    ServingChanged();
  }
}

bool PlacementKeeper::Send(const std::string& instance,
                           EngineState& engine,
                           bool load,
                           const std::string& model,
                           const std::string& adapter,
                           const HeldLease& lease,
                           PlacementEffects& effects,
                           TimePoint now) {
  const bool from_store = load && adapter.empty() && !engine.local_weights.Has(model);
  const OrderScope scope = from_store ? OrderScope::kWeightStore : OrderScope::kLocal;
  // Announced by name: other holders take the lives of one name for one endpoint.
  engine.awaits_announcement = !announcements_.MayOrder(engine.id, scope, lease.announced, now);
  if (engine.awaits_announcement) {
    return false;
  }
  announcements_.Ordered(engine.id, scope, now);
  PlacementOrder order;
  order.instance = instance;
  order.id = engine.id;
  order.address = engine.address;
  order.load = load;
  order.model = model;
  order.adapter = adapter;
  order.expected = engine.orders_taken;
  order.holder = lease.holder;
  order.token = lease.epoch;
  order.valid_until = lease.valid_until;
  engine.OrderSent(order, now);
  ++orders_under_way_;
  if (from_store) {
    pacer_.Started(now);
  }
  effects.orders.push_back(std::move(order));
  return true;
}

// Moves swaps on, and takes adapters into use whose load should be over.
void PlacementKeeper::Advance(const ServiceSpec& service,
                              const std::vector<std::string>& instances,
                              const HeldLease& lease,
                              PlacementEffects& effects,
                              TimePoint now) {
  for (const std::string& instance : instances) {
    EngineState& engine = engines_[instance];
    if (engine.TakeAdapters(now)) {
      ServingChanged();
    }
    if (!engine.swap || !engine.Certain()) {
      continue;
    }
    if (engine.Holds(engine.swap->victim)) {
      if (now >= engine.swap->ready_at) {
        Send(instance, engine, false, engine.swap->victim, "", lease, effects, now);
      }
    } else {
      const std::string newcomer = engine.swap->newcomer;
      if (engine.Holds(newcomer)) {
        engine.swap.reset();
      } else if (engine.local_weights.Has(newcomer) ||
                 pacer_.MayStart(service.engine->loads_per_second, 0, LoadClass::kAskedFor, now)) {
        if (Send(instance, engine, true, newcomer, "", lease, effects, now)) {
          engine.swap.reset();
        }
      }
    }
  }
}

std::size_t PlacementKeeper::PendingSwaps() const {
  return static_cast<std::size_t>(
      std::count_if(engines_.begin(), engines_.end(),
                    [](const auto& entry) { return entry.second.swap.has_value(); }));
}

std::optional<double> PlacementKeeper::LimitOf(const std::string& instance) const {
  if (!limits_) {
    return std::nullopt;
  }
  const auto limit = limits_->find(KeyOf(instance));
  return limit == limits_->end() ? std::nullopt : limit->second.requests_per_second;
}

void PlacementKeeper::Plan(const ServiceSpec& service,
                           const std::vector<std::string>& instances,
                           const DemandBoard& demand,
                           const LoadTable& loads,
                           const HeldLease& lease,
                           PlacementEffects& effects,
                           TimePoint now) {
  PlacementInput input{service.name, *service.engine, {}, demand, now};
  for (const std::string& instance : instances) {
    engines_[instance].awaits_announcement = false;
    const bool resting = announcements_.Resting(engines_[instance].id, now);
    PlanEngine view = engines_[instance].View(instance, *service.engine, resting);
    if (const auto load = loads.find(KeyOf(instance)); load != loads.end()) {
      view.load = load->second;
    }
    view.requests_per_second = LimitOf(instance);
    input.engines.push_back(std::move(view));
  }
  LeaveLimitedOut(input.engines, service.engine->slots);
  const PlacementPlan plan = PlanPlacement(std::move(input));
  LogShortfalls(plan, now);
  for (const AdapterStep& step : plan.adapters) {
    EngineState& engine = engines_[step.instance];
    if (step.victim) {
      Send(step.instance, engine, false, step.victim->first, step.victim->second, lease, effects,
           now);
    } else {
      Send(step.instance, engine, true, step.model, step.adapter, lease, effects, now);
    }
  }
  for (const ModelStep& step : plan.models) {
    const LoadClass load_class = step.asked_for ? LoadClass::kAskedFor : LoadClass::kInCase;
    // Nothing is unloaded for a load that could not start soon after.
    if (step.from_store &&
        !pacer_.MayStart(service.engine->loads_per_second, PendingSwaps(), load_class, now)) {
      continue;
    }
    EngineState& engine = engines_[step.instance];
    if (!step.victim) {
      Send(step.instance, engine, true, step.model, "", lease, effects, now);
      continue;
    }
    engine.swap = ModelSwap{*step.victim, step.model, now + kWithdrawTime};
    // The record names the endpoint by the time that the first order may be sent.
    const OrderScope scope = step.from_store ? OrderScope::kWeightStore : OrderScope::kLocal;
    announcements_.MayOrder(engine.id, scope, lease.announced, now);
    ServingChanged();
    LogLine("swap_planned")
        .With("endpoint", step.instance)
        .With("victim", *step.victim)
        .With("newcomer", step.model)
        .With("asked_for", step.asked_for ? "yes" : "no");
  }
}

// Adds the expected ends of loads of recently requested units, if their orders are under way or
// wait for the engine to accept another order.
void PlacementKeeper::AddForecast(const std::string& service,
                                  const std::vector<std::string>& instances,
                                  const DemandBoard& demand,
                                  LoadForecast& forecast,
                                  TimePoint now) {
  const LackedUnits lacked = FindLackedUnits(service, demand, now);
  if (lacked.empty()) {
    return;
  }
  for (const std::string& instance : instances) {
    const EngineState& engine = engines_[instance];
    if (engine.silent) {
      continue;
    }
    for (const std::string& model : engine.IncomingModels()) {
      if (const auto found = lacked.find(model); found != lacked.end()) {
        const TimePoint ends_at = *engine.LoadEndsAt(model, load_times_[model], now);
        AddExpected(forecast, {service, model, ""}, ends_at);
        for (const std::string& adapter : found->second) {
          AddExpected(forecast, {service, model, adapter}, ends_at + kAdapterLoadTime);
        }
      }
    }
    AddAdapters(engine, service, lacked, forecast, now);
  }
  for (auto& [unit, load] : forecast) {
    if (unit.service == service) {
      load.waiting = demand.Of(unit).waiting;
    }
  }
}

// What demand waits for most, every now and then: the first thing to look at when a model is slow.
void PlacementKeeper::LogShortfalls(const PlacementPlan& plan, TimePoint now) {
  if (plan.shortfalls.empty() || now - shortfalls_logged_at_ < kLogShortfallsEvery) {
    return;
  }
  shortfalls_logged_at_ = now;
  const std::size_t told = std::min(kShortfallsTold, plan.shortfalls.size());
  for (std::size_t i = 0; i < told; ++i) {
    const Shortfall& shortfall = plan.shortfalls[i];
    LogLine("copies_short")
        .With("model", shortfall.model)
        .With("pressure", static_cast<std::uint64_t>(shortfall.pressure))
        .With("copies", shortfall.copies)
        .With("wanted", shortfall.wanted)
        .With("steps_planned", plan.models.size())
        .With("models_short", plan.shortfalls.size());
  }
}

PlacementEffects PlacementKeeper::Tick(const RouteTable& routes,
                                       const std::map<std::string, KnownEndpoint>& endpoints,
                                       const DemandBoard& demand,
                                       const LoadTable& loads,
                                       const HeldLease& lease,
                                       TimePoint now) {
  PlacementEffects effects;
  std::map<std::string, KnownEndpoint> engines;
  std::map<std::string, std::vector<std::string>> by_service;
  for (const auto& [instance, known] : endpoints) {
    const ServiceSpec* service = routes.Service(known.record.service);
    if (service != nullptr && service->engine) {
      engines.emplace(instance, known);
    }
  }
  Follow(engines, now);
  for (const auto& [instance, engine] : engines_) {
    by_service[engines[instance].record.service].push_back(instance);
  }
  AskReports(effects, now);
  for (const auto& [name, instances] : by_service) {
    const ServiceSpec& service = *routes.Service(name);
    for (const ModelSpec& model : service.engine->models) {
      load_times_[model.name] = {model.memory_load_time, model.disk_load_time, model.load_time};
    }
    Advance(service, instances, lease, effects, now);
    Plan(service, instances, demand, loads, lease, effects, now);
    AddForecast(name, instances, demand, effects.forecast, now);
  }
  return effects;
}

ServingList PlacementKeeper::Serving() const {
  ServingList serving;
  for (const auto& [instance, engine] : engines_) {
    if (engine.known) {
      serving.emplace(instance, engine.Serving());
    }
  }
  return serving;
}

}  // namespace rudderloom
