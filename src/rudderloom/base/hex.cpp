#include "rudderloom/base/hex.hpp"

#include <charconv>  // for from_chars

namespace rudderloom {

namespace {

constexpr const char* kDigits = "0123456789abcdef";
constexpr unsigned kNibbleBits = 4;
constexpr unsigned kLowNibbleMask = 15;
constexpr std::size_t kDigitsPerByte = 2;
constexpr int kBase = 16;

}  // namespace

std::string ToHex(std::span<const std::uint8_t> bytes) {
  std::string text;
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte >> kNibbleBits];
    text += kDigits[byte & kLowNibbleMask];
  }
  return text;
}

bool FromHex(std::string_view text, std::span<std::uint8_t> bytes) {
  if (text.size() != kDigitsPerByte * bytes.size()) {
    return false;
  }
  const char* next = text.data();
  for (std::uint8_t& byte : bytes) {
    const auto parsed = std::from_chars(next, next + kDigitsPerByte, byte, kBase);
    if (parsed.ec != std::errc() || parsed.ptr != next + kDigitsPerByte) {
      return false;
    }
    next += kDigitsPerByte;
  }
  return true;
}

}  // namespace rudderloom
