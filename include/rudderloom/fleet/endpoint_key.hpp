/// @file
/// A four-byte key for an endpoint instance, used in messages that cover many endpoints.
#ifndef RUDDERLOOM_FLEET_ENDPOINT_KEY_HPP
#define RUDDERLOOM_FLEET_ENDPOINT_KEY_HPP

#include <cstdint>      // for uint32_t
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Hash of an endpoint's instance name, the same on all nodes. When two instances collide,
/// only their reported loads are mixed up.
/// @ingroup fleet
using EndpointKey = std::uint32_t;
EndpointKey KeyOf(std::string_view instance);

}  // namespace rudderloom

#endif
