#include "rudderloom/placement/engine_state.hpp"

#include <algorithm>  // for find_if, max

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

constexpr Duration kAskAgain{250};
constexpr Duration kAskAfterUnload{150};
constexpr Duration kAskAfterConflict{120};
// Reports are some 100 ms old; one that shows fewer orders after this time is right.
constexpr Duration kReportLag{700};
// From then on an order without an answer counts as not taken if a report says so, which is by then
// newer than the order. Should the order come yet, the count of orders that it names keeps it from
// taking effect beside a later one, so nothing is gained by waiting longer.
constexpr Duration kGiveUpOrder{900};
constexpr Duration kAskIdle{5'000};
constexpr Duration kAskSilent{800};
// An adapter is used a moment after its load was accepted.
constexpr Duration kAdapterTime{25};
// A report shows a load's end this much later.
constexpr Duration kReportDelay{120};
// Expected time until an order is answered.
constexpr Duration kOrderAnswerTime{50};

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

// Memory and places that a model or adapter takes.
std::uint64_t MemoryOf(const EngineSpec& spec, const std::string& model) {
  const ModelSpec* known = spec.Find(model);
  return known == nullptr ? 0 : known->memory_mb;
}

std::uint64_t AdapterMemoryOf(const EngineSpec& spec, const std::string& model) {
  const ModelSpec* known = spec.Find(model);
  return known == nullptr ? 0 : known->adapter_memory_mb;
}

}  // namespace

EngineState EngineState::FromRecord(const EndpointRecord& record, TimePoint now) {
  EngineState engine;
  engine.id = record.id;
  engine.born = record.born;
  engine.address = record.address;
  engine.orders_taken = record.orders_taken;
  engine.models = record.models;
  engine.ask_at = now;
  return engine;
}

bool EngineState::TakeReport(const std::optional<EngineReport>& report, TimePoint now) {
  asking = false;
  silent = !report;
  ask_at = now + kAskSilent;
  if (!report || flight) {
    return false;
  }
  const Duration since_order = Between(order_at, now);
  if (report->orders_taken < orders_taken && known && since_order < kReportLag) {
    ask_at = now + kAskAgain;
    return false;
  }
  const bool taken = report->orders_taken > orders_taken;
  if (doubtful && !taken && since_order < kGiveUpOrder) {
    ask_at = now + kAskAgain;
    return false;
  }
  bool changed = models != report->models;
  known = true;
  unanswered.reset();
  doubtful = false;
  busy = report->busy;
  orders_taken = report->orders_taken;
  pending_adapters = report->pending_adapters;
  local_weights = report->local_weights;
  models = report->models;
  if (running && !report->busy) {
    LogOrder(*running, "done");
    running.reset();
    changed = true;
  }
  ask_at = now + (report->busy ? kAskAgain : kAskIdle);
  return changed;
}

void EngineState::OrderSent(const PlacementOrder& order, TimePoint now) {
  flight = order;
  order_at = now;
}

bool EngineState::Carried(const PlacementOrder& order) {
  orders_taken = order.expected + 1;
  if (order.adapter.empty()) {
    busy = true;
    running = order;
    return false;
  }
  const std::string key = AdapterKey(order.model, order.adapter);
  ResidentModel* model = Find(models, order.model);
  if (order.load) {
    pending_adapters.insert(key);
    adapter_loaded[key] = order_at;
    return false;
  }
  if (model == nullptr) {
    return false;
  }
  model->adapters.erase(order.adapter);
  return true;
}

Duration EngineState::ExpectedLoadTime(const std::string& model, const LoadTimes& times) const {
  if (local_weights.in_memory.contains(model)) {
    return times.from_memory + kReportDelay;
  }
  return (local_weights.on_disk.contains(model) ? times.from_disk : times.from_store) +
         kReportDelay;
}

bool EngineState::OrderEnded(const PlacementOrder& order,
                             PlacementOutcome outcome,
                             const LoadTimes& times,
                             TimePoint now) {
  LogOrder(order, NameOf(outcome));
  if (!flight) {
    return false;
  }
  flight.reset();
  order_at = now;
  switch (outcome) {
    case PlacementOutcome::kAccepted: {
      const bool changed = Carried(order);
      if (order.adapter.empty()) {
        ask_at = now + (order.load ? ExpectedLoadTime(order.model, times) : kAskAfterUnload);
        running_ends_at = ask_at;
      }
      return changed;
    }
    case PlacementOutcome::kHoldsAlready: {
      if (order.load) {
        doubtful = true;
        ask_at = now + kAskAfterConflict;
        return false;
      }
      const bool changed = Carried(order);
      busy = false;
      running.reset();
      if (order.adapter.empty()) {
        doubtful = true;
        ask_at = now + kAskAfterConflict;
      }
      return changed;
    }
    case PlacementOutcome::kNotSent:
    case PlacementOutcome::kLapsed:
    case PlacementOutcome::kRefused:
      known = false;
      ask_at = now + kAskAgain;
      swap.reset();
      return true;
    case PlacementOutcome::kConflict:
      // What the order wanted did not happen; a report tells what did.
      known = false;
      ask_at = now + kAskAfterConflict;
      return false;
    case PlacementOutcome::kFenced:
    case PlacementOutcome::kUnknown:
      doubtful = true;
      unanswered = order;
      ask_at = now + kAskAgain;
      return false;
  }
  return false;
}

