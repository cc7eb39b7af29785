#include "rudderloom/customers/key_digest.hpp"

#include <sodium/crypto_generichash.h>  // for crypto_generichash
#include <algorithm>                    // for copy

namespace rudderloom {

namespace {

constexpr std::size_t kShownBytes = 4;
constexpr const char* kHexadecimal = "0123456789abcdef";
// Keeps the digests apart from those that other programs make of the same keys.
constexpr std::string_view kPurpose = "rudderloom caller's key";
static_assert(kPurpose.size() >= crypto_generichash_KEYBYTES_MIN);

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  KeyDigest digest;
  const auto* text = reinterpret_cast<const unsigned char*>(key.data());
  const auto* purpose = reinterpret_cast<const unsigned char*>(kPurpose.data());
  crypto_generichash(digest.bytes.data(), digest.bytes.size(), text, key.size(), purpose,
                     kPurpose.size());
  return digest;
}

std::string ShortName(const KeyDigest& digest) {
  constexpr unsigned kHalf = 4;
  constexpr unsigned kLow = 15;
  std::string name;
  for (std::size_t i = 0; i < kShownBytes; ++i) {
    name += kHexadecimal[digest.bytes[i] >> kHalf];
    name += kHexadecimal[digest.bytes[i] & kLow];
  }
  return name;
}

std::string_view BytesOf(const KeyDigest& digest) {
  return {reinterpret_cast<const char*>(digest.bytes.data()), digest.bytes.size()};
}

std::optional<KeyDigest> KeyDigestFrom(std::string_view bytes) {
  if (bytes.size() != kKeyDigestBytes) {
    return std::nullopt;
  }
  KeyDigest digest;
  std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
  return digest;
}

}  // namespace rudderloom
