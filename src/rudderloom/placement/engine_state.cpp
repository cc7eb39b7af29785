#include "rudderloom/placement/engine_state.hpp"

#include <algorithm>  // for find_if, max

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

constexpr Duration kReportRetryInterval{250};
constexpr Duration kReportDelayAfterUnload{150};
constexpr Duration kReportDelayAfterConflict{120};
// Reports are about 100 ms old; a report with fewer orders is accepted after this time.
constexpr Duration kReportLag{700};
// After this time an unanswered order counts as not accepted if a report, which is by then newer
// than the order, says so. If the order still arrives, its expected order count prevents it from
// taking effect beside a later one, so waiting longer gains nothing.
constexpr Duration kUnansweredOrderTimeout{900};
// The same for adapters. Their loads start none from the weight store, so a needless repeat costs
// no more than a conflict.
constexpr Duration kUnansweredAdapterTimeout{200};
constexpr Duration kIdleReportInterval{5'000};
constexpr Duration kSilentEngineRetryInterval{800};
// Delay between the acceptance of an adapter load and the adapter's use.
constexpr Duration kAdapterReadyDelay{25};
// Delay until a report shows the end of a load.
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

// Memory in MB that a model or adapter takes.
std::uint64_t MemoryOf(const EngineSpec& spec, const std::string& model) {
  const ModelSpec* known = spec.Find(model);
  return known == nullptr ? 0 : known->memory_mb;
}

std::uint64_t AdapterMemoryOf(const EngineSpec& spec, const std::string& model) {
  const ModelSpec* known = spec.Find(model);
  return known == nullptr ? 0 : known->adapter_memory_mb;
}

// How long a report that does not show the unanswered order leaves its outcome open.
Duration UnansweredTimeout(const std::optional<PlacementOrder>& unanswered) {
  const bool is_adapter = unanswered && !unanswered->adapter.empty();
  return is_adapter ? kUnansweredAdapterTimeout : kUnansweredOrderTimeout;
}

}  // namespace

EngineState EngineState::FromRecord(const EndpointRecord& record, TimePoint now) {
  EngineState engine;
  engine.id = record.id;
  engine.born = record.born;
  engine.address = record.address;
  engine.orders_taken = record.orders_taken;
  engine.models = record.models;
  engine.next_report_at = now;
  return engine;
}

bool EngineState::ApplyReport(const std::optional<EngineReport>& report, TimePoint now) {
  report_requested = false;
  silent = !report;
  next_report_at = now + kSilentEngineRetryInterval;
  if (!report || sent_order) {
    return false;
  }
  const Duration since_order = Between(order_at, now);
  if (report->orders_taken < orders_taken && known && since_order < kReportLag) {
    next_report_at = now + kReportRetryInterval;
    return false;
  }
  const bool newer_orders_taken = report->orders_taken > orders_taken;
  if (uncertain && !newer_orders_taken && since_order < UnansweredTimeout(unanswered)) {
    next_report_at = now + kReportRetryInterval;
    return false;
  }
  bool changed = models != report->models;
  known = true;
  unanswered.reset();
  uncertain = false;
  busy = report->busy;
  orders_taken = report->orders_taken;
  pending_adapters = report->pending_adapters;
  local_weights = report->local_weights;
  models = report->models;
  if (running_order && !report->busy) {
    LogOrder(*running_order, "done");
    running_order.reset();
    changed = true;
  }
  next_report_at = now + (report->busy ? kReportRetryInterval : kIdleReportInterval);
  return changed;
}

void EngineState::OrderSent(const PlacementOrder& order, TimePoint now) {
  sent_order = order;
  order_at = now;
}

