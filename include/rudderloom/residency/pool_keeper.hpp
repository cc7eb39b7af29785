/// @file
/// Lease, reservations and orders of one pool, as a pure state machine.
///
/// One node at a time holds a pool's lease and decides its orders. An order's memory is reserved
/// in the platform before the order is sent, and stays reserved until its outcome is known; see
/// docs/design/orders-and-leases.md for the guarantee and its bounds.
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

/// @brief How a pool's object was seen.
/// @ingroup residency
enum class PoolSight {
  kWatched,  ///< It may be behind.
  kRead,     ///< Nothing that was written before the read was begun is missing from it.
};

/// @brief A conditional write of the pool's object.
/// @ingroup residency
struct WritePool {
  std::string pool;
  PoolRecord record;
  StoreRevision version;  ///< That the platform must have.
};

/// @brief A fresh read of the pool's object.
/// @ingroup residency
struct ReadPool {
  std::string pool;
};

/// @brief A step of the plan that became an intent; for logs and the count of moves.
/// @ingroup residency
struct MoveDecided {
  std::string endpoint;
  std::string unit;
  PlanAction::Kind kind = PlanAction::Kind::kLoad;
  PlanAction::Reason reason = PlanAction::Reason::kWanted;
};

/// @brief What a keeper asks its shell to do.
/// @ingroup residency
using PoolEffect = std::variant<WritePool, ReadPool, Order, MoveDecided>;
using PoolEffects = std::vector<PoolEffect>;

/// @brief The state machine. The shell carries out effects and reports what came of them.
/// @ingroup residency
class PoolKeeper {
 public:
  PoolKeeper(std::string node,
             std::string incarnation,
             std::string pool,
             ResidencySettings settings);

  /// @brief Takes the object. An empty version means that it does not exist.
  void Seen(const PoolRecord& record,
            const std::optional<StoreRevision>& version,
            PoolSight sight,
            TimePoint now);

  /// @brief The write in flight took effect and gave this version.
  void Written(const StoreRevision& version, TimePoint now);

  /// @brief The write in flight did not take effect, or nobody knows: the object is read again.
  void WriteFailed(TimePoint now);

  /// @brief A read gave nothing.
  void ReadFailed();

  /// @brief An order that was sent has this outcome.
  void OrderEnded(const Order& order, OrderOutcome outcome, TimePoint now);

  /// @brief Moves on; call often.
  PoolEffects Tick(const PoolView& view, TimePoint now);

  /// @brief Ends the role: takes no lease any more and gives back the one it holds.
  void Stop() { stopping_ = true; }

  bool Holds(TimePoint now) const { return holding_ && now < lease_until_; }
  bool Released() const { return !holding_ && flights_.empty(); }

  /// @brief The newest epoch below which this process has no order in hand.
  std::uint64_t QuietEpoch() const;

  const PoolRecord& Stored() const { return stored_; }

 private:
  struct Memory {  // what this process remembers of its sends of one unit
    std::optional<TimePoint> unanswered_until;
    std::optional<TimePoint> retry_at;
    std::optional<TimePoint> missing_since;
    std::optional<TimePoint> settled_at;
  };
  struct Quiet {  // since when a foreign sender is known to be quiet
    std::optional<TimePoint> since;
  };

  void TryTakeOver(PoolEffects& effects, TimePoint now);
  void TakeOverDraft();
  bool IsOlder(const PoolRecord& record) const;
  // The platform has come back from a copy older than what was written.
  void TakeCopy(TimePoint now);
  bool HeardBack(const PoolRecord& record);
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
  void Adopt(const PoolEndpoint& endpoint, const PoolView& view, TimePoint now);
  void PlanMoves(const PoolView& view, PoolEffects& effects, TimePoint now);
  void Apply(const PlanInput& input, const PlanAction& action, PoolEffects& effects, TimePoint now);
  bool GoneForGood(const std::string& endpoint, bool listed, TimePoint now);
  void WriteDraft(PoolEffects& effects, TimePoint now);
  void SendOrders(const PoolView& view, PoolEffects& effects, TimePoint now);
  void Intend(Reservation& reservation, UnitState state);
  void LoseLease();

  std::string node_;
  std::string incarnation_;
  std::string pool_;
  ResidencySettings settings_;
  Duration takeover_spread_;  // so that not all nodes try at one moment

  PoolRecord stored_;
  std::optional<StoreRevision> version_;  // empty: not known yet
  bool exists_ = false;
  TimePoint changed_at_;
  PoolRecord draft_;
  bool holding_ = false;
  bool stopping_ = false;
  TimePoint lease_until_;
  TimePoint renewed_at_;
  TimePoint planned_at_;
  TimePoint load_sent_at_;

  std::optional<PoolRecord> writing_;
  TimePoint write_started_;
  bool reading_ = false;
  bool must_read_ = false;

  std::map<UnitKey, Order> flights_;
  std::map<UnitKey, Memory> memories_;
  std::map<std::string, Quiet> quiet_;
  std::map<std::string, TimePoint> full_until_;  // endpoints that refused a load for room
  std::map<std::string, TimePoint> gone_since_;  // endpoints that left the platform's list
};

}  // namespace rudderloom

#endif
