/// @file
/// Input to a pool keeper's decisions: endpoints, wanted units, and senders without outstanding
/// orders.
#ifndef RUDDERLOOM_RESIDENCY_POOL_VIEW_HPP
#define RUDDERLOOM_RESIDENCY_POOL_VIEW_HPP

#include <cstdint>     // for uint64_t
#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <set>         // for set
#include <string>      // for string
#include <vector>      // for vector

#include "rudderloom/base/clock.hpp"             // for TimePoint
#include "rudderloom/residency/planner.hpp"      // for PlanInput
#include "rudderloom/residency/pool_record.hpp"  // for Reservation

namespace rudderloom {

/// @brief One endpoint of the pool, as this node knows it.
/// @ingroup residency
struct PoolEndpoint {
  std::string name;
  std::string address;
  std::string availability_zone;
  std::uint64_t memory = 0;
  bool checks_fences = false;
  bool usable = true;  ///< Live, not leaving and not drained.
  double slots = 1.0;
  double load = 0.0;
  std::uint64_t used = 0;                ///< Reported memory use.
  std::optional<TimePoint> reported_at;  ///< Empty before the first report.
  std::set<std::string> resident;        ///< Units reported as loaded; reports lag behind.
};

/// @brief A unit that the configuration requires in this pool.
/// @ingroup residency
struct WantedUnit {
  std::string unit;
  std::string name;  ///< Unit name without the version.
  std::string base;  ///< For an adapter, the unit of its model; otherwise empty.
  std::uint64_t memory = 0;
  std::int64_t copies = 1;
  double demand = 0.0;
};

/// @brief Input to one tick of a pool keeper.
/// @ingroup residency
struct PoolView {
  bool listed = false;  ///< True once the platform's list of endpoints has been read.
  std::vector<PoolEndpoint> endpoints;
  std::vector<WantedUnit> wanted;
  /// @brief Returns true if that incarnation can no longer send an order older than the given
  /// epoch, because it has said so or its process has ended.
  std::function<bool(const std::string& incarnation, std::uint64_t epoch)> is_silent;
};

/// @brief Returns the planner's input for a pool, combining its reservations with the observed
/// state.
/// @param full Endpoints that rejected a load for lack of memory; they count as full.
/// @param loads_at_once Maximum number of concurrent loads.
/// @ingroup residency
PlanInput MakePlanInput(const PoolView& view,
                        const std::map<UnitKey, Reservation>& reservations,
                        const std::set<std::string>& full,
                        std::int64_t loads_at_once);

}  // namespace rudderloom

#endif
