/// @file
/// Network addresses as text: an IP address and a port.
#ifndef RUDDERLOOM_BASE_ADDRESS_HPP
#define RUDDERLOOM_BASE_ADDRESS_HPP

#include <string>  // for string

namespace rudderloom {

/// @brief True for an IP address and a port, such as `10.0.0.1:8080`. Host names are not resolved.
/// @ingroup base
bool IsAddress(const std::string& text);

}  // namespace rudderloom

#endif
