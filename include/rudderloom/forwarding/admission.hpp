/// @file
/// Whether a request for a model is sent to run in turn, after all others, or not at all. Pure.
#ifndef RUDDERLOOM_FORWARDING_ADMISSION_HPP
#define RUDDERLOOM_FORWARDING_ADMISSION_HPP

#include <cstdint>  // for uint32_t

#include "rudderloom/base/clock.hpp"          // for Duration
#include "rudderloom/fleet/fleet_view.hpp"    // for EndpointLoad
#include "rudderloom/routes/route_table.hpp"  // for Route

namespace rudderloom {

/// @brief When the first event of a request would come from an endpoint, from when it is sent.
/// @ingroup forwarding
struct StartForecast {
  Duration in_turn{0};     ///< Behind those that are not deferred.
  Duration behind_all{0};  ///< Behind everything that is there.
};

/// @brief What is done with a request.
/// @ingroup forwarding
enum class Admission {
  kInTurn,    ///< It can begin within its goal.
  kDeferred,  ///< Too late for its goal: it may run where it delays nobody who is in time.
  kRefused,   ///< Its client would have left before it began.
};

/// @brief How long a request waits for a place at an endpoint.
/// @param ahead Requests there that hold a place or go first.
/// @param hold How long each of them holds its place.
/// @ingroup forwarding
Duration WaitForPlace(std::uint32_t ahead, std::uint32_t slots, Duration hold);

/// @brief Decides about a request.
///
/// An endpoint with a full batch serves one request after the other, whoever comes: without this
/// rule everybody is late as soon as more is asked for than it can do. With it, as many are in time
/// as the endpoint can serve, and the others are told at once.
/// @param spent Since the request came.
/// @ingroup forwarding
Admission Admit(const StartForecast& forecast, const Route& route, Duration spent);

/// @brief The urgency to hand to the endpoint, 0 first.
/// @param priority The caller's rank; 0 is first.
/// @param hold How long the request holds its place.
/// @ingroup forwarding
std::uint32_t UrgencyOf(Admission admission,
                        const Route& route,
                        std::uint32_t priority,
                        const StartForecast& forecast,
                        Duration hold,
                        Duration spent);

}  // namespace rudderloom

#endif
