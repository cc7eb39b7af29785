/// @file
/// Lease, reservations and orders of one pool, as a pure state machine.
///
/// One node at a time holds a pool's lease and decides its orders. The memory for an order is
/// reserved in the platform before the order is sent, and stays reserved until the outcome is
/// known. See docs/design/orders-and-leases.md for the guarantee and its bounds.
#ifndef RUDDERLOOM_RESIDENCY_POOL_KEEPER_HPP
#define RUDDERLOOM_RESIDENCY_POOL_KEEPER_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string
#include <variant>     // for variant
#include <vector>      // for vector

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/base/store_revision.hpp"    // for StoreRevision
#include "rudderloom/residency/order.hpp"        // for Order
#include "rudderloom/residency/planner.hpp"      // for PlanAction
#include "rudderloom/residency/pool_record.hpp"  // for PoolRecord
#include "rudderloom/residency/pool_view.hpp"    // for PoolView
#include "rudderloom/settings/settings.hpp"      // for ResidencySettings

namespace rudderloom {

/// @brief How a pool's object was read.
/// @ingroup residency
enum class PoolReadKind {
  kWatched,  ///< From a watch; may be outdated.
  kRead,     ///< From a fresh read; includes everything written before the read started.
};

/// @brief A conditional write of the pool's object.
/// @ingroup residency
struct WritePool {
  std::string pool;
  PoolRecord record;
  StoreRevision version;  ///< Revision that the platform must have.
};

/// @brief A fresh read of the pool's object.
/// @ingroup residency
struct ReadPool {
  std::string pool;
};

/// @brief A planned step that was recorded as an intent; for logs and the move count.
/// @ingroup residency
struct MoveDecided {
  std::string endpoint;
  std::string unit;
  PlanAction::Kind kind = PlanAction::Kind::kLoad;
  PlanAction::Reason reason = PlanAction::Reason::kWanted;
};

/// @brief Action that a keeper asks its caller to carry out.
/// @ingroup residency
using PoolEffect = std::variant<WritePool, ReadPool, Order, MoveDecided>;
using PoolEffects = std::vector<PoolEffect>;

/// @brief The state machine of one pool. The caller carries out its effects and reports their
/// results.
/// @ingroup residency
class PoolKeeper {
 public:
  PoolKeeper(std::string node,
             std::string incarnation,
             std::string pool,
             ResidencySettings settings);

  /// @brief Applies a read of the object. An empty version means that it does not exist.
  void ApplyRead(const PoolRecord& record,
                 const std::optional<StoreRevision>& version,
                 PoolReadKind sight,
                 TimePoint now);

  /// @brief Notes that the write in flight succeeded and produced this revision.
  void OnWriteSucceeded(const StoreRevision& version, TimePoint now);

  /// @brief Notes that the write in flight failed or its result is unknown; the object will be read
  /// again.
  void WriteFailed(TimePoint now);

  /// @brief Notes that a read failed.
  void ReadFailed();

  /// @brief Applies the outcome of an order that was sent.
  void OrderEnded(const Order& order, OrderOutcome outcome, TimePoint now);

  /// @brief Advances the state machine. Call frequently.
  PoolEffects Tick(const PoolView& view, TimePoint now);

  /// @brief Releases the lease if held, and acquires no lease from now on.
  void Stop() { stopping_ = true; }

  bool Holds(TimePoint now) const { return holding_ && now < lease_until_; }
  bool Released() const { return !holding_ && orders_in_flight_.empty(); }

  /// @brief Returns the newest epoch such that this process has no outstanding order of an older
  /// one.
  std::uint64_t OldestOrderEpoch() const;

  const PoolRecord& Stored() const { return stored_; }

 private:
  struct SendState {  // this process's order state of one unit
    std::optional<TimePoint> unanswered_until;
    std::optional<TimePoint> retry_at;
    std::optional<TimePoint> missing_since;
    std::optional<TimePoint> settled_at;
  };
  struct SilentSender {  // since when another sender is known to be silent
    std::optional<TimePoint> since;
  };

  void TryTakeOver(PoolEffects& effects, TimePoint now);
  void PrepareTakeover();
  bool IsOlder(const PoolRecord& record) const;
  // Handles a platform restored from a copy older than the last write.
  void HandleRestoredCopy(TimePoint now);
  bool ConfirmOwnRecord(const PoolRecord& record);
  void Reconcile(const PoolView& view, TimePoint now);
  void ReconcileOne(const UnitKey& key,
                    Reservation& reservation,
                    const PoolEndpoint& endpoint,
                    const PoolView& view,
                    TimePoint now);
  void ClearSenders(const UnitKey& key,
                    Reservation& reservation,
                    const PoolView& view,
                    TimePoint now);
  void ReserveReportedUnits(const PoolEndpoint& endpoint, const PoolView& view, TimePoint now);
  void PlanMoves(const PoolView& view, PoolEffects& effects, TimePoint now);
  void RecordAction(const PlanInput& input,
                    const PlanAction& action,
                    PoolEffects& effects,
                    TimePoint now);
  bool IsGonePermanently(const std::string& endpoint, bool listed, TimePoint now);
  void WriteDraft(PoolEffects& effects, TimePoint now);
  void SendOrders(const PoolView& view, PoolEffects& effects, TimePoint now);
  void RecordIntent(Reservation& reservation, UnitState state);
  void LoseLease();

  std::string node_;
  std::string incarnation_;
  std::string pool_;
  ResidencySettings settings_;
  Duration takeover_jitter_;  // so that nodes don't all try at the same time

  PoolRecord stored_;
  std::optional<StoreRevision> version_;  // empty until known
  bool exists_ = false;
  TimePoint changed_at_;
  PoolRecord draft_;
  bool holding_ = false;
  bool stopping_ = false;
  TimePoint lease_until_;
  TimePoint renewed_at_;
  TimePoint planned_at_;
  TimePoint load_sent_at_;

  std::optional<PoolRecord> pending_write_;
  TimePoint write_started_;
  bool reading_ = false;
  bool must_read_ = false;

  std::map<UnitKey, Order> orders_in_flight_;
  std::map<UnitKey, SendState> send_states_;
  std::map<std::string, SilentSender> silent_senders_;
  std::map<std::string, TimePoint> full_until_;  // endpoints that rejected a load for memory
  std::map<std::string, TimePoint> gone_since_;  // endpoints missing from the platform's list
};

}  // namespace rudderloom

#endif
