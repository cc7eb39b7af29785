/// @file
/// Bytes as text, two digits each.
#ifndef RUDDERLOOM_BASE_HEX_HPP
#define RUDDERLOOM_BASE_HEX_HPP

#include <cstdint>      // for uint8_t
#include <span>         // for span
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Two hexadecimal digits for each byte.
/// @ingroup base
std::string ToHex(std::span<const std::uint8_t> bytes);

/// @brief Reads what ToHex() wrote; false when the text is not as long as `bytes` asks, or no hex.
/// @ingroup base
bool FromHex(std::string_view text, std::span<std::uint8_t> bytes);

}  // namespace rudderloom

#endif
