#include "rudderloom/callers/dispatcher.hpp"

#include <set>  // for set

namespace rudderloom {

namespace {

constexpr Duration kDispatchInterval{10};
// Requests with this or a less urgent priority only use capacity that other requests leave free.
constexpr std::int64_t kMinBackgroundPriority = 7;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& context, std::size_t queue, std::uint64_t seed)
    : context_(context),
      snapshot_(std::make_shared<const Snapshot>()),
      router_(seed),
      queue_(queue) {}

void Dispatcher::UpdateSnapshot(SnapshotPtr snapshot) {
  snapshot_ = std::move(snapshot);
  DispatchWaiting();
}

const ServingSet* Dispatcher::FindServingSet(const DispatchRequest& dispatch) const {
  const auto& sets = dispatch.service ? snapshot_->services : snapshot_->models;
  const auto found = sets.find(dispatch.target);
  return found == sets.end() ? nullptr : &found->second;
}

std::optional<Grant> Dispatcher::TryStart(const DispatchRequest& dispatch) {
  const ServingSet* set = FindServingSet(dispatch);
  if (set == nullptr) {
    return std::nullopt;
  }
  RouteQuery route = dispatch.route;
  route.is_background = dispatch.priority >= kMinBackgroundPriority;
  const TimePoint now = Now();
  const auto chosen = router_.Choose(*snapshot_, *set, route, now);
  if (!chosen) {
    return std::nullopt;
  }
  Grant grant{snapshot_->endpoints[*chosen], set->unit, dispatch.target, now};
  router_.RequestStarted(grant.endpoint.id);
  ++running_[grant.target];
  ++in_flight_[grant.endpoint.name];
  return grant;
}

std::uint32_t Dispatcher::SlotsFor(const DispatchRequest& dispatch) const {
  const ServingSet* set = FindServingSet(dispatch);
  return set == nullptr ? 0 : router_.AvailableShare(*snapshot_, *set);
}

QueuedRequest Dispatcher::ToQueued(const DispatchRequest& dispatch) {
  QueuedRequest queued;
  queued.ticket = ++next_ticket_;
  queued.target = dispatch.target;
  queued.caller = dispatch.caller;
  queued.priority = dispatch.priority;
  queued.deadline = std::min(dispatch.deadline, stop_deadline_);
  return queued;
}

// Names the stop as the reason if the request had more time than the stop leaves.
AdmissionRefusal Dispatcher::BoundByStop(AdmissionRefusal refused,
                                         const DispatchRequest& dispatch) const {
  if (refused.reason != AdmissionRefusal::Reason::kQueueFull &&
      stop_deadline_ < dispatch.deadline) {
    return {AdmissionRefusal::Reason::kStopping};
  }
  return refused;
}

void Dispatcher::Refuse(Ticket ticket, AdmissionRefusal refused) {
  Waiter* waiter = waiters_.at(ticket);
  waiters_.erase(ticket);
  waiter->result = refused;
  waiter->timer.cancel();
}

Awaitable<std::variant<Grant, AdmissionRefusal>> Dispatcher::Acquire(DispatchRequest dispatch,
                                                                     CallGuard& guard) {
  if (guard.Interrupted()) {
    co_return AdmissionRefusal{AdmissionRefusal::Reason::kStopping};
  }
  const TimePoint now = Now();
  if (queue_.Waiting(dispatch.target) == 0 && now < dispatch.deadline) {
    if (auto grant = TryStart(dispatch)) {
      co_return std::move(*grant);
    }
  }
  const QueuedRequest applicant = ToQueued(dispatch);
  if (auto refused = queue_.Enqueue(applicant, SlotsFor(dispatch), now)) {
    co_return BoundByStop(*refused, dispatch);
  }
  Waiter waiter{std::move(dispatch), Timer(context_), std::nullopt};
  waiter.timer.expires_at(TimePoint::max());
  waiters_[applicant.ticket] = &waiter;
  if (!loop_running_) {
    loop_running_ = true;
    asio::co_spawn(context_, DispatchLoop(), asio::detached);
  }
  DispatchWaiting();
  guard.SetCancel([this, ticket = applicant.ticket] {
    if (queue_.Remove(ticket)) {
      Refuse(ticket, {AdmissionRefusal::Reason::kStopping});
    }
  });
  while (!waiter.result) {
    co_await waiter.timer.async_wait(kAsTuple);
  }
  guard.SetCancel({});
  co_return std::move(*waiter.result);
}

// Starts waiting requests that have a free endpoint and rejects those past their deadline.
void Dispatcher::DispatchWaiting() {
  if (queue_.Size() == 0) {
    return;
  }
  for (const QueuedRequest& late : queue_.Expire(Now())) {
    const std::uint32_t capacity = 1;
    const AdmissionRefusal refused{
        AdmissionRefusal::Reason::kDeadlinePassed,
        std::max(Duration(1'000), queue_.ExpectedWait(late.target, late.priority, capacity))};
    Refuse(late.ticket, BoundByStop(refused, waiters_.at(late.ticket)->dispatch));
  }
  std::set<std::pair<std::string, std::int64_t>> full_targets;  // no free endpoint in this pass
  while (true) {
    std::optional<Grant> grant;
    const auto next = queue_.Next([&](const QueuedRequest& applicant) {
      const DispatchRequest& dispatch = waiters_.at(applicant.ticket)->dispatch;
      const std::pair<std::string, std::int64_t> target_and_priority{applicant.target,
                                                                     applicant.priority};
      if (dispatch.route.excluded.empty() && full_targets.contains(target_and_priority)) {
        return false;
      }
      grant = TryStart(dispatch);
      if (!grant) {
        full_targets.insert(target_and_priority);
      }
      return grant.has_value();
    });
    if (!next) {
      return;
    }
    Waiter* waiter = waiters_.at(next->ticket);
    waiters_.erase(next->ticket);
    waiter->result = std::move(*grant);
    waiter->timer.cancel();
  }
}

void Dispatcher::BeginStop(TimePoint deadline) {
  stop_deadline_ = deadline;
  const auto slots_for = [this](const QueuedRequest& waiting) {
    return SlotsFor(waiters_.at(waiting.ticket)->dispatch);
  };
  for (const QueuedRequest& unreachable : queue_.LimitDeadlines(deadline, slots_for, Now())) {
    Refuse(unreachable.ticket, {AdmissionRefusal::Reason::kStopping});
  }
}

Awaitable<void> Dispatcher::DispatchLoop() {
  while (queue_.Size() > 0) {
    Timer pause(context_, kDispatchInterval);
    co_await pause.async_wait(kAsTuple);
    DispatchWaiting();
  }
  loop_running_ = false;
}

void Dispatcher::Release(const Grant& grant, RouteResult result, Duration first_byte) {
  const TimePoint now = Now();
  router_.RequestEnded(grant.endpoint.id, result, first_byte, now);
  if (result == RouteResult::kServed) {
    queue_.RecordServiceTime(grant.target, Between(grant.started, now));
  }
  if (--running_[grant.target] == 0) {
    running_.erase(grant.target);
  }
  if (--in_flight_[grant.endpoint.name] == 0) {
    in_flight_.erase(grant.endpoint.name);
  }
  DispatchWaiting();
}

message::TrafficSampled Dispatcher::Sample() const {
  message::TrafficSampled sampled;
  sampled.in_flight = in_flight_;
  sampled.demand = running_;
  for (const auto& [ticket, waiter] : waiters_) {
    ++sampled.demand[waiter->dispatch.target];
  }
  return sampled;
}

}  // namespace rudderloom
