/// @file
/// Hexadecimal encoding of bytes.
#ifndef RUDDERLOOM_BASE_HEX_HPP
#define RUDDERLOOM_BASE_HEX_HPP

#include <cstdint>      // for uint8_t
#include <span>         // for span
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Encodes each byte as two lower-case hexadecimal digits.
/// @ingroup base
std::string ToHex(std::span<const std::uint8_t> bytes);

/// @brief Decodes the output of ToHex(); false when the length does not match `bytes` or the text
/// is not hexadecimal.
/// @ingroup base
bool FromHex(std::string_view text, std::span<std::uint8_t> bytes);

}  // namespace rudderloom

#endif
