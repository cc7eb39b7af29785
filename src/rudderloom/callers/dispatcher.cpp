#include "rudderloom/callers/dispatcher.hpp"

#include <set>  // for set

namespace rudderloom {

namespace {

constexpr Duration kPumpEvery{10};
// Requests from this priority on only fill what more urgent work leaves.
constexpr std::int64_t kFillsFrom = 7;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& context, std::size_t queue, std::uint64_t seed)
    : context_(context),
      snapshot_(std::make_shared<const Snapshot>()),
      router_(seed),
      queue_(queue) {}

void Dispatcher::Use(SnapshotPtr snapshot) {
  snapshot_ = std::move(snapshot);
  Pump();
}

const ServingSet* Dispatcher::SetOf(const DispatchAsk& ask) const {
  const auto& sets = ask.service ? snapshot_->services : snapshot_->models;
  const auto found = sets.find(ask.target);
  return found == sets.end() ? nullptr : &found->second;
}

std::optional<Grant> Dispatcher::TryStart(const DispatchAsk& ask) {
  const ServingSet* set = SetOf(ask);
  if (set == nullptr) {
    return std::nullopt;
  }
  RouteAsk route = ask.route;
  route.fills = ask.priority >= kFillsFrom;
  const TimePoint now = Now();
  const auto chosen = router_.Choose(*snapshot_, *set, route, now);
  if (!chosen) {
    return std::nullopt;
  }
  Grant grant{snapshot_->endpoints[*chosen], set->unit, ask.target, now};
  router_.Started(grant.endpoint.id);
  ++running_[grant.target];
  ++in_flight_[grant.endpoint.name];
  return grant;
}

Awaitable<std::variant<Grant, AdmissionRefusal>> Dispatcher::Acquire(DispatchAsk ask) {
  const TimePoint now = Now();
  if (queue_.Waiting(ask.target) == 0 && now < ask.deadline) {
    if (auto grant = TryStart(ask)) {
      co_return std::move(*grant);
    }
  }
  Applicant applicant;
  applicant.ticket = ++next_ticket_;
  applicant.target = ask.target;
  applicant.caller = ask.caller;
  applicant.priority = ask.priority;
  applicant.deadline = ask.deadline;
  const ServingSet* set = SetOf(ask);
  const std::uint32_t room = set == nullptr ? 0 : router_.Room(*snapshot_, *set);
  if (auto refused = queue_.Enter(applicant, room, now)) {
    co_return *refused;
  }
  Waiter waiter{std::move(ask), Timer(context_), std::nullopt};
  waiter.timer.expires_at(TimePoint::max());
  waiters_[applicant.ticket] = &waiter;
  if (!pumping_) {
    pumping_ = true;
    asio::co_spawn(context_, PumpLoop(), asio::detached);
  }
  Pump();
  while (!waiter.result) {
    co_await waiter.timer.async_wait(kAsTuple);
  }
  co_return std::move(*waiter.result);
}

// Starts what can start, and refuses what has waited too long.
void Dispatcher::Pump() {
  if (queue_.Size() == 0) {
    return;
  }
  for (const Applicant& late : queue_.Expire(Now())) {
    Waiter* waiter = waiters_.at(late.ticket);
    waiters_.erase(late.ticket);
    const std::uint32_t room = 1;
    waiter->result = AdmissionRefusal{
        AdmissionRefusal::Reason::kDeadlinePassed,
        std::max(Duration(1'000), queue_.ExpectedWait(late.target, late.priority, room))};
    waiter->timer.cancel();
  }
  std::set<std::pair<std::string, std::int64_t>> full;  // targets that had no place this time
  while (true) {
    std::optional<Grant> grant;
    const auto next = queue_.Next([&](const Applicant& applicant) {
      const DispatchAsk& ask = waiters_.at(applicant.ticket)->ask;
      const std::pair<std::string, std::int64_t> place{applicant.target, applicant.priority};
      if (ask.route.excluded.empty() && full.contains(place)) {
        return false;
      }
      grant = TryStart(ask);
      if (!grant) {
        full.insert(place);
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

Awaitable<void> Dispatcher::PumpLoop() {
  while (queue_.Size() > 0) {
    Timer pause(context_, kPumpEvery);
    co_await pause.async_wait(kAsTuple);
    Pump();
  }
  pumping_ = false;
}

void Dispatcher::Release(const Grant& grant, RouteResult result, Duration first_byte) {
  const TimePoint now = Now();
  router_.Ended(grant.endpoint.id, result, first_byte, now);
  if (result == RouteResult::kServed) {
    queue_.Served(grant.target, Between(grant.started, now));
  }
  if (--running_[grant.target] == 0) {
    running_.erase(grant.target);
  }
  if (--in_flight_[grant.endpoint.name] == 0) {
    in_flight_.erase(grant.endpoint.name);
  }
  Pump();
}

message::TrafficSampled Dispatcher::Sample() const {
  message::TrafficSampled sampled;
  sampled.in_flight = in_flight_;
  sampled.demand = running_;
  for (const auto& [ticket, waiter] : waiters_) {
    ++sampled.demand[waiter->ask.target];
  }
  return sampled;
}

}  // namespace rudderloom
