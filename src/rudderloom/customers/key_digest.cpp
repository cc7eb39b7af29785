#include "rudderloom/customers/key_digest.hpp"

#include <sodium/crypto_generichash.h>  // for crypto_generichash
#include <algorithm>                    // for copy

#include "rudderloom/base/hex.hpp"  // for ToHex

namespace rudderloom {

namespace {

constexpr std::size_t kShownBytes = 4;
// Domain separation: makes the digests differ from those of other programs for the same keys.
constexpr std::string_view kHashContext = "rudderloom caller's key";
static_assert(kHashContext.size() >= crypto_generichash_KEYBYTES_MIN);

}  // namespace

KeyDigest DigestOf(std::string_view key) {
  KeyDigest digest;
  const auto* text = reinterpret_cast<const unsigned char*>(key.data());
  const auto* context = reinterpret_cast<const unsigned char*>(kHashContext.data());
  crypto_generichash(digest.bytes.data(), digest.bytes.size(), text, key.size(), context,
                     kHashContext.size());
  return digest;
}

std::string ShortName(const KeyDigest& digest) {
  return ToHex(std::span(digest.bytes).first<kShownBytes>());
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
