/// @file
/// The lease that one entry node at a time holds on ordering endpoints. Kept in the platform.
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

/// @brief Who held the lease before, and may have started loads.
/// @ingroup placement
enum class FormerHolder {
  kNone,
  kThisProcess,  ///< Under the same epoch: its own starts are known.
  kThisNode,     ///< An earlier process, whose last orders may have been sent just now.
  kOtherNode,    ///< Its last orders are older than the lease bound.
};

/// @brief What a new holder has to know of the one before.
/// @ingroup placement
struct FormerLease {
  FormerHolder who = FormerHolder::kNone;
  OrderScopes own;                ///< Of an earlier process on this machine.
  OrderScopes inherited;          ///< Of other machines: not to be ordered before `rest` is over.
  bool inherited_all = false;     ///< The same for all endpoints: nobody knows which they ordered.
  LowBalances low_balances = {};  ///< As of its last write.
  std::set<RequestDigest> quarantined = {};  ///< As of its last write.
  Duration rest{0};
};

/// @brief What a process knows of the lease when it starts.
/// @ingroup placement
enum class LeaseStart {
  kFirst,    ///< The whole system starts for the first time: nobody has held it.
  kUnknown,  ///< Somebody may have held it.
};

/// @brief A conditional write of the record.
/// @ingroup placement
struct LeaseWrite {
  LeaseRecord record;
  StoreRevision version;  ///< That the platform must have; without a number, to create it.
};

/// @brief How long a node lets others take the lease before it does. A holder plans for the whole
/// fleet and answers all nodes, which costs several times what other nodes need for control: with
/// the lease on 0.12 of a core beside 86 nodes, that node took a configuration 5.4 s late.
/// @param processor_share Of one core, that the node may use.
/// @ingroup placement
Duration YieldTime(double processor_share);

/// @brief Takes, renews and gives up the lease. Pure: no I/O, and time is passed in.
///
/// No clocks are compared between processes. The holder counts its time from the start of its last
/// write that took effect, and sends orders only to endpoints that this write named. Others take
/// over once a fresh read shows that the holder has not renewed in time; they write on condition of
/// the version that they saw, so that a renewal in the meantime makes them fail. The endpoints that
/// the former holder named must then rest until its time and the lease bound are over; whatever it
/// did not name may be ordered at once.
///
/// A store that comes back from an older copy has lost renewals, announcements and whole terms of
/// holders, which go on until their time is over. So in a new era
/// - a holder whose time isn't over takes the lease anew at once, with a token of that era, and
///   keeps off all endpoints but those that it had announced itself;
/// - everybody else waits until the time of whoever may have held it is over, and then keeps off
///   all endpoints.
/// Tokens begin with the era, so that none is given out twice, whoever knew the last one.
/// @ingroup placement
class LeaseKeeper {
 public:
  /// @param bound The least time between orders of two holders.
  /// @param yield How long this node lets others take a free lease first.
  /// @param start At the first start of the whole system there was no holder whose record the store
  /// may have lost.
  LeaseKeeper(std::string address,
              std::string incarnation,
              Duration bound,
              Duration yield = Duration(0),
              LeaseStart start = LeaseStart::kUnknown);

  /// @brief The object as read; an empty record when there is none.
  /// @param version Without a record, the store's era alone.
  /// @param fresh False when the read may be seconds old.
  /// @return False when the record is older than one that this process knows: it is passed over.
  bool Seen(const std::optional<LeaseRecord>& record,
            const StoreRevision& version,
            bool fresh,
            TimePoint now);

  /// @brief The object could not be read: how long a version has stood is not known any more.
  void Unread(TimePoint now);

  /// @brief What the record must name from now on; an addition is written at once.
  void Announce(OrderScopes own, OrderScopes inherited, bool inherited_all = false);

  /// @brief What the next write is to tell of customers' balances; no reason for a write.
  void NoteBalances(LowBalances low) { low_balances_ = std::move(low); }

  /// @brief What the record must tell of requests in quarantine; an addition is written at once.
  void NoteQuarantined(std::set<RequestDigest> quarantined) {
    quarantined_ = std::move(quarantined);
  }

