/// @file
/// Digest that replaces a caller's API key everywhere except on the caller's connection.
#ifndef RUDDERLOOM_CUSTOMERS_KEY_DIGEST_HPP
#define RUDDERLOOM_CUSTOMERS_KEY_DIGEST_HPP

#include <array>        // for array
#include <cstdint>      // for uint8_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Size of a key's digest in bytes: BLAKE2b's usual size, which is collision-resistant.
/// @ingroup customers
inline constexpr std::size_t kKeyDigestBytes = 32;

/// @brief Digest of a caller's key, the same on all nodes.
///
/// The key itself is in memory only while the request header is read: it is neither stored, sent to
/// other nodes, logged nor forwarded. Lookups compare digests, not keys, so their timing reveals
/// nothing about a key.
/// @ingroup customers
struct KeyDigest {
  std::array<std::uint8_t, kKeyDigestBytes> bytes{};
  bool operator==(const KeyDigest&) const = default;
  bool operator<(const KeyDigest& other) const { return bytes < other.bytes; }
};

/// @brief Returns the digest of a key.
/// @ingroup customers
KeyDigest DigestOf(std::string_view key);

/// @brief Returns the first digits of a digest for logs: distinguishes keys without revealing them.
/// @ingroup customers
std::string ShortName(const KeyDigest& digest);

/// @brief Returns the raw bytes, as sent to other nodes.
/// @ingroup customers
std::string_view BytesOf(const KeyDigest& digest);

/// @brief Creates a digest from raw bytes; empty if their number is wrong.
/// @ingroup customers
std::optional<KeyDigest> KeyDigestFrom(std::string_view bytes);

}  // namespace rudderloom

#endif
