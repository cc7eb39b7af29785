/// @file
/// What stands in for a caller's key everywhere but on the wire between the caller and its node.
#ifndef RUDDERLOOM_CUSTOMERS_KEY_DIGEST_HPP
#define RUDDERLOOM_CUSTOMERS_KEY_DIGEST_HPP

#include <array>        // for array
#include <cstdint>      // for uint8_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Bytes of a key's digest. BLAKE2b's usual size: nobody finds another key with the same.
/// @ingroup customers
inline constexpr std::size_t kKeyDigestBytes = 32;

/// @brief Digest of a caller's key, the same on all nodes.
///
/// The key itself is in memory only while its request's head is read: it is neither kept, told to
/// other nodes, logged nor passed on. Two digests are compared in place of the texts, so the time
/// that a look-up takes says nothing of a key.
/// @ingroup customers
struct KeyDigest {
  std::array<std::uint8_t, kKeyDigestBytes> bytes{};
  bool operator==(const KeyDigest&) const = default;
  bool operator<(const KeyDigest& other) const { return bytes < other.bytes; }
};

/// @brief The digest of a key.
/// @ingroup customers
KeyDigest DigestOf(std::string_view key);

/// @brief The first digits of a digest, for logs: tells two keys apart and gives neither away.
/// @ingroup customers
std::string ShortName(const KeyDigest& digest);

/// @brief All bytes, as other nodes are told them.
/// @ingroup customers
std::string_view BytesOf(const KeyDigest& digest);

/// @brief Reads them; empty when there are too few or too many.
/// @ingroup customers
std::optional<KeyDigest> KeyDigestFrom(std::string_view bytes);

}  // namespace rudderloom

#endif
