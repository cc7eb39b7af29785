/// @file
/// Digests by which all nodes recognize repeated requests, regardless of their ids, and parts that
/// prompts have in common.
#ifndef RUDDERLOOM_QUARANTINE_REQUEST_DIGEST_HPP
#define RUDDERLOOM_QUARANTINE_REQUEST_DIGEST_HPP

#include <array>        // for array
#include <cstdint>      // for uint8_t
#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

namespace rudderloom {

/// @brief The parts of a request that are equal in all its tries. Ids, deadlines and other headers
/// differ.
/// @ingroup quarantine
struct RequestIdentity {
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view caller;  ///< The customer's name or its key's digest; empty for none.
  std::string_view body;
};

/// @brief Size of a request's digest in bytes. The probability that any two of 2^40 requests
/// collide is 2^-49.
/// @ingroup quarantine
inline constexpr std::size_t kRequestDigestBytes = 16;

/// @brief Identifies a request, or a part of prompts, equal on all nodes. The body can't be derived
/// from it.
/// @ingroup quarantine
struct RequestDigest {
  std::array<std::uint8_t, kRequestDigestBytes> bytes{};
  bool operator==(const RequestDigest&) const = default;
  bool operator<(const RequestDigest& other) const { return bytes < other.bytes; }
};

/// @brief Returns the digest of a request; reads its complete body once.
/// @ingroup quarantine
RequestDigest DigestOf(const RequestIdentity& identity);

/// @brief Returns the digest of a part of prompts, in whatever requests it occurs.
/// @ingroup quarantine
RequestDigest DigestOfPromptPart(std::uint64_t id);

bool IsPromptPart(const RequestDigest& digest);

/// @brief Returns the id of the part, in hex without leading zeros, if the digest is that of a part
/// of prompts.
/// @ingroup quarantine
std::optional<std::string> PromptPartOf(const RequestDigest& digest);

/// @brief Everything in a request that may be what crashes endpoints: first the request as a whole,
/// then the parts that its prompt may share with others.
/// @ingroup quarantine
using RequestDigests = std::vector<RequestDigest>;

/// @brief Returns all hex digits, for logs and operators.
/// @ingroup quarantine
std::string TextOf(const RequestDigest& digest);

/// @brief Parses hex digits; empty if invalid.
/// @ingroup quarantine
std::optional<RequestDigest> RequestDigestFromText(std::string_view text);

}  // namespace rudderloom

#endif