  /// @brief Lets others go first for so long, beyond what the node's processor time makes it yield.
  void YieldFor(Duration more) { more_yield_ = more; }

  /// @brief Endpoints that this holder may send orders to.
  OrderScopes Announced() const;

  /// @brief The write to make now, if any; one at a time.
  std::optional<LeaseWrite> NextWrite(TimePoint now);

  /// @brief The write took effect and gave this version.
  void Written(const StoreRevision& version, TimePoint now);

  /// @brief The write failed, or nobody knows: the object must be read again.
  void WriteFailed();

  /// @brief True once the object, or that there is none, has been seen.
  bool Known() const { return version_.has_value(); }

  /// @brief True when the object must be read freshly before anything else.
  bool NeedsRead() const { return needs_read_ || (Suspects() && !Confirmed()); }

  /// @brief Gives the lease up with the next write and takes it no more.
  void Stop() { stopping_ = true; }

  /// @brief Gives the lease up with the next write, if it is held. This process may take it again.
  void HandOver() { handing_over_ = holding_; }

  /// @brief True while this process may send orders.
  bool Holds(TimePoint now) const { return !GivesUp() && holding_ && now < valid_until_; }

  /// @brief True when this process holds the lease and has not been able to renew it in time: it
  /// may be cut off from the platform, and others should look.
  bool RenewalsFail(TimePoint now) const;
  TimePoint ValidUntil() const { return valid_until_; }
  std::uint64_t Epoch() const { return record_.epoch; }

  /// @brief Who held the lease before this process took it.
  const FormerLease& Former() const { return former_; }

  /// @brief The last known holder; empty when there is none.
  const std::string& HolderAddress() const { return record_.holder; }

  /// @brief True after a stop or a handover once nothing is held any more.
  bool Released() const { return !holding_ && !writing_; }

 private:
  bool IsMine(const LeaseRecord& record) const;
  bool IsLate(const std::optional<LeaseRecord>& record,
              const StoreRevision& version,
              bool fresh) const;
  // A stale read found no object where this process knows of one, or of nothing yet.
  void MissedByStaleRead(const StoreRevision& version, TimePoint now);
  void Take(const LeaseRecord& record, bool changed_in_era);
  // What was written may be gone: takes what is left of the record.
  void TakeCopy(const LeaseRecord& record);
  // How long the record must stand still before another node takes the lease.
  Duration Patience() const;
  // The first write of a holder whose lease may be gone from the store.
  LeaseWrite TakeAnew();
  LeaseWrite TakeOver();
  LeaseWrite Renewal() const;
  std::uint64_t NextEpoch() const;
  bool GivesUp() const { return stopping_ || handing_over_; }
  bool IsFree() const;
  // The lease is free, or its holder has not renewed it in time, as far as this node has seen.
  bool Suspects() const;
  // A fresh read has shown so as well.
  bool Confirmed() const;
  bool MustWrite(TimePoint now) const;
  // Nobody holds it, and nodes that should come first have had their time.
  bool FreeForThisNode(TimePoint now) const;
  FormerLease FormerOf(const LeaseRecord& record) const;

  std::string address_;
  std::string incarnation_;
  Duration valid_for_;
  Duration renew_every_;
  Duration suspect_after_;
  Duration lost_after_;  // the same where the lease of an unknown holder may be gone
  Duration bound_;
  Duration yield_;
  Duration more_yield_{0};

  LeaseRecord record_;                    // the newest that is known, also if the store has lost it
  std::optional<StoreRevision> version_;  // empty: never read
  bool version_certain_ = false;          // read freshly or written, not from a stale read
  // The record is from an older copy of the store, or was written by a program that can't tell:
  // what has been written since may be gone.
  bool may_lack_ = false;
  bool store_is_new_;  // nothing can have been lost: no call has failed since the first start
  TimePoint first_seen_;
  TimePoint last_seen_;      // when any read last showed this version
  TimePoint read_fresh_at_;  // when a fresh read last showed this version
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
  TimePoint write_started_at_;
  std::optional<LeaseWrite> writing_;
  std::map<std::uint64_t, TimePoint> write_starts_;  // by renewals, of the present epoch
};

}  // namespace rudderloom

#endif
