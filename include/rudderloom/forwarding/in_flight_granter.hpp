/// @file
/// The node that grants requests by the work in flight at an endpoint, as a node's view shows it.
#ifndef RUDDERLOOM_FORWARDING_IN_FLIGHT_GRANTER_HPP
#define RUDDERLOOM_FORWARDING_IN_FLIGHT_GRANTER_HPP

#include <string>  // for string

#include "rudderloom/endpoint_limits/granter_choice.hpp"  // for SilentGranters
#include "rudderloom/fleet/fleet_view.hpp"                // for FleetView

namespace rudderloom {

/// @brief Chooses among the lease holder and its standbys, except those that gave this node no
/// answer lately. Nodes with the same view choose the same.
/// @return The address of the granting node; empty if none is known, or none answers.
/// @ingroup forwarding
std::string InFlightGranter(const FleetView& view,
                            EndpointKey endpoint,
                            const SilentGranters& silent,
                            TimePoint now);

}  // namespace rudderloom

#endif
