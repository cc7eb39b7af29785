/// @file
/// Decides whether a request for a model is admitted, held, deferred behind all others or refused.
/// Pure functions.
#ifndef RUDDERLOOM_FORWARDING_ADMISSION_HPP
#define RUDDERLOOM_FORWARDING_ADMISSION_HPP

#include <cstdint>   // for uint32_t
#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"          // for Duration
#include "rudderloom/fleet/fleet_view.hpp"    // for EndpointLoad
#include "rudderloom/routes/route_table.hpp"  // for Route

namespace rudderloom {

/// @brief Forecast time from sending a request to an endpoint until its first event.
/// @ingroup forwarding
struct StartForecast {
  Duration if_admitted{0};        ///< Queued behind the requests that are not deferred.
  Duration if_deferred{0};        ///< Queued behind all requests at the endpoint.
  Duration if_admitted_bound{0};  ///< Not exceeded by nine of ten requests that are admitted.
  /// @brief Expected longest gap between two events, of this request and of those that run there.
  Duration longest_pause{0};
};

/// @brief Outcome of the admission decision.
/// @ingroup forwarding
enum class Admission {
  kAdmitted,  ///< The answer is expected to meet the route's goal and its longest pause.
  kHeld,      ///< It can wait at the node for an endpoint with less work, and still be on time.
  kDeferred,  ///< The goal can't be met: runs only where it delays no request that is on time.
  kRefused,   ///< It would be late, and delay others.
};

/// @brief Estimates how long a request waits for a free slot at an endpoint.
/// @param ahead Requests at the endpoint that hold a slot or are served first.
/// @param hold_time How long each of them occupies its slot.
/// @ingroup forwarding
Duration EstimateSlotWait(std::uint32_t ahead, std::uint32_t slots, Duration hold_time);

/// @brief Time until which a request may be held at the node, counted from its arrival.
///
/// A request whose goal is many times what its answer takes to begin at an idle endpoint waits for
/// capacity that others don't need, as long as its goal can still be met. Any other request is held
/// for a quarter of its goal at most: after that its client does better elsewhere or later.
/// @param idle_start Forecast time to the first event at an endpoint without other work.
/// @ingroup forwarding
Duration HoldLimit(const Route& route, Duration idle_start);

/// @brief Like HoldLimit(), for a retried request: as long as its goal can still be met. It has
/// been told when to retry, and refusing it again costs its caller the most.
/// @ingroup forwarding
Duration RetriedHoldLimit(const Route& route, Duration idle_start);

/// @brief What is known of a request for the decision on its admission.
/// @ingroup forwarding
struct AdmissionQuery {
  StartForecast forecast;  ///< At the chosen endpoint.
  Duration spent{0};       ///< Since the client's first attempt.
  Duration hold_limit{0};  ///< See `HoldLimit`.
  /// @brief Pause that an admitted request must leave free for more urgent ones that may arrive.
  Duration headroom{0};
  /// @brief Pause that the prompt causes at an idle endpoint. Spacing can't shorten it, so a long
  /// prompt is not refused for it.
  Duration own_pause{0};
  /// @brief Set for a retried request: time until its client leaves. It is refused only if no
  /// answer can come by then.
  std::optional<Duration> retry_time_left = {};
  bool is_next = true;  ///< No more urgent request waits at this node for the same model.
};

/// @brief Admits, holds, defers or refuses a request.
///
/// An endpoint processes prompts one after another, and its running streams pause meanwhile.
/// Without admission control, all answers are late as soon as the load exceeds the endpoint's
/// capacity. With it, as many answers are on time as the endpoint can serve. What can't be on time
/// runs only where it delays nobody, and is refused otherwise.
/// @ingroup forwarding
Admission DecideAdmission(const AdmissionQuery& query, const Route& route);

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
