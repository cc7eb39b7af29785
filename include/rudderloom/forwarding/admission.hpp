/// @file
/// Decides whether a request for a model is admitted, deferred behind all others or refused. Pure
/// functions.
#ifndef RUDDERLOOM_FORWARDING_ADMISSION_HPP
#define RUDDERLOOM_FORWARDING_ADMISSION_HPP

#include <cstdint>  // for uint32_t

#include "rudderloom/base/clock.hpp"          // for Duration
#include "rudderloom/fleet/fleet_view.hpp"    // for EndpointLoad
#include "rudderloom/routes/route_table.hpp"  // for Route

namespace rudderloom {

/// @brief Forecast time from sending a request to an endpoint until its first event.
/// @ingroup forwarding
struct StartForecast {
  Duration if_admitted{0};  ///< Queued behind the requests that are not deferred.
  Duration if_deferred{0};  ///< Queued behind all requests at the endpoint.
};

/// @brief Outcome of the admission decision.
/// @ingroup forwarding
enum class Admission {
  kAdmitted,  ///< The first event is expected within the route's goal.
  kDeferred,  ///< The goal can't be met: runs only where it delays no request that is on time.
  kRefused,   ///< The client would give up before the answer begins.
};

/// @brief Estimates how long a request waits for a free slot at an endpoint.
/// @param ahead Requests at the endpoint that hold a slot or are served first.
/// @param hold_time How long each of them occupies its slot.
/// @ingroup forwarding
Duration EstimateSlotWait(std::uint32_t ahead, std::uint32_t slots, Duration hold_time);

/// @brief Admits, defers or refuses a request.
///
/// An endpoint with a full batch serves requests one after another, whatever their goal. Without
/// admission control, every request is late as soon as the load exceeds the endpoint's capacity.
/// With it, as many requests are on time as the endpoint can serve, and the others are refused at
/// once.
/// @param spent Time since the request arrived.
/// @ingroup forwarding
Admission DecideAdmission(const StartForecast& forecast, const Route& route, Duration spent);

/// @brief Returns the urgency to pass to the endpoint; 0 is served first.
/// @param priority The caller's priority; 0 is the highest.
/// @param hold_time How long the request occupies its slot.
/// @ingroup forwarding
std::uint32_t UrgencyOf(Admission admission,
                        const Route& route,
                        std::uint32_t priority,
                        const StartForecast& forecast,
                        Duration hold_time,
                        Duration spent);

}  // namespace rudderloom

#endif
