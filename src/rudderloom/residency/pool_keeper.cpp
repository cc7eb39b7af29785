#include "rudderloom/residency/pool_keeper.hpp"

#include <algorithm>  // for find_if, max
#include <utility>    // for move

namespace rudderloom {

namespace {

// Maximum age of a load report; a unit missing from reports for longer is really gone.
constexpr Duration kReportLag{3'000};
// Delay between recording and sending an unload, so that entry nodes first stop routing to the
// unit.
constexpr Duration kDrainTime{300};
constexpr Duration kUnansweredRetryDelay{1'000};
constexpr Duration kRejectedRetryDelay{2'000};
// An endpoint that rejected a load for lack of memory gets no further load for this long.
constexpr Duration kFullEndpointBackoff{5'000};
constexpr std::size_t kMaxTakeoverJitterMs = 1'000;

}  // namespace

PoolKeeper::PoolKeeper(std::string node,
                       std::string incarnation,
                       std::string pool,
                       ResidencySettings settings)
    : node_(std::move(node)),
      incarnation_(std::move(incarnation)),
      pool_(std::move(pool)),
      settings_(settings),
      takeover_jitter_(static_cast<Duration::rep>(std::hash<std::string>{}(node_ + "/" + pool_) %
                                                  kMaxTakeoverJitterMs)) {}

void PoolKeeper::OrderEnded(const Order& order, OrderOutcome outcome, TimePoint now) {
  const UnitKey key{order.endpoint, order.unit};
  const auto in_flight = orders_in_flight_.find(key);
  if (in_flight != orders_in_flight_.end() && in_flight->second.sequence == order.sequence) {
    orders_in_flight_.erase(in_flight);
  }
  SendState& send_state = send_states_[key];
  if (outcome == OrderOutcome::kUnknown && order.load) {
    send_state.unanswered_until = now + settings_.late_order_bound;
  }
  const auto found = draft_.reservations.find(key);
  const bool current = holding_ && order.epoch == draft_.epoch &&
                       found != draft_.reservations.end() &&
                       found->second.sequence == order.sequence;
  if (!current) {
    return;
  }
  Reservation& reservation = found->second;
  switch (outcome) {
    case OrderOutcome::kDone:
      send_state.settled_at = now;
      send_state.missing_since.reset();
      if (order.load) {
        reservation.state = UnitState::kResident;
      } else {
        // Reconcile decides whether the memory is free, where the endpoint's fence support is
        // known.
        reservation.state = UnitState::kLingering;
      }
      break;
    case OrderOutcome::kFenced:
      must_read_ = true;
      send_state.retry_at = now + kRejectedRetryDelay;
      break;
    case OrderOutcome::kNoMemory:
      send_state.retry_at = now + kRejectedRetryDelay;
      full_until_[order.endpoint] = now + kFullEndpointBackoff;
      if (order.load && !send_state.unanswered_until && reservation.senders.size() <= 1) {
        draft_.reservations.erase(found);
      }
      break;
    case OrderOutcome::kNotYet:
    case OrderOutcome::kNotSent:
      send_state.retry_at = now + kRejectedRetryDelay;
      break;
    case OrderOutcome::kUnknown:
      send_state.retry_at = now + kUnansweredRetryDelay;
      break;
  }
}

PoolEffects PoolKeeper::Tick(const PoolView& view, TimePoint now) {
  PoolEffects effects;
  if (must_read_ || !version_) {
    if (!reading_ && !pending_write_) {
      reading_ = true;
      effects.push_back(ReadPool{pool_});
    }
    return effects;
  }
  if (pending_write_) {
    return effects;
  }
  if (!holding_) {
    TryTakeOver(effects, now);
    return effects;
  }
  if (stopping_) {
    // Waits for orders in flight, whose outcomes must be recorded.
    if (orders_in_flight_.empty()) {
      draft_.holder.clear();
      WriteDraft(effects, now);
    }
    return effects;
  }
  Reconcile(view, now);
  if (now - planned_at_ >= settings_.plan_every) {
    planned_at_ = now;
    PlanMoves(view, effects, now);
  }
  PoolRecord compared = draft_;
  compared.renewals = stored_.renewals;
  if (compared != stored_ || now - renewed_at_ >= settings_.renew) {
    WriteDraft(effects, now);
    return effects;
  }
  if (Holds(now)) {
    SendOrders(view, effects, now);
  }
  return effects;
}

void PoolKeeper::RecordIntent(Reservation& reservation, UnitState state) {
  reservation.state = state;
  reservation.sequence = ++draft_.sequence;
  if (state == UnitState::kLoading) {
    reservation.senders.insert(incarnation_);
  }
}

void PoolKeeper::Reconcile(const PoolView& view, TimePoint now) {
  for (auto entry = draft_.reservations.begin(); entry != draft_.reservations.end();) {
    const auto endpoint =
        std::find_if(view.endpoints.begin(), view.endpoints.end(),
                     [&](const PoolEndpoint& known) { return known.name == entry->first.first; });
    if (endpoint == view.endpoints.end()) {
      const bool gone = IsGonePermanently(entry->first.first, view.listed, now);
      entry = gone ? draft_.reservations.erase(entry) : std::next(entry);
      continue;
    }
    gone_since_.erase(endpoint->name);
    ReconcileOne(entry->first, entry->second, *endpoint, view, now);
    const bool freed = entry->second.state == UnitState::kLingering &&
                       (endpoint->checks_fences || entry->second.senders.empty()) &&
                       !endpoint->resident.contains(entry->first.second);
    entry = freed ? draft_.reservations.erase(entry) : std::next(entry);
  }
  for (const PoolEndpoint& endpoint : view.endpoints) {
    ReserveReportedUnits(endpoint, view, now);
  }
}

// The platform's list lags, so an endpoint missing from it keeps its reservations for a while.
bool PoolKeeper::IsGonePermanently(const std::string& endpoint, bool listed, TimePoint now) {
  if (!listed) {
    gone_since_.erase(endpoint);
    return false;
  }
  const TimePoint since = gone_since_.try_emplace(endpoint, now).first->second;
  return now - since >= settings_.late_order_bound;
}

void PoolKeeper::ClearSenders(const UnitKey& key,
                              Reservation& reservation,
                              const PoolView& view,
                              TimePoint now) {
  if (reservation.senders.empty()) {
    return;
  }
  SendState& send_state = send_states_[key];
  if (send_state.unanswered_until && now >= *send_state.unanswered_until) {
    send_state.unanswered_until.reset();
  }
  for (auto sender = reservation.senders.begin(); sender != reservation.senders.end();) {
    bool silent = false;
    if (*sender == incarnation_) {
      silent = !send_state.unanswered_until && !orders_in_flight_.contains(key) &&
               reservation.state != UnitState::kLoading;
    } else {
      SilentSender& silent_sender = silent_senders_[*sender];
      if (!view.is_silent(*sender, draft_.epoch)) {
        silent_sender.since.reset();
      } else if (!silent_sender.since) {
        silent_sender.since = now;
      }
      silent = silent_sender.since && now - *silent_sender.since >= settings_.late_order_bound;
    }
    sender = silent ? reservation.senders.erase(sender) : std::next(sender);
  }
}

void PoolKeeper::ReconcileOne(const UnitKey& key,
                              Reservation& reservation,
                              const PoolEndpoint& endpoint,
                              const PoolView& view,
                              TimePoint now) {
  ClearSenders(key, reservation, view, now);
  SendState& send_state = send_states_[key];
  const bool settled =
      reservation.state == UnitState::kResident || reservation.state == UnitState::kLingering;
  if (settled && !send_state.settled_at) {
    send_state.settled_at = now;  // just taken over: wait for newer reports
  }
  const bool reported = endpoint.resident.contains(key.second);
  const bool report_is_current = endpoint.reported_at && send_state.settled_at &&
                                 *endpoint.reported_at - *send_state.settled_at >= kReportLag;
  if (reservation.state == UnitState::kResident) {
    if (reported || !report_is_current) {
      send_state.missing_since.reset();
    } else if (!send_state.missing_since) {
      send_state.missing_since = now;
    } else if (now - *send_state.missing_since >= kReportLag) {
      // The endpoint restarted or lost the unit. Its memory is still reserved, so load it again.
      send_state = {};
      RecordIntent(reservation, UnitState::kLoading);
    }
    return;
  }
  if (reservation.state == UnitState::kLingering && reported && report_is_current) {
    // A late load took effect after the unload.
    send_state = {};
    RecordIntent(reservation, UnitState::kUnloading);
  }
}

void PoolKeeper::ReserveReportedUnits(const PoolEndpoint& endpoint,
                                      const PoolView& view,
                                      TimePoint now) {
  for (const std::string& unit : endpoint.resident) {
    const UnitKey key{endpoint.name, unit};
    const std::optional<TimePoint> settled_at = send_states_[key].settled_at;
    const bool report_lags =
        settled_at && endpoint.reported_at && *endpoint.reported_at - *settled_at < kReportLag;
    if (draft_.reservations.contains(key) || report_lags) {
      continue;  // known, or just unloaded and the report lags
    }
    Reservation reservation;
    reservation.state = UnitState::kResident;
    reservation.sequence = ++draft_.sequence;
    for (const WantedUnit& wanted : view.wanted) {
      reservation.memory = wanted.unit == unit ? wanted.memory : reservation.memory;
    }
    send_states_[key].settled_at = now;
    draft_.reservations[key] = reservation;
  }
}

void PoolKeeper::PlanMoves(const PoolView& view, PoolEffects& effects, TimePoint now) {
  // A new holder first waits for the reports of all usable endpoints.
  for (const PoolEndpoint& endpoint : view.endpoints) {
    if (endpoint.usable && !endpoint.reported_at) {
      return;
    }
  }
  if (!Holds(now)) {
    return;
  }
  std::erase_if(full_until_, [&](const auto& entry) { return now >= entry.second; });
  std::set<std::string> full;
  for (const auto& [endpoint, until] : full_until_) {
    full.insert(endpoint);
  }
  const PlanInput input = MakePlanInput(view, draft_.reservations, full, settings_.loads_at_once);
  for (const PlanAction& action : Plan(input)) {
    RecordAction(input, action, effects, now);
  }
}

void PoolKeeper::RecordAction(const PlanInput& input,
                              const PlanAction& action,
                              PoolEffects& effects,
                              TimePoint now) {
  const std::string& endpoint = input.endpoints[static_cast<std::size_t>(action.endpoint)].name;
  const PlanUnit& unit = input.units[static_cast<std::size_t>(action.unit)];
  const UnitKey key{endpoint, unit.name};
  if (action.kind == PlanAction::Kind::kLoad) {
    Reservation reservation;
    reservation.memory = unit.memory;
    RecordIntent(reservation, UnitState::kLoading);
    draft_.reservations[key] = reservation;
    send_states_[key] = {};
  } else {
    RecordIntent(draft_.reservations[key], UnitState::kUnloading);
    send_states_[key].retry_at = now + kDrainTime;
  }
  effects.push_back(MoveDecided{endpoint, unit.name, action.kind, action.reason});
}

void PoolKeeper::SendOrders(const PoolView& view, PoolEffects& effects, TimePoint now) {
  const Duration min_load_interval(
      static_cast<Duration::rep>(1000.0 / std::max(settings_.loads_per_second, 0.1)));
  for (const auto& [key, reservation] : stored_.reservations) {
    const bool load = reservation.state == UnitState::kLoading;
    const bool unload = reservation.state == UnitState::kUnloading;
    if ((!load && !unload) || orders_in_flight_.contains(key)) {
      continue;
    }
    const SendState& send_state = send_states_[key];
    if (send_state.retry_at && now < *send_state.retry_at) {
      continue;
    }
    if (load && now - load_sent_at_ < min_load_interval) {
      continue;
    }
    const auto endpoint =
        std::find_if(view.endpoints.begin(), view.endpoints.end(),
                     [&name = key.first](const PoolEndpoint& known) { return known.name == name; });
    if (endpoint == view.endpoints.end()) {
      continue;
    }
    Order order;
    order.pool = pool_;
    order.endpoint = key.first;
    order.address = endpoint->address;
    order.unit = key.second;
    order.load = load;
    order.memory = reservation.memory;
    order.epoch = stored_.epoch;
    order.sequence = reservation.sequence;
    order.valid_until = lease_until_;
    orders_in_flight_[key] = order;
    if (load) {
      load_sent_at_ = now;
    }
    effects.push_back(order);
  }
}

}  // namespace rudderloom
