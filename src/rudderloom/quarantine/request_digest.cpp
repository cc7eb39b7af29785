#include "rudderloom/quarantine/request_digest.hpp"

#include <sodium/crypto_generichash.h>  // for crypto_generichash_update

#include <algorithm>  // for copy, equal, min
#include <span>       // for span

#include "rudderloom/base/hex.hpp"  // for ToHex

namespace rudderloom {

namespace {

// Domain separation: makes the digests differ from those of other programs for the same bodies.
constexpr std::string_view kHashContext = "rudderloom request";
static_assert(kHashContext.size() >= crypto_generichash_KEYBYTES_MIN);

// Ends the digest of a prompt part, after its id, so that operators can read the id from it. The
// probability that a request's digest ends like this is 2^-64.
constexpr std::string_view kPartSuffix = "prompart";
static_assert(sizeof(std::uint64_t) + kPartSuffix.size() == kRequestDigestBytes);
constexpr unsigned kBitsPerByte = 8;

const unsigned char* BytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// Length-prefixed, so that different identities never yield the same bytes.
void HashPart(crypto_generichash_state& state, std::string_view part) {
  const std::uint64_t size = part.size();
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&size), sizeof(size));
  crypto_generichash_update(&state, BytesOf(part), part.size());
}

}  // namespace

RequestDigest DigestOf(const RequestIdentity& identity) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, BytesOf(kHashContext), kHashContext.size(), kRequestDigestBytes);
  HashPart(state, identity.host);
  HashPart(state, identity.target);
  HashPart(state, identity.caller);
  HashPart(state, identity.body);
  RequestDigest digest;
  crypto_generichash_final(&state, digest.bytes.data(), digest.bytes.size());
  return digest;
}

RequestDigest DigestOfPromptPart(std::uint64_t id) {
  RequestDigest digest;
  for (std::size_t i = sizeof(id); i > 0; --i) {
    digest.bytes[i - 1] = static_cast<std::uint8_t>(id);
    id >>= kBitsPerByte;
  }
  std::copy(kPartSuffix.begin(), kPartSuffix.end(), digest.bytes.begin() + sizeof(id));
  return digest;
}

bool IsPromptPart(const RequestDigest& digest) {
  const auto suffix = digest.bytes.begin() + sizeof(std::uint64_t);
  return std::equal(suffix, digest.bytes.end(), kPartSuffix.begin());
}

std::optional<std::string> PromptPartOf(const RequestDigest& digest) {
  if (!IsPromptPart(digest)) {
    return std::nullopt;
  }
  const std::string id = ToHex(std::span(digest.bytes).first(sizeof(std::uint64_t)));
  return id.substr(std::min(id.find_first_not_of('0'), id.size() - 1));
}

std::string TextOf(const RequestDigest& digest) {
  return ToHex(digest.bytes);
}

std::optional<RequestDigest> RequestDigestFromText(std::string_view text) {
  RequestDigest digest;
  return FromHex(text, digest.bytes) ? std::optional(digest) : std::nullopt;
}

}  // namespace rudderloom
