/// @file
/// Addresses as text: an IP number and a port.
#ifndef RUDDERLOOM_BASE_ADDRESS_HPP
#define RUDDERLOOM_BASE_ADDRESS_HPP

#include <string>  // for string

namespace rudderloom {

/// @brief True for an IP number and a port, such as `10.0.0.1:8080`. Names are not looked up.
/// @ingroup base
bool IsAddress(const std::string& text);

}  // namespace rudderloom

#endif