bool EngineState::ApplyOrder(const PlacementOrder& order) {
  orders_taken = order.expected + 1;
  if (order.adapter.empty()) {
    busy = true;
    running_order = order;
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
  if (!sent_order) {
    return false;
  }
  sent_order.reset();
  order_at = now;
  switch (outcome) {
    case PlacementOutcome::kAccepted: {
      const bool changed = ApplyOrder(order);
      if (order.adapter.empty()) {
        next_report_at =
            now + (order.load ? ExpectedLoadTime(order.model, times) : kReportDelayAfterUnload);
        running_ends_at = next_report_at;
      }
      return changed;
    }
    case PlacementOutcome::kHoldsAlready: {
      if (order.load) {
        uncertain = true;
        next_report_at = now + kReportDelayAfterConflict;
        return false;
      }
      const bool changed = ApplyOrder(order);
      busy = false;
      running_order.reset();
      if (order.adapter.empty()) {
        uncertain = true;
        next_report_at = now + kReportDelayAfterConflict;
      }
      return changed;
    }
    case PlacementOutcome::kNotSent:
    case PlacementOutcome::kLapsed:
    case PlacementOutcome::kRefused:
      known = false;
      next_report_at = now + kReportRetryInterval;
      swap.reset();
      return true;
    case PlacementOutcome::kConflict:
      // The order was not carried out; a report will show the actual state.
      known = false;
      next_report_at = now + kReportDelayAfterConflict;
      return false;
    case PlacementOutcome::kFenced:
    case PlacementOutcome::kUnknown:
      uncertain = true;
      unanswered = order;
      next_report_at = now + kReportRetryInterval;
      return false;
  }
  return false;
}

TimePoint EngineState::NextOrderAt(TimePoint now) const {
  if (sent_order || uncertain) {
    // An order without an answer may be confirmed by any report.
    return now + kOrderAnswerTime;
  }
  if (running_order) {
    return std::max(running_ends_at, now);
  }
  return Certain() ? now : std::max(next_report_at, now) + kOrderAnswerTime;
}

std::optional<TimePoint> EngineState::LoadEndsAt(const std::string& model,
                                                 const LoadTimes& times,
                                                 TimePoint now) const {
  const auto is_load_of_model = [&](const std::optional<PlacementOrder>& order) {
    return order && order->load && order->adapter.empty() && order->model == model;
  };
  const Duration load_time = ExpectedLoadTime(model, times);
  if (is_load_of_model(running_order)) {
    return std::max(running_ends_at, now);
  }
  if (is_load_of_model(sent_order)) {
    return std::max(order_at + load_time, now);
  }
  if (is_load_of_model(unanswered)) {
    // Assumes that the order was accepted and, once its load time is over, that it is sent again.
    const TimePoint ends_if_accepted = order_at + load_time;
    return ends_if_accepted >= now ? ends_if_accepted : NextOrderAt(now) + load_time;
  }
  if (swap && swap->replacement == model) {
    const TimePoint unloaded_at =
        Holds(swap->victim) ? std::max(swap->ready_at, NextOrderAt(now)) + kReportDelayAfterUnload
                            : NextOrderAt(now);
    return unloaded_at + load_time;
  }
  return std::nullopt;
}

std::set<std::string> EngineState::IncomingModels() const {
  std::set<std::string> incoming;
  for (const auto& order : {sent_order, running_order, unanswered}) {
    if (order && order->load && order->adapter.empty()) {
      incoming.insert(order->model);
    }
  }
  if (swap) {
    incoming.insert(swap->replacement);
  }
  return incoming;
}

bool EngineState::MarkLoadedAdapters(TimePoint now) {
  bool changed = false;
  std::erase_if(adapter_loaded, [&](const auto& entry) {
    if (now - entry.second < kAdapterReadyDelay) {
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

PlanEngine EngineState::ToPlanEngine(const std::string& instance,
                                     const EngineSpec& spec,
                                     bool blocked) const {
  PlanEngine plan_engine;
  plan_engine.instance = instance;
  for (const ResidentModel& model : models) {
    plan_engine.models[model.name] = model.adapters;
    plan_engine.resident.insert(model.name);
    plan_engine.memory_used += MemoryOf(spec, model.name);
    plan_engine.memory_used += AdapterMemoryOf(spec, model.name) * model.adapters.size();
    plan_engine.adapters += static_cast<std::uint32_t>(model.adapters.size());
  }
  for (const std::string& pending : pending_adapters) {
    const std::size_t slash = pending.find('/');
    const std::string model = pending.substr(0, slash);
    plan_engine.memory_used += AdapterMemoryOf(spec, model);
    plan_engine.adapters += 1;
    plan_engine.models[model].insert(pending.substr(slash + 1));
  }
  // A model that is or may be loading counts as held; one being unloaded does not.
  for (const auto& order : {sent_order, running_order}) {
    if (order && order->adapter.empty() && order->load &&
        !plan_engine.models.contains(order->model)) {
      plan_engine.models[order->model];
      plan_engine.memory_used += MemoryOf(spec, order->model);
    } else if (order && order->adapter.empty() && !order->load) {
      plan_engine.models.erase(order->model);
    }
  }
  if (swap) {
    plan_engine.models.erase(swap->victim);
    plan_engine.resident.erase(swap->victim);
    plan_engine.models[swap->replacement];
  }
  if (unanswered && unanswered->load && !unanswered->adapter.empty() && !silent) {
    plan_engine.unanswered_adapter = {unanswered->model, unanswered->adapter};
  }
  plan_engine.local_weights = local_weights;
  plan_engine.takes_adapters = Certain() && !blocked;
  plan_engine.takes_models = plan_engine.takes_adapters && !swap && !running_order;
  return plan_engine;
}

std::vector<ResidentModel> EngineState::Serving() const {
  std::vector<ResidentModel> serving;
  for (const ResidentModel& model : models) {
    const bool unloading = running_order && !running_order->load &&
                           running_order->adapter.empty() && running_order->model == model.name;
    if (!unloading && !(swap && swap->victim == model.name)) {
      serving.push_back(model);
    }
  }
  return serving;
}

}  // namespace rudderloom
