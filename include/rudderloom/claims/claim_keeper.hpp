/// @file
/// Claims calls in the platform before they are sent, with group commit.
#ifndef RUDDERLOOM_CLAIMS_CLAIM_KEEPER_HPP
#define RUDDERLOOM_CLAIMS_CLAIM_KEEPER_HPP

#include <cstdint>   // for uint64_t
#include <list>      // for list
#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional
#include <string>    // for string
#include <variant>   // for variant
#include <vector>    // for vector

#include "rudderloom/claims/claim_book.hpp"   // for Claim
#include "rudderloom/http/call_guard.hpp"     // for CallGuard
#include "rudderloom/store/object_store.hpp"  // for ObjectStore
#include "rudderloom/settings/settings.hpp"   // for ClaimSettings
#include "rudderloom/telemetry/metrics.hpp"   // for Metrics

namespace rudderloom {

/// @brief This process may execute the call, once.
/// @ingroup claims
struct ClaimGranted {
  Claim claim;
};

/// @brief The key is already claimed; contains the existing claim.
/// @ingroup claims
struct ClaimTaken {
  Claim claim;
};

/// @brief The claim could not be stored; the call was not sent and will not be.
/// @ingroup claims
struct ClaimUnavailable {
  std::string message;
};

/// @brief Result of an attempt to claim a call.
/// @ingroup claims
using ClaimResult = std::variant<ClaimGranted, ClaimTaken, ClaimUnavailable>;

/// @brief Manages the claims of one process. Use from the io_context's thread only.
/// @ingroup claims
class ClaimKeeper {
 public:
  ClaimKeeper(asio::io_context& context,
              ObjectStore& store,
              std::string incarnation,
              ClaimSettings settings,
              Metrics& metrics);

  /// @brief Claims a call; resumes once the claim is stored in the platform or has failed, or when
  /// `guard`, if any, interrupts the call. A claim that is stored after that is released.
  /// @param limit Time for the claim to be stored.
  /// @param runs_until Deadline of the call, in seconds since 1970; 0 if not known.
  Awaitable<ClaimResult> Take(std::string key,
                              std::string fingerprint,
                              Duration limit,
                              CallGuard* guard = nullptr,
                              std::int64_t runs_until = 0);

  /// @brief Records the outcome of a claimed call, in the background with retries.
  void Finish(const std::string& key, const Claim& ended);

  /// @brief Releases the claim of a call that was certainly not executed, in the background.
  void Release(const std::string& key, const Claim& claim);

  /// @brief From now on retries failed writes soon, as the process is about to exit.
  void BeginStop();

  /// @brief Returns the number of changes that are not stored yet.
  std::size_t Pending() const;

 private:
  enum class ChangeKind { kTake, kFinish, kRelease };

  struct Change {
    ChangeKind kind = ChangeKind::kTake;
    std::string key;
    Claim claim;
    // For kTake: the waiting caller, its deadline and the result.
    std::shared_ptr<Timer> waiter;
    TimePoint deadline;
    std::shared_ptr<std::variant<std::monostate, ClaimResult>> result;

    bool IsWaiting() const { return std::holds_alternative<std::monostate>(*result); }
  };

  struct Shard {
    std::string name;
    std::list<Change> pending;
    std::size_t committing_count = 0;  // changes in the commit in progress
    ClaimBook book;
    std::optional<StoreRevision> version;  // empty: not read yet
    std::vector<std::string> writers;
    bool running = false;
    Timer* pause = nullptr;  // of the commit loop, after a failed write
  };

  bool ProbeInProgress() const;
  void Enqueue(Change change);
  Awaitable<void> CommitLoop(Shard& shard);
  Awaitable<bool> Read(Shard& shard);
  Awaitable<bool> Commit(Shard& shard);
  void ResolveTaken(Shard& shard);
  void ResolveCommitted(const Shard& shard, Change& change);
  static void ReleaseAbandoned(Shard& shard);
  static bool NeedsRefresh(const Shard& shard);
  static const Claim* PendingOutcome(const Shard& shard, const std::string& key);
  void ExpireOverdue(Shard& shard, const std::string& why);
  static void Resolve(Change& change, ClaimResult result);

  asio::io_context& context_;
  ObjectStore& store_;
  std::string incarnation_;
  ClaimSettings settings_;
  Metrics& metrics_;
  std::map<std::int64_t, Shard> shards_;
  std::uint64_t sequence_ = 0;
  bool failing_ = false;  // the latest call to the platform failed
  bool stopping_ = false;
};

}  // namespace rudderloom

#endif
