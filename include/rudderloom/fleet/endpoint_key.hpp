/// @file
/// Four bytes that stand for one life of an endpoint where much is told of many.
#ifndef RUDDERLOOM_FLEET_ENDPOINT_KEY_HPP
#define RUDDERLOOM_FLEET_ENDPOINT_KEY_HPP

#include <cstdint>      // for uint32_t
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Stands for an endpoint's instance: a hash of the name, the same on all nodes. Two
/// instances with one key would only blur what is told of each other.
/// @ingroup fleet
using EndpointKey = std::uint32_t;
EndpointKey KeyOf(std::string_view instance);

}  // namespace rudderloom

#endif
