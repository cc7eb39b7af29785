/// @file
/// Which calls with an Idempotency-Key were claimed, by whom, and how they ended. Pure.
#ifndef RUDDERLOOM_CLAIMS_CLAIM_BOOK_HPP
#define RUDDERLOOM_CLAIMS_CLAIM_BOOK_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for int64_t
#include <map>             // for map
#include <string>          // for string
#include <string_view>     // for string_view

namespace rudderloom {

/// @brief How far a claimed call has come.
/// @ingroup claims
enum class ClaimState {
  kClaimed,  ///< Its owner runs it, or died before it could say how it ended.
  kEnded,    ///< It ran and its answer is known.
  kUnknown,  ///< It may have run; its owner never got an answer.
};

/// @brief One claimed call.
/// @ingroup claims
struct Claim {
  ClaimState state = ClaimState::kClaimed;
  std::string owner;            ///< Incarnation and number: no two attempts to claim share it.
  std::string fingerprint;      ///< Of the request, to find keys used for two different ones.
  std::int64_t claimed_at = 0;  ///< Seconds since 1970.
  unsigned status = 0;          ///< Of the answer, when it ended.
  std::string content_type;
  std::string body;  ///< Empty when it was too large to keep.
  bool body_kept = false;
};

/// @brief The claims of one shard: the spec of one platform object.
/// Whoever updates the object conditionally decides; no lease is needed, so a frozen process
/// can't break the rule that one key runs at most once.
/// @ingroup claims
class ClaimBook {
 public:
  /// @brief Reads a stored shard; anything unreadable in it is kept as an unknown claim.
  static ClaimBook FromJson(const boost::json::object& spec);
  boost::json::object ToJson() const;

  /// @brief The claim under a key; null when there is none.
  const Claim* Find(const std::string& key) const;

  /// @brief Adds a claim; false when the key is taken already.
  bool TryClaim(const std::string& key, const Claim& claim);

  /// @brief Records how a claim ended, if it still is its owner's.
  void Finish(const std::string& key, const Claim& ended);

  /// @brief Takes a claim back that surely did not run, if it still is its owner's.
  void Release(const std::string& key, const std::string& owner);

  /// @brief Forgets claims made before a moment (seconds since 1970).
  void Prune(std::int64_t before);

  /// @brief Rough size of the stored form, in bytes.
  std::size_t Bytes() const { return bytes_; }
  std::size_t Size() const { return claims_.size(); }

 private:
  std::map<std::string, Claim> claims_;
  std::size_t bytes_ = 0;
};

/// @brief A key's stored form: a hash over the service, the caller and the key itself, so that no
/// caller meets another's outcome.
/// @ingroup claims
std::string ClaimKey(std::string_view service, std::string_view caller, std::string_view key);

/// @brief Hash of what a call asks for.
/// @ingroup claims
std::string Fingerprint(std::string_view method, std::string_view target, std::string_view body);

/// @brief The shard of a key.
/// @ingroup claims
std::int64_t ShardOf(const std::string& key, std::int64_t shards);

}  // namespace rudderloom

#endif
