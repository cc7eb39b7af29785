#include "rudderloom/forwarding/admission.hpp"

#include <algorithm>  // for min

namespace rudderloom {

namespace {

// Each priority spans two urgency levels: the second one is for requests that can wait for another
// slot hold.
constexpr std::uint32_t kUrgenciesPerPriority = 2;
constexpr std::uint32_t kMaxAdmittedUrgency = 6;
constexpr std::uint32_t kDeferredUrgency = 8;

}  // namespace

Duration EstimateSlotWait(std::uint32_t ahead, std::uint32_t slots, Duration hold_time) {
  const std::uint32_t places = std::max(1U, slots);
  if (ahead < places) {
    return Duration(0);
  }
  return hold_time * (ahead - places + 1) / places;
}

Admission DecideAdmission(const StartForecast& forecast, const Route& route, Duration spent) {
  if (spent + forecast.if_admitted <= route.goal) {
    return Admission::kAdmitted;
  }
  return spent + forecast.if_deferred <= route.patience ? Admission::kDeferred
                                                        : Admission::kRefused;
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
