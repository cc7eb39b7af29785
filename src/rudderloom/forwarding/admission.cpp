#include "rudderloom/forwarding/admission.hpp"

#include <algorithm>  // for max, min

namespace rudderloom {

namespace {

// Each priority spans two urgency levels: the second one is for requests that can wait for another
// slot hold.
constexpr std::uint32_t kUrgenciesPerPriority = 2;
constexpr std::uint32_t kMaxAdmittedUrgency = 6;
constexpr std::uint32_t kDeferredUrgency = 8;
// A goal of at least so many starts at an idle endpoint leaves time to wait.
constexpr int kPatientStarts = 8;
// Starts at an idle endpoint that are kept in reserve at the end of the hold.
constexpr int kReservedStarts = 3;
constexpr int kHoldGoalDivisor = 4;
// Part of the longest pause that other prompts may add to the pause of a long one.
constexpr int kPauseMarginDivisor = 4;
// Taken for the start at an idle endpoint while it is not known.
constexpr Duration kMinIdleStart{100};

// Of a request that can't be on time.
Admission DeferOrRefuse(const AdmissionQuery& query, const Route& route) {
  const Duration left = query.retry_time_left.value_or(route.patience - query.spent);
  return query.forecast.if_deferred <= left ? Admission::kDeferred : Admission::kRefused;
}

}  // namespace

Duration EstimateSlotWait(std::uint32_t ahead, std::uint32_t slots, Duration hold_time) {
  const std::uint32_t places = std::max(1U, slots);
  if (ahead < places) {
    return Duration(0);
  }
  return hold_time * (ahead - places + 1) / places;
}

Duration HoldLimit(const Route& route, Duration idle_start) {
  const Duration start = std::max(idle_start, kMinIdleStart);
  return route.goal >= start * kPatientStarts ? route.goal - start * kReservedStarts
                                              : route.goal / kHoldGoalDivisor;
}

Duration RetriedHoldLimit(const Route& route, Duration idle_start) {
  return std::max(HoldLimit(route, idle_start), route.goal - std::max(idle_start, kMinIdleStart));
}

Admission DecideAdmission(const AdmissionQuery& query, const Route& route) {
  const StartForecast& forecast = query.forecast;
  const Duration limit =
      std::max(route.longest_pause, query.own_pause + route.longest_pause / kPauseMarginDivisor);
  const bool pauses_in_time = forecast.longest_pause <= limit;
  const bool leaves_headroom =
      forecast.longest_pause + std::min(query.headroom, limit / 2) <= limit;
  if (query.is_next && leaves_headroom && query.spent + forecast.if_admitted_bound <= route.goal) {
    return Admission::kAdmitted;
  }
  if (query.spent < query.hold_limit) {
    return Admission::kHeld;
  }
  // A request that has waited for half of its goal takes its chance, so that none starves.
  if (!pauses_in_time && query.spent < route.goal / 2) {
    return query.retry_time_left ? DeferOrRefuse(query, route) : Admission::kRefused;
  }
  if (query.spent + forecast.if_admitted <= route.goal) {
    return Admission::kAdmitted;
  }
  return DeferOrRefuse(query, route);
}

std::uint32_t UrgencyOf(Admission admission,
                        const Route& route,
                        std::uint32_t priority,
                        const StartForecast& forecast,
                        Duration hold_time,
                        Duration spent) {
  if (admission != Admission::kAdmitted) {
    return kDeferredUrgency;
  }
  // The goal is still met after one more request has held the slot.
  const bool can_wait = spent + forecast.if_admitted + hold_time <= route.goal;
  return std::min(kMaxAdmittedUrgency, kUrgenciesPerPriority * priority + (can_wait ? 1 : 0));
}

}  // namespace rudderloom
