/// @file
/// The lease, stored in the platform, that lets one entry node at a time send orders to endpoints.
#ifndef RUDDERLOOM_PLACEMENT_LEASE_KEEPER_HPP
#define RUDDERLOOM_PLACEMENT_LEASE_KEEPER_HPP

#include <cstdint>   // for uint64_t
#include <map>       // for map
#include <optional>  // for optional
#include <set>       // for set
#include <string>    // for string
#include <utility>   // for move

#include "rudderloom/base/clock.hpp"                 // for TimePoint
#include "rudderloom/base/store_revision.hpp"        // for StoreRevision
#include "rudderloom/placement/lease_record.hpp"     // for LeaseRecord
#include "rudderloom/placement/order_scope.hpp"      // for OrderScopes
#include "rudderloom/quarantine/request_digest.hpp"  // for RequestDigest

namespace rudderloom {

/// @brief The previous holder of the lease, which may have started loads.
/// @ingroup placement
enum class FormerHolder {
  kNone,
  kThisProcess,  ///< This process itself; the loads it started are known.
  kThisNode,     ///< An earlier process on this machine, which may have sent orders very recently.
  kOtherNode,    ///< Another machine; its last orders are older than the lease bound.
};

/// @brief Information about the previous lease that a new holder needs.
/// @ingroup placement
struct FormerLease {
  FormerHolder former_holder = FormerHolder::kNone;
  /// @brief Nobody has held it: the settings say so, and a store in its first era, which has lost
  /// nothing, has no record. Without a former holder alone, its record may be lost.
  bool never_held = false;
  OrderScopes own;        ///< Announced by an earlier process on this machine.
  OrderScopes inherited;  ///< Announced by other machines; no orders are sent to these endpoints
                          ///< until `blocked_for` has passed.
  bool inherited_all = false;     ///< The same for all endpoints, if the announcements are lost.
  LowBalances low_balances = {};  ///< At the time of its last write.
  std::set<RequestDigest> quarantined = {};  ///< At the time of its last write.
  /// @brief That have served lately; empty if not known, or if later writes may be lost. None has
  /// if the lease was never held.
  std::optional<VersionsByService> software_versions = {};
  /// @brief No node of the former holder was of an earlier version of this program, which has no
  /// start of a stream confirmed.
  bool confirms_starts = false;
  Duration blocked_for{0};
};

/// @brief What a process knows about the lease when it starts.
/// @ingroup placement
enum class LeaseStart {
  kFirst,    ///< First start of the whole system, by its settings.
  kUnknown,  ///< The lease may have been held before.
};

/// @brief A conditional write of the lease record.
/// @ingroup placement
struct LeaseWrite {
  LeaseRecord record;
  StoreRevision version;  ///< Required current revision; without a number, creates the record.
};

/// @brief Returns how long a node waits for others to take a free lease first. A holder plans for
/// the whole fleet and answers all nodes, which costs several times the control work of other
/// nodes: with the lease on 0.12 of a core in a fleet of 87 nodes, that node applied a
/// configuration 5.4 s late.
/// @param processor_share Fraction of one core available to the node.
/// @ingroup placement
Duration YieldTime(double processor_share);

/// @brief Acquires, renews and releases the lease. Pure: no I/O, and time is passed in.
///
/// No clocks are compared between processes. The holder measures the lease from the start of its
/// last successful write, and sends orders only to endpoints listed in that write. Another node
/// takes over once a fresh read shows that the holder has not renewed in time. It writes on
/// condition of the revision it read, so the write fails if the holder has renewed in the meantime.
/// Endpoints listed by the former holder receive no orders until its lease and then the lease bound
/// have expired; all others may receive orders at once.
///
/// A store restored from an older copy has lost renewals, announcements and whole terms of holders,
/// whose leases remain valid until they expire. Therefore, in a new era:
/// - a holder whose lease is still valid reacquires it at once, with a token of the new era, and
///   sends orders only to endpoints that it had announced itself;
/// - every other node waits until any lease that may exist has expired, and then sends no orders to
///   any endpoint until `FormerLease::blocked_for` has passed.
/// The upper bits of a token are the era, so no token is issued twice even if the last one was
/// lost.
/// @ingroup placement
class LeaseKeeper {
 public:
  /// @param bound Minimum time between orders of two holders.
  /// @param yield How long this node waits for others to take a free lease first.
  /// @param start At the first start of the whole system, a missing record tells that no software
  /// version has served, if the store has never lost a write.
  LeaseKeeper(std::string address,
              std::string incarnation,
              Duration bound,
              Duration yield = Duration(0),
              LeaseStart start = LeaseStart::kUnknown);

