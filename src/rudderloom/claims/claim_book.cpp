#include "rudderloom/claims/claim_book.hpp"

#include <boost/uuid/detail/sha1.hpp>  // for sha1
#include <cstdio>                      // for snprintf

#include "rudderloom/base/json_fields.hpp"  // for TextAt

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr std::size_t kClaimOverheadBytes = 160;
constexpr std::int64_t kClockToleranceSeconds = 2;
constexpr unsigned kDigestWords = 4;  // of SHA-1's five: 128 bits

// Short hash of length-prefixed parts, so that different lists of parts never hash the same bytes.
template <class... Parts>
std::string Digest(Parts... parts) {
  boost::uuids::detail::sha1 sha;
  const auto add = [&](std::string_view part) {
    const std::string length = std::to_string(part.size()) + ":";
    sha.process_bytes(length.data(), length.size());
    sha.process_bytes(part.data(), part.size());
  };
  (add(parts), ...);
  boost::uuids::detail::sha1::digest_type words;
  sha.get_digest(words);
  std::string text;
  for (unsigned i = 0; i < kDigestWords; ++i) {
    char hex[9];
    std::snprintf(hex, sizeof(hex), "%08x", words[i]);
    text += hex;
  }
  return text;
}

std::size_t StoredSize(const Claim& claim) {
  return kClaimOverheadBytes + claim.body.size() + claim.content_type.size();
}

Claim ClaimFromJson(const json::value& value) {
  Claim claim;
  claim.state = ClaimState::kUnknown;
  if (!value.is_object()) {
    return claim;
  }
  const json::object& object = value.as_object();
  const std::string state = TextAt(object, "state");
  if (state == "claimed") {
    claim.state = ClaimState::kClaimed;
  } else if (state == "ended") {
    claim.state = ClaimState::kEnded;
  }
  claim.owner = TextAt(object, "owner");
  claim.fingerprint = TextAt(object, "fingerprint");
  claim.claimed_at = static_cast<std::int64_t>(NumberAt(object, "claimed_at"));
  claim.runs_until = static_cast<std::int64_t>(NumberAt(object, "runs_until"));
  claim.status = static_cast<unsigned>(NumberAt(object, "status"));
  claim.content_type = TextAt(object, "content_type");
  claim.body = TextAt(object, "body");
  claim.body_kept = object.contains("body");
  return claim;
}

json::object ClaimToJson(const Claim& claim) {
  json::object object{
      {"owner", claim.owner}, {"fingerprint", claim.fingerprint}, {"claimed_at", claim.claimed_at}};
  switch (claim.state) {
    case ClaimState::kClaimed:
      object["state"] = "claimed";
      object["runs_until"] = claim.runs_until;
      break;
    case ClaimState::kUnknown:
      object["state"] = "unknown";
      break;
    case ClaimState::kEnded:
      object["state"] = "ended";
      object["status"] = static_cast<std::int64_t>(claim.status);
      object["content_type"] = claim.content_type;
      if (claim.body_kept) {
        object["body"] = claim.body;
      }
      break;
  }
  return object;
}

}  // namespace

bool Claim::MayBeRunning(std::int64_t unix_seconds) const {
  return state == ClaimState::kClaimed &&
         (runs_until == 0 || unix_seconds <= runs_until + kClockToleranceSeconds);
}

ClaimBook ClaimBook::FromJson(const json::object& spec) {
  ClaimBook book;
  const json::value* claims = spec.if_contains("claims");
  if (claims == nullptr || !claims->is_object()) {
    return book;
  }
  for (const auto& member : claims->as_object()) {
    const Claim claim = ClaimFromJson(member.value());
    book.bytes_ += StoredSize(claim);
    book.claims_.emplace(std::string(member.key()), claim);
  }
  return book;
}

json::object ClaimBook::ToJson() const {
  json::object claims;
  for (const auto& [key, claim] : claims_) {
    claims[key] = ClaimToJson(claim);
  }
  return {{"claims", claims}};
}

const Claim* ClaimBook::Find(const std::string& key) const {
  const auto found = claims_.find(key);
  return found == claims_.end() ? nullptr : &found->second;
}

bool ClaimBook::TryClaim(const std::string& key, const Claim& claim) {
  const bool added = claims_.emplace(key, claim).second;
  bytes_ += added ? StoredSize(claim) : 0;
  return added;
}

void ClaimBook::Finish(const std::string& key, const Claim& ended) {
  const auto found = claims_.find(key);
  if (found == claims_.end() || found->second.owner != ended.owner) {
    return;
  }
  bytes_ += StoredSize(ended) - StoredSize(found->second);
  found->second = ended;
}

void ClaimBook::Release(const std::string& key, const std::string& owner) {
  const auto found = claims_.find(key);
  if (found == claims_.end() || found->second.owner != owner) {
    return;
  }
  bytes_ -= StoredSize(found->second);
  claims_.erase(found);
}

void ClaimBook::Prune(std::int64_t before) {
  std::erase_if(claims_, [&](const auto& entry) {
    if (entry.second.claimed_at >= before) {
      return false;
    }
    bytes_ -= StoredSize(entry.second);
    return true;
  });
}

std::string ClaimKey(std::string_view service, std::string_view caller, std::string_view key) {
  return Digest(service, caller, key);
}

std::string Fingerprint(std::string_view method, std::string_view target, std::string_view body) {
  return Digest(method, target, body);
}

std::int64_t ShardOf(const std::string& key, std::int64_t shards) {
  constexpr std::size_t kHexDigits = 8;
  const auto number = std::stoull(key.substr(0, kHexDigits), nullptr, 16);
  return static_cast<std::int64_t>(number % static_cast<unsigned long long>(shards));
}

}  // namespace rudderloom
