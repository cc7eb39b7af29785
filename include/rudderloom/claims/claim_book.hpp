/// @file
/// Claims of calls with an Idempotency-Key: their owners and outcomes. Does no I/O.
#ifndef RUDDERLOOM_CLAIMS_CLAIM_BOOK_HPP
#define RUDDERLOOM_CLAIMS_CLAIM_BOOK_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for int64_t
#include <map>             // for map
#include <string>          // for string
#include <string_view>     // for string_view

namespace rudderloom {

/// @brief Progress of a claimed call.
/// @ingroup claims
enum class ClaimState {
  kClaimed,  ///< Its owner runs it, or died before recording the outcome.
  kEnded,    ///< It was executed and its answer is known.
  kUnknown,  ///< It may have been executed; its owner got no answer.
};

/// @brief A claimed call.
/// @ingroup claims
struct Claim {
  ClaimState state = ClaimState::kClaimed;
  std::string owner;            ///< Incarnation and number; unique per attempt to claim.
  std::string fingerprint;      ///< Of the request; detects keys reused for another one.
  std::int64_t claimed_at = 0;  ///< Seconds since 1970.
  std::int64_t runs_until = 0;  ///< Deadline of the call, seconds since 1970; 0 if not known.
  unsigned status = 0;          ///< HTTP status of the answer, if it ended.
  std::string content_type;
  std::string body;  ///< Empty if it was too large to store.
  bool body_kept = false;

  /// @brief True while the owner may still be running the call and can record its outcome.
  /// @param unix_seconds Seconds since 1970, by a clock that may differ from the owner's by 2 s.
  bool MayBeRunning(std::int64_t unix_seconds) const;

  /// @brief Returns the incarnation of the node that owns the claim.
  std::string OwnerIncarnation() const { return owner.substr(0, owner.rfind('/')); }
};

/// @brief The claims of one shard: the spec of one platform object.
/// Conditional updates of the object serialize all claims. No lease is needed, so a process that
/// was suspended can't break the rule that one key is executed at most once.
/// @ingroup claims
class ClaimBook {
 public:
  /// @brief Parses a stored shard; unreadable claims are kept with the state `kUnknown`.
  static ClaimBook FromJson(const boost::json::object& spec);
  boost::json::object ToJson() const;

  /// @brief Returns the claim of a key; null if there is none.
  const Claim* Find(const std::string& key) const;

  /// @brief Adds a claim; returns false if the key is already claimed.
  bool TryClaim(const std::string& key, const Claim& claim);

  /// @brief Records the outcome of a claim if `ended` has the same owner.
  void Finish(const std::string& key, const Claim& ended);

  /// @brief Removes the claim of a call that was certainly not executed, if it belongs to `owner`.
  void Release(const std::string& key, const std::string& owner);

  /// @brief Removes claims made before a time (seconds since 1970).
  void Prune(std::int64_t before);

  /// @brief Returns the approximate size of the stored form in bytes.
  std::size_t Bytes() const { return bytes_; }
  std::size_t Size() const { return claims_.size(); }

 private:
  std::map<std::string, Claim> claims_;
  std::size_t bytes_ = 0;
};

/// @brief Returns the stored form of a key: a hash of the service, the caller and the key itself,
/// so that no caller receives another's outcome.
/// @ingroup claims
std::string ClaimKey(std::string_view service, std::string_view caller, std::string_view key);

/// @brief Returns the hash of a call's request.
/// @ingroup claims
std::string Fingerprint(std::string_view method, std::string_view target, std::string_view body);

/// @brief Returns the shard number of a key.
/// @ingroup claims
std::int64_t ShardOf(const std::string& key, std::int64_t shards);

}  // namespace rudderloom

#endif