  /// @brief Applies a read of the lease object; an empty record if there is none.
  /// @param version Revision of the object; without a record, only the store's era.
  /// @param fresh False if the data read may be seconds old.
  /// @return False if the record is older than one this process knows; it is then ignored.
  bool ApplyRead(const std::optional<LeaseRecord>& record,
                 const StoreRevision& version,
                 bool fresh,
                 TimePoint now);

  /// @brief Notes that the object could not be read, so how long its revision has been unchanged is
  /// no longer known.
  void OnReadFailed(TimePoint now);

  /// @brief Sets the endpoints that the record must list; additions are written at once.
  void Announce(OrderScopes own, OrderScopes inherited, bool inherited_all = false);

  /// @brief Sets the customer balances to include in the next write; does not trigger a write.
  void SetLowBalances(LowBalances low) { low_balances_ = std::move(low); }

  /// @brief Sets the quarantined requests that the record must list; additions are written at once.
  void SetQuarantined(std::set<RequestDigest> quarantined) {
    quarantined_ = std::move(quarantined);
  }

  /// @brief Sets the software versions that the record must list; additions are written at once.
  void SetSoftwareVersions(std::optional<VersionsByService> versions) {
    software_versions_ = std::move(versions);
  }

  /// @brief Sets the unrecorded versions to include in the next write; does not trigger a write.
  /// Empty: some node is of an earlier version of this program.
  void SetUnrecordedVersions(std::optional<VersionOfService> versions) {
    unrecorded_versions_ = std::move(versions);
  }

  /// @brief Sets an additional delay before taking the lease, on top of the yield time that follows
  /// from the node's processor share.
  void SetExtraYield(Duration extra) { extra_yield_ = extra; }

  /// @brief Returns the endpoints to which this holder may send orders.
  OrderScopes Announced() const;

  /// @brief Returns the write to make now, if any; at most one is in progress.
  std::optional<LeaseWrite> NextWrite(TimePoint now);

  /// @brief Notes that the write succeeded and produced this revision.
  void OnWriteSucceeded(const StoreRevision& version, TimePoint now);

  /// @brief Notes that the write failed or its result is unknown; the object must be read again.
  void WriteFailed();

  /// @brief True once the object has been read or found absent.
  bool Known() const { return version_.has_value(); }

  /// @brief True if a fresh read of the object is required before any other step.
  bool NeedsRead() const { return needs_read_ || (LooksAvailable() && !AvailabilityConfirmed()); }

  /// @brief Releases the lease with the next write and never acquires it again.
  void Stop() { stopping_ = true; }

  /// @brief Releases the lease, if held, with the next write. This process may acquire it again.
  void HandOver() { handing_over_ = holding_; }

  /// @brief True while this process may send orders.
  bool Holds(TimePoint now) const { return !IsReleasing() && holding_ && now < valid_until_; }

  /// @brief True if this process holds the lease but has failed to renew it on schedule. It may be
  /// cut off from the platform, and other nodes should check the lease.
  bool IsRenewalOverdue(TimePoint now) const;
  TimePoint ValidUntil() const { return valid_until_; }
  /// @brief Until then no other node can have taken the lease. It may be valid for longer: the next
  /// holder sends no orders to this one's endpoints meanwhile.
  TimePoint ExclusiveUntil() const;
  std::uint64_t Epoch() const { return record_.epoch; }

