/// @file
/// What a request is known by when it comes again, at any node and under any id.
#ifndef RUDDERLOOM_QUARANTINE_REQUEST_DIGEST_HPP
#define RUDDERLOOM_QUARANTINE_REQUEST_DIGEST_HPP

#include <array>        // for array
#include <cstdint>      // for uint8_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief What two tries of one request have in common. Ids, deadlines and other headers differ.
/// @ingroup quarantine
struct RequestIdentity {
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view caller;  ///< The customer's name or its key's digest; empty for none.
  std::string_view body;
};

/// @brief Bytes of a request's digest: two of 2^40 requests meet with a chance of 2^-49.
/// @ingroup quarantine
inline constexpr std::size_t kRequestDigestBytes = 16;

/// @brief Stands for a request, the same on all nodes. Nobody can tell a body from it.
/// @ingroup quarantine
struct RequestDigest {
  std::array<std::uint8_t, kRequestDigestBytes> bytes{};
  bool operator==(const RequestDigest&) const = default;
  bool operator<(const RequestDigest& other) const { return bytes < other.bytes; }
};

/// @brief The digest of a request; reads its whole body once.
/// @ingroup quarantine
RequestDigest DigestOf(const RequestIdentity& identity);

/// @brief All digits, for logs and operators.
/// @ingroup quarantine
std::string TextOf(const RequestDigest& digest);

/// @brief Reads them; empty when they are none.
/// @ingroup quarantine
std::optional<RequestDigest> RequestDigestFromText(std::string_view text);

}  // namespace rudderloom

#endif
