#include "rudderloom/placement/placement_keeper.hpp"

#include <algorithm>  // for max, min

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

// Requests that are on their way to a model must have arrived before it is unloaded.
constexpr Duration kWithdrawTime{400};
constexpr Duration kAskAgain{250};
constexpr Duration kAskAfterUnload{150};
constexpr Duration kAskAfterConflict{120};
// Reports are some 100 ms old; one that shows fewer orders after this time is right.
constexpr Duration kReportLag{700};
// From then on an order without an answer counts as not taken; should it come yet, the count of
// orders that it names keeps it from taking effect beside a later one.
constexpr Duration kGiveUpOrder{2'500};
constexpr Duration kAskIdle{5'000};
constexpr Duration kAskSilent{800};
// An adapter is used a moment after its load was accepted.
constexpr Duration kAdapterTime{25};
// A report shows a load's end this much later.
constexpr Duration kReportDelay{120};

std::string AdapterKey(const std::string& model, const std::string& adapter) {
  return model + "/" + adapter;
}

ResidentModel* Find(std::vector<ResidentModel>& models, const std::string& name) {
  const auto found = std::find_if(models.begin(), models.end(),
                                  [&](const ResidentModel& model) { return model.name == name; });
  return found == models.end() ? nullptr : &*found;
}

void LogOrder(const PlacementOrder& order, std::string_view outcome) {
  LogLine("order")
      .With("endpoint", order.instance)
      .With("operation", order.load ? "load" : "unload")
      .With("model", order.model)
      .With("adapter", order.adapter)
      .With("expected", order.expected)
      .With("token", order.token)
      .With("outcome", outcome);
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
    Engine& engine = engines_[instance];
    engine.address = known.record.address;
    engine.orders_taken = known.record.orders_taken;
    engine.models = known.record.models;
    engine.ask_at = now;
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
      effects.report_calls.push_back({instance, engine.address});
    }
  }
}