  /// @brief The previous lease, before this process acquired it.
  const FormerLease& Former() const { return former_; }

  /// @brief The lease record as last read or written; null before the first read, or if later
  /// writes may be lost. Without a holder, the lease was never held.
  const LeaseRecord* Record() const {
    return version_ && !writes_may_be_lost_ ? &record_ : nullptr;
  }

  /// @brief True once a record is known or may have been lost, so that no later process concludes
  /// that the lease was never held.
  bool EverHeld() const { return version_ && (version_->Era() > 0 || !record_.holder.empty()); }

  /// @brief Address of the last known holder; empty if there is none.
  const std::string& HolderAddress() const { return record_.holder; }

  /// @brief True once the lease is not held and no write is in progress.
  bool Released() const { return !holding_ && !pending_write_; }

 private:
  bool IsOwnRecord(const LeaseRecord& record) const;
  bool IsOutdated(const std::optional<LeaseRecord>& record,
                  const StoreRevision& version,
                  bool fresh) const;
  // Handles a stale read that found no object, when this process knows of one or has read nothing
  // yet.
  void HandleStaleMiss(const StoreRevision& version, TimePoint now);
  void ApplyRecord(const LeaseRecord& record, bool changed_in_era);
  // Applies a record from which later writes may have been lost.
  void ApplyOldRecord(const LeaseRecord& record);
  // How long the record must remain unchanged before another node takes the lease.
  Duration TakeoverDelay() const;
  // The first write of a holder whose lease may be missing from the restored store.
  LeaseWrite Reacquire();
  LeaseWrite TakeOver();
  LeaseWrite Renewal() const;
  std::uint64_t NextEpoch() const;
  bool IsReleasing() const { return stopping_ || handing_over_; }
  bool IsFree() const;
  // True if the lease is free or its holder has not renewed it in time, judging by all reads.
  bool LooksAvailable() const;
  // True if a fresh read has confirmed this.
  bool AvailabilityConfirmed() const;
  bool MustWrite(TimePoint now) const;
  // True if the record lists all that it must list.
  bool RecordComplete() const;
  // True once nodes with precedence have had time to take a free lease.
  bool YieldElapsed(TimePoint now) const;
  FormerLease FormerLeaseOf(const LeaseRecord& record) const;

  std::string address_;
  std::string incarnation_;
  Duration valid_for_;
  Duration renew_every_;
  Duration renewal_timeout_;
  Duration lost_record_timeout_;  // takeover timeout if the record of an unknown holder may be lost
  Duration bound_;
  Duration yield_;
  Duration extra_yield_{0};

  LeaseRecord record_;                    // the newest known, even if the store has lost it
  std::optional<StoreRevision> version_;  // empty until first read
  bool version_certain_ = false;          // from a fresh read or a write, not a stale read
  // The record is from an older copy of the store, or was written by a program without eras, so
  // later writes may be lost.
  bool writes_may_be_lost_ = false;
  bool first_start_;  // by the settings, and no record has been seen
  TimePoint first_seen_;
  TimePoint last_seen_;      // when any read last returned this revision
  TimePoint read_fresh_at_;  // when a fresh read last returned this revision
  bool needs_read_ = true;
  bool holding_ = false;
  bool stopping_ = false;
  bool handing_over_ = false;
  TimePoint valid_until_;
  FormerLease former_;
  OrderScopes wanted_own_;
  OrderScopes wanted_inherited_;
  bool wanted_inherited_all_ = false;
  LowBalances low_balances_;
  std::set<RequestDigest> quarantined_;
  std::optional<VersionsByService> software_versions_;
  std::optional<VersionOfService> unrecorded_versions_;
  TimePoint write_started_at_;
  std::optional<LeaseWrite> pending_write_;
  std::map<std::uint64_t, TimePoint> write_starts_;  // by renewal count, in the current epoch
};

}  // namespace rudderloom

#endif
