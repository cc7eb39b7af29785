#include "rudderloom/quarantine/request_digest.hpp"

#include <sodium/crypto_generichash.h>  // for crypto_generichash_update

#include "rudderloom/base/hex.hpp"  // for ToHex

namespace rudderloom {

namespace {

// Keeps the digests apart from those that other programs make of the same bodies.
constexpr std::string_view kPurpose = "rudderloom request";
static_assert(kPurpose.size() >= crypto_generichash_KEYBYTES_MIN);

const unsigned char* BytesOf(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// With its length ahead, so that no two identities give the same bytes.
void Add(crypto_generichash_state& state, std::string_view part) {
  const std::uint64_t size = part.size();
  crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&size), sizeof(size));
  crypto_generichash_update(&state, BytesOf(part), part.size());
}

}  // namespace

RequestDigest DigestOf(const RequestIdentity& identity) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, BytesOf(kPurpose), kPurpose.size(), kRequestDigestBytes);
  Add(state, identity.host);
  Add(state, identity.target);
  Add(state, identity.caller);
  Add(state, identity.body);
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
