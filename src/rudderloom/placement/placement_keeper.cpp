#include "rudderloom/placement/placement_keeper.hpp"

#include <algorithm>  // for count_if, min

#include "rudderloom/base/log_line.hpp"              // for LogLine
#include "rudderloom/placement/limited_engines.hpp"  // for LeaveLimitedOut

namespace rudderloom {

namespace {

// Requests in transit to a model must arrive before it is unloaded.
constexpr Duration kDrainTime{400};
constexpr Duration kLogShortfallsEvery{1'000};
constexpr std::size_t kMaxLoggedShortfalls = 3;
// Expected time from the acceptance of an order until the adapter can be used.
constexpr Duration kAdapterLoadTime{80};
// Units whose last request is older are left out of the forecast.
constexpr Duration kDemandWindow{2'000};

// Recently requested models and adapters without running requests: the adapters by their model, an
// empty list where only the model itself was requested.
using UnservedUnits = std::map<std::string, std::vector<std::string>>;

UnservedUnits FindUnservedUnits(const std::string& service,
                                const DemandTracker& demand,
                                TimePoint now) {
  UnservedUnits unserved;
  for (const auto& [unit, unit_demand] : demand.Units()) {
    if (unit.service != service || unit_demand.running > 0 ||
        now - unit_demand.last_requested_at > kDemandWindow) {
      continue;
    }
    std::vector<std::string>& adapters = unserved[unit.model];
    if (!unit.adapter.empty()) {
      adapters.push_back(unit.adapter);
    }
  }
  return unserved;
}

// Adds the expected ends of adapter loads on models that the engine holds.
void AddAdapterForecast(const EngineState& engine,
                        const std::string& service,
                        const UnservedUnits& unserved,
                        LoadForecast& forecast,
                        TimePoint now) {
  const bool accepts_order = engine.Certain() && !engine.awaits_announcement;
  if (accepts_order && engine.pending_adapters.empty()) {
    return;
  }
  for (const ResidentModel& model : engine.models) {
    const auto found = unserved.find(model.name);
    if (found == unserved.end()) {
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
  if (former.former_holder != FormerHolder::kThisProcess) {
    pacer_.AssumeStarted(CountWeightStore(former.own) + CountWeightStore(former.inherited), now);
  }
  IncrementServingVersion();
}

void PlacementKeeper::ContinueLease(const FormerLease& former, TimePoint now) {
  announcements_.Reset(former, now);
  IncrementServingVersion();
}

void PlacementKeeper::UpdateEngines(const std::map<std::string, KnownEndpoint>& endpoints,
                                    TimePoint now) {
  const std::size_t before = engines_.size();
  std::erase_if(engines_, [&](const auto& entry) {
    const auto found = endpoints.find(entry.first);
    return found == endpoints.end() || found->second.record.leaving || found->second.unlisted_since;
  });
  bool changed = before != engines_.size();
  for (const auto& [instance, known] : endpoints) {
    if (known.record.leaving || known.unlisted_since || engines_.contains(instance)) {
      continue;
    }
    engines_.emplace(instance, EngineState::FromRecord(known.record, now));
    changed = true;
  }
  if (changed) {
    IncrementServingVersion();
  }
}

void PlacementKeeper::RequestReports(PlacementEffects& effects, TimePoint now) {
  for (auto& [instance, engine] : engines_) {
    if (!engine.report_requested && !engine.sent_order && now >= engine.next_report_at) {
      engine.report_requested = true;
      effects.report_calls.push_back({instance, engine.address, engine.born});
    }
  }
}

void PlacementKeeper::OnReport(const std::string& instance,
                               const std::optional<EngineReport>& report,
                               TimePoint now) {
  const auto found = engines_.find(instance);
  if (found != engines_.end() && found->second.ApplyReport(report, now)) {
    IncrementServingVersion();
  }
}

void PlacementKeeper::OrderEnded(const PlacementOrder& order,
                                 PlacementOutcome outcome,
                                 TimePoint now) {
  --orders_in_flight_;
  const auto found = engines_.find(order.instance);
  if (found != engines_.end() &&
      found->second.OrderEnded(order, outcome, load_times_[order.model], now)) {
    IncrementServingVersion();
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
  // Announced by endpoint name: other holders treat all instances of a name as one endpoint.
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
  ++orders_in_flight_;
  if (from_store) {
    pacer_.Started(now);
  }
  effects.orders.push_back(std::move(order));
  return true;
}

// Advances swaps and marks adapters as available whose loads should have finished.
void PlacementKeeper::AdvanceSwaps(const ServiceSpec& service,
                                   const std::vector<std::string>& instances,
                                   const HeldLease& lease,
                                   PlacementEffects& effects,
                                   TimePoint now) {
  for (const std::string& instance : instances) {
    EngineState& engine = engines_[instance];
    if (engine.MarkLoadedAdapters(now)) {
      IncrementServingVersion();
    }
    if (!engine.swap || !engine.Certain()) {
      continue;
    }
    if (engine.Holds(engine.swap->victim)) {
      if (now >= engine.swap->ready_at) {
        Send(instance, engine, false, engine.swap->victim, "", lease, effects, now);
      }
    } else {
      const std::string replacement = engine.swap->replacement;
      if (engine.Holds(replacement)) {
        engine.swap.reset();
      } else if (engine.local_weights.Has(replacement) ||
                 pacer_.MayStart(service.engine->loads_per_second, 0, LoadClass::kRequested, now)) {
        if (Send(instance, engine, true, replacement, "", lease, effects, now)) {
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
                           const DemandTracker& demand,
                           const LoadTable& loads,
                           const HeldLease& lease,
                           PlacementEffects& effects,
                           TimePoint now) {
  PlacementInput input{service.name, *service.engine, {}, demand, now};
  for (const std::string& instance : instances) {
    engines_[instance].awaits_announcement = false;
    const bool blocked = announcements_.IsBlocked(engines_[instance].id, now);
    PlanEngine plan_engine = engines_[instance].ToPlanEngine(instance, *service.engine, blocked);
    if (const auto load = loads.find(KeyOf(instance)); load != loads.end()) {
      plan_engine.load = load->second;
    }
    plan_engine.requests_per_second = LimitOf(instance);
    input.engines.push_back(std::move(plan_engine));
  }
  ExcludeLimitedEngines(input.engines, service.engine->slots);
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
    const LoadClass load_class = step.requested ? LoadClass::kRequested : LoadClass::kSpeculative;
    // Unloads nothing for a load that could not start soon afterwards.
    if (step.from_store &&
        !pacer_.MayStart(service.engine->loads_per_second, PendingSwaps(), load_class, now)) {
      continue;
    }
    EngineState& engine = engines_[step.instance];
    if (!step.victim) {
      Send(step.instance, engine, true, step.model, "", lease, effects, now);
      continue;
    }
    engine.swap = ModelSwap{*step.victim, step.model, now + kDrainTime};
    // Requests the announcement now so that the record lists the endpoint when the first order may
    // be sent.
    const OrderScope scope = step.from_store ? OrderScope::kWeightStore : OrderScope::kLocal;
    announcements_.MayOrder(engine.id, scope, lease.announced, now);
    IncrementServingVersion();
    LogLine("swap_planned")
        .With("endpoint", step.instance)
        .With("victim", *step.victim)
        .With("replacement", step.model)
        .With("asked_for", step.requested ? "yes" : "no");
  }
}

// Adds the expected ends of loads of recently requested units whose orders are in progress or wait
// until the engine accepts another order.
void PlacementKeeper::AddForecast(const std::string& service,
                                  const std::vector<std::string>& instances,
                                  const DemandTracker& demand,
                                  LoadForecast& forecast,
                                  TimePoint now) {
  const UnservedUnits unserved = FindUnservedUnits(service, demand, now);
  if (unserved.empty()) {
    return;
  }
  for (const std::string& instance : instances) {
    const EngineState& engine = engines_[instance];
    if (engine.silent) {
      continue;
    }
    for (const std::string& model : engine.IncomingModels()) {
      if (const auto found = unserved.find(model); found != unserved.end()) {
        const TimePoint ends_at = *engine.LoadEndsAt(model, load_times_[model], now);
        AddExpected(forecast, {service, model, ""}, ends_at);
        for (const std::string& adapter : found->second) {
          AddExpected(forecast, {service, model, adapter}, ends_at + kAdapterLoadTime);
        }
      }
    }
    AddAdapterForecast(engine, service, unserved, forecast, now);
  }
  for (auto& [unit, load] : forecast) {
    if (unit.service == service) {
      load.waiting = demand.DemandFor(unit).waiting;
    }
  }
}

// Periodically logs the models with the most unmet demand, the first place to look when a model is
// slow.
void PlacementKeeper::LogShortfalls(const PlacementPlan& plan, TimePoint now) {
  if (plan.shortfalls.empty() || now - shortfalls_logged_at_ < kLogShortfallsEvery) {
    return;
  }
  shortfalls_logged_at_ = now;
  const std::size_t logged_count = std::min(kMaxLoggedShortfalls, plan.shortfalls.size());
  for (std::size_t i = 0; i < logged_count; ++i) {
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
                                       const DemandTracker& demand,
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
  UpdateEngines(engines, now);
  for (const auto& [instance, engine] : engines_) {
    by_service[engines[instance].record.service].push_back(instance);
  }
  RequestReports(effects, now);
  for (const auto& [name, instances] : by_service) {
    const ServiceSpec& service = *routes.Service(name);
    for (const ModelSpec& model : service.engine->models) {
      load_times_[model.name] = {model.memory_load_time, model.disk_load_time, model.load_time};
    }
    AdvanceSwaps(service, instances, lease, effects, now);
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
