#include "rudderloom/quarantine/request_digest.hpp"

#include <sodium/crypto_generichash.h>  // for crypto_generichash_update

#include "rudderloom/base/hex.hpp"  // for ToHex

namespace rudderloom {

namespace {

// Domain separation: makes the digests differ from those of other programs for the same bodies.
constexpr std::string_view kHashContext = "rudderloom request";
static_assert(kHashContext.size() >= crypto_generichash_KEYBYTES_MIN);

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

std::string TextOf(const RequestDigest& digest) {
  return ToHex(digest.bytes);
}

std::optional<RequestDigest> RequestDigestFromText(std::string_view text) {
  RequestDigest digest;
  return FromHex(text, digest.bytes) ? std::optional(digest) : std::nullopt;
}

}  // namespace rudderloom