void PlacementKeeper::Reported(const std::string& instance,
                               const std::optional<EngineReport>& report,
                               TimePoint now) {
  const auto found = engines_.find(instance);
  if (found == engines_.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.asking = false;
  engine.ask_at = now + kAskSilent;
  if (!report || engine.flight) {
    return;
  }
  const Duration since_order = Between(engine.order_at, now);
  if (report->orders_taken < engine.orders_taken && engine.known && since_order < kReportLag) {
    engine.ask_at = now + kAskAgain;
    return;
  }
  const bool taken = report->orders_taken > engine.orders_taken;
  if (engine.doubtful && !taken && since_order < kGiveUpOrder) {
    engine.ask_at = now + kAskAgain;
    return;
  }
  engine.known = true;
  engine.doubtful = false;
  engine.busy = report->busy;
  engine.orders_taken = report->orders_taken;
  engine.pending_adapters = report->pending_adapters;
  engine.local_weights = report->local_weights;
  if (engine.models != report->models) {
    engine.models = report->models;
    ServingChanged();
  }
  if (engine.running && !report->busy) {
    LogOrder(*engine.running, "done");
    engine.running.reset();
    ServingChanged();
  }
  engine.ask_at = now + (report->busy ? kAskAgain : kAskIdle);
}

void PlacementKeeper::Carried(Engine& engine, const PlacementOrder& order) {
  engine.orders_taken = order.expected + 1;
  if (order.adapter.empty()) {
    engine.busy = true;
    engine.running = order;
    return;
  }
  const std::string key = AdapterKey(order.model, order.adapter);
  ResidentModel* model = Find(engine.models, order.model);
  if (order.load) {
    engine.pending_adapters.insert(key);
    engine.adapter_loaded[key] = engine.order_at;
  } else if (model != nullptr) {
    model->adapters.erase(order.adapter);
    ServingChanged();
  }
}

Duration PlacementKeeper::ExpectedLoadTime(const Engine& engine, const std::string& model) const {
  const auto found = load_times_.find(model);
  const LoadTimes times = found == load_times_.end() ? LoadTimes() : found->second;
  if (engine.local_weights.in_memory.contains(model)) {
    return times.from_memory + kReportDelay;
  }
  return (engine.local_weights.on_disk.contains(model) ? times.from_disk : times.from_store) +
         kReportDelay;
}

void PlacementKeeper::OrderEnded(const PlacementOrder& order,
                                 PlacementOutcome outcome,
                                 TimePoint now) {
  LogOrder(order, NameOf(outcome));
  const auto found = engines_.find(order.instance);
  if (found == engines_.end() || !found->second.flight) {
    return;
  }
  Engine& engine = found->second;
  engine.flight.reset();
  engine.order_at = now;
  switch (outcome) {
    case PlacementOutcome::kAccepted: {
      Carried(engine, order);
      if (order.adapter.empty()) {
        engine.ask_at =
            now + (order.load ? ExpectedLoadTime(engine, order.model) : kAskAfterUnload);
      }
      return;
    }
    case PlacementOutcome::kHoldsAlready:
      if (!order.load) {
        Carried(engine, order);
        engine.busy = false;
        engine.running.reset();
        if (order.adapter.empty()) {
          engine.doubtful = true;
          engine.ask_at = now + kAskAfterConflict;
        }
        return;
      }
      engine.doubtful = true;
      engine.ask_at = now + kAskAfterConflict;
      return;
    case PlacementOutcome::kNotSent:
    case PlacementOutcome::kRefused:
      engine.known = false;
      engine.ask_at = now + kAskAgain;
      engine.swap.reset();
      ServingChanged();
      return;
    case PlacementOutcome::kConflict:
      // What the order wanted did not happen; a report tells what did.
      engine.known = false;
      engine.ask_at = now + kAskAfterConflict;
      return;
    case PlacementOutcome::kFenced:
    case PlacementOutcome::kUnknown:
      engine.doubtful = true;
      engine.ask_at = now + kAskAgain;
      return;
  }
}

bool PlacementKeeper::Send(const std::string& instance,
                           Engine& engine,
                           bool load,
                           const std::string& model,
                           const std::string& adapter,
                           const HeldLease& lease,
                           PlacementEffects& effects,
                           TimePoint now) {
  const bool from_store = load && adapter.empty() && !engine.local_weights.Has(model);
  const OrderScope scope = from_store ? OrderScope::kWeightStore : OrderScope::kLocal;
  if (!announcements_.MayOrder(instance, scope, lease.announced, now)) {
    return false;
  }
  announcements_.Ordered(instance, scope, now);
  PlacementOrder order;
  order.instance = instance;
  order.address = engine.address;
  order.load = load;
  order.model = model;
  order.adapter = adapter;
  order.expected = engine.orders_taken;
  order.holder = lease.holder;
  order.token = lease.epoch;
  order.valid_until = lease.valid_until;
  engine.flight = order;
  engine.order_at = now;
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
    Engine& engine = engines_[instance];
    std::erase_if(engine.adapter_loaded, [&](const auto& entry) {
      if (now - entry.second < kAdapterTime) {
        return false;
      }
      const std::size_t slash = entry.first.find('/');
      engine.pending_adapters.erase(entry.first);
      if (ResidentModel* model = Find(engine.models, entry.first.substr(0, slash))) {
        model->adapters.insert(entry.first.substr(slash + 1));
        ServingChanged();
      }
      return true;
    });
    if (!engine.swap || !engine.known || engine.doubtful || engine.busy || engine.flight) {
      continue;
    }
    if (Find(engine.models, engine.swap->victim) != nullptr) {
      if (now >= engine.swap_ready_at) {
        Send(instance, engine, false, engine.swap->victim, "", lease, effects, now);
      }
    } else {
      const std::string newcomer = engine.swap->newcomer;
      if (Find(engine.models, newcomer) != nullptr) {
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

PlanEngine PlacementKeeper::EngineView(const std::string& instance,
                                       const Engine& engine,
                                       const EngineSpec& spec,
                                       const LoadTable& loads,
                                       TimePoint now) const {
  PlanEngine view;
  view.instance = instance;
  for (const ResidentModel& model : engine.models) {
    const ModelSpec* known = spec.Find(model.name);
    const std::uint64_t adapter_memory = known == nullptr ? 0 : known->adapter_memory_mb;
    view.models[model.name] = model.adapters;
    view.resident.insert(model.name);
    view.memory_used += known == nullptr ? 0 : known->memory_mb;
    view.memory_used += adapter_memory * model.adapters.size();
    view.adapters += static_cast<std::uint32_t>(model.adapters.size());
  }
  for (const std::string& pending : engine.pending_adapters) {
    const std::size_t slash = pending.find('/');
    const ModelSpec* known = spec.Find(pending.substr(0, slash));
    view.memory_used += known == nullptr ? 0 : known->adapter_memory_mb;
    view.adapters += 1;
    view.models[pending.substr(0, slash)].insert(pending.substr(slash + 1));
  }
  // A model that is under way, or may be, counts as there; one that is leaving does not.
  for (const auto& order : {engine.flight, engine.running}) {
    if (order && order->adapter.empty() && order->load && !view.models.contains(order->model)) {
      const ModelSpec* known = spec.Find(order->model);
      view.models[order->model];
      view.memory_used += known == nullptr ? 0 : known->memory_mb;
    } else if (order && order->adapter.empty() && !order->load) {
      view.models.erase(order->model);
    }
  }
  if (engine.swap) {
    view.models.erase(engine.swap->victim);
    view.resident.erase(engine.swap->victim);
    view.models[engine.swap->newcomer];
  }
  const bool certain = engine.known && !engine.doubtful && !engine.flight && !engine.busy &&
                       !announcements_.Resting(instance, now);
  view.local_weights = engine.local_weights;
  view.takes_models = certain && !engine.swap && !engine.running;
  view.takes_adapters = certain;
  const auto load = loads.find(KeyOf(instance));
  view.load = load == loads.end() ? EndpointLoad() : load->second;
  return view;
}

std::size_t PlacementKeeper::PendingSwaps() const {
  return static_cast<std::size_t>(
      std::count_if(engines_.begin(), engines_.end(),
                    [](const auto& entry) { return entry.second.swap.has_value(); }));
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
    input.engines.push_back(EngineView(instance, engines_[instance], *service.engine, loads, now));
  }
  const PlacementPlan plan = PlanPlacement(std::move(input));
  for (const AdapterStep& step : plan.adapters) {
    Engine& engine = engines_[step.instance];
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
    Engine& engine = engines_[step.instance];
    if (!step.victim) {
      Send(step.instance, engine, true, step.model, "", lease, effects, now);
      continue;
    }
    engine.swap = Swap{*step.victim, step.model};
    // The record names the endpoint by the time that the first order may be sent.
    const OrderScope scope = step.from_store ? OrderScope::kWeightStore : OrderScope::kLocal;
    announcements_.MayOrder(step.instance, scope, lease.announced, now);
    engine.swap_ready_at = now + kWithdrawTime;
    ServingChanged();
    LogLine("swap_planned")
        .With("endpoint", step.instance)
        .With("victim", *step.victim)
        .With("newcomer", step.model)
        .With("asked_for", step.asked_for ? "yes" : "no");
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
  }
  return effects;
}

ServingList PlacementKeeper::Serving() const {
  ServingList serving;
  for (const auto& [instance, engine] : engines_) {
    if (!engine.known) {
      continue;
    }
    std::vector<ResidentModel> models;
    for (const ResidentModel& model : engine.models) {
      const bool withdrawn =
          (engine.swap && engine.swap->victim == model.name) ||
          (engine.running && !engine.running->load && engine.running->adapter.empty() &&
           engine.running->model == model.name);
      if (!withdrawn) {
        models.push_back(model);
      }
    }
    serving.emplace(instance, std::move(models));
  }
  return serving;
}

}  // namespace rudderloom