TimePoint EngineState::NextOrderAt(TimePoint now) const {
  if (flight || doubtful) {
    // An order without an answer may be confirmed by any report.
    return now + kOrderAnswerTime;
  }
  if (running) {
    return std::max(running_ends_at, now);
  }
  return Certain() ? now : std::max(ask_at, now) + kOrderAnswerTime;
}

std::optional<TimePoint> EngineState::LoadEndsAt(const std::string& model,
                                                 const LoadTimes& times,
                                                 TimePoint now) const {
  const auto loads = [&](const std::optional<PlacementOrder>& order) {
    return order && order->load && order->adapter.empty() && order->model == model;
  };
  const Duration load_time = ExpectedLoadTime(model, times);
  if (loads(running)) {
    return std::max(running_ends_at, now);
  }
  if (loads(flight)) {
    return std::max(order_at + load_time, now);
  }
  if (loads(unanswered)) {
    // Assumes that the order was accepted and, once its load time is over, that it is sent again.
    const TimePoint ends_if_accepted = order_at + load_time;
    return ends_if_accepted >= now ? ends_if_accepted : NextOrderAt(now) + load_time;
  }
  if (swap && swap->newcomer == model) {
    const TimePoint unloaded_at = Holds(swap->victim)
                                      ? std::max(swap->ready_at, NextOrderAt(now)) + kAskAfterUnload
                                      : NextOrderAt(now);
    return unloaded_at + load_time;
  }
  return std::nullopt;
}

std::set<std::string> EngineState::IncomingModels() const {
  std::set<std::string> incoming;
  for (const auto& order : {flight, running, unanswered}) {
    if (order && order->load && order->adapter.empty()) {
      incoming.insert(order->model);
    }
  }
  if (swap) {
    incoming.insert(swap->newcomer);
  }
  return incoming;
}

bool EngineState::TakeAdapters(TimePoint now) {
  bool changed = false;
  std::erase_if(adapter_loaded, [&](const auto& entry) {
    if (now - entry.second < kAdapterTime) {
      return false;
    }
    const std::size_t slash = entry.first.find('/');
    pending_adapters.erase(entry.first);
    if (ResidentModel* model = Find(models, entry.first.substr(0, slash))) {
      model->adapters.insert(entry.first.substr(slash + 1));
      changed = true;
    }
    return true;
  });
  return changed;
}

PlanEngine EngineState::View(const std::string& instance,
                             const EngineSpec& spec,
                             bool resting) const {
  PlanEngine view;
  view.instance = instance;
  for (const ResidentModel& model : models) {
    view.models[model.name] = model.adapters;
    view.resident.insert(model.name);
    view.memory_used += MemoryOf(spec, model.name);
    view.memory_used += AdapterMemoryOf(spec, model.name) * model.adapters.size();
    view.adapters += static_cast<std::uint32_t>(model.adapters.size());
  }
  for (const std::string& pending : pending_adapters) {
    const std::size_t slash = pending.find('/');
    const std::string model = pending.substr(0, slash);
    view.memory_used += AdapterMemoryOf(spec, model);
    view.adapters += 1;
    view.models[model].insert(pending.substr(slash + 1));
  }
  // A model that is under way, or may be, counts as there; one that is leaving does not.
  for (const auto& order : {flight, running}) {
    if (order && order->adapter.empty() && order->load && !view.models.contains(order->model)) {
      view.models[order->model];
      view.memory_used += MemoryOf(spec, order->model);
    } else if (order && order->adapter.empty() && !order->load) {
      view.models.erase(order->model);
    }
  }
  if (swap) {
    view.models.erase(swap->victim);
    view.resident.erase(swap->victim);
    view.models[swap->newcomer];
  }
  if (unanswered && unanswered->load && !unanswered->adapter.empty() && !silent) {
    view.unanswered_adapter = {unanswered->model, unanswered->adapter};
  }
  view.local_weights = local_weights;
  view.takes_adapters = Certain() && !resting;
  view.takes_models = view.takes_adapters && !swap && !running;
  return view;
}

std::vector<ResidentModel> EngineState::Serving() const {
  std::vector<ResidentModel> serving;
  for (const ResidentModel& model : models) {
    const bool unloading =
        running && !running->load && running->adapter.empty() && running->model == model.name;
    if (!unloading && !(swap && swap->victim == model.name)) {
      serving.push_back(model);
    }
  }
  return serving;
}

}  // namespace rudderloom
