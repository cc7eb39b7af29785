#include "rudderloom/forwarding/admission.hpp"

#include <algorithm>  // for min

namespace rudderloom {

namespace {

// Urgencies of two neighbouring priorities leave room for requests that can wait a while.
constexpr std::uint32_t kPerPriority = 2;
constexpr std::uint32_t kLastInTurn = 6;
constexpr std::uint32_t kDeferredUrgency = 8;

}  // namespace

Duration WaitForPlace(std::uint32_t ahead, std::uint32_t slots, Duration hold) {
  const std::uint32_t places = std::max(1U, slots);
  if (ahead < places) {
    return Duration(0);
  }
  return hold * (ahead - places + 1) / places;
}

Admission Admit(const StartForecast& forecast, const Route& route, Duration spent) {
  if (spent + forecast.in_turn <= route.goal) {
    return Admission::kInTurn;
  }
  return spent + forecast.behind_all <= route.patience ? Admission::kDeferred : Admission::kRefused;
}

std::uint32_t UrgencyOf(Admission admission,
                        const Route& route,
                        std::uint32_t priority,
                        const StartForecast& forecast,
                        Duration hold,
                        Duration spent) {
  if (admission != Admission::kInTurn) {
    return kDeferredUrgency;
  }
  // It would still be in time after one more request has held the place.
  const bool can_wait = spent + forecast.in_turn + hold <= route.goal;
  return std::min(kLastInTurn, kPerPriority * priority + (can_wait ? 1 : 0));
}

}  // namespace rudderloom
