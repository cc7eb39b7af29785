/// @file
/// What a pool's keeper looks at when it decides: endpoints, wants, and who is quiet.
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
  bool usable = true;  ///< Live, not leaving, not drained.
  double slots = 1.0;
  double load = 0.0;
  std::uint64_t used = 0;                ///< As reported.
  std::optional<TimePoint> reported_at;  ///< Empty before the first report.
  std::set<std::string> resident;        ///< As reported; lags.
};

/// @brief A unit that the configuration wants in this pool.
/// @ingroup residency
struct WantedUnit {
  std::string unit;
  std::string name;  ///< Without the version.
  std::string base;  ///< Unit of an adapter's model, else empty.
  std::uint64_t memory = 0;
  std::int64_t copies = 1;
  double demand = 0.0;
};

/// @brief Everything a keeper looks at when it ticks.
/// @ingroup residency
struct PoolView {
  bool listed = false;  ///< The platform's list of endpoints has been read.
  std::vector<PoolEndpoint> endpoints;
  std::vector<WantedUnit> wanted;
  /// @brief True when that incarnation can no longer have an order older than the epoch in hand:
  /// it said so, or its process has ended.
  std::function<bool(const std::string& incarnation, std::uint64_t epoch)> quiet;
};

/// @brief The planner's input for a pool: its reservations laid over what is seen of it.
/// @param full Endpoints that refused a load for want of room; they count as full.
/// @param loads_at_once Loads that may be under way together.
/// @ingroup residency
PlanInput MakePlanInput(const PoolView& view,
                        const std::map<UnitKey, Reservation>& reservations,
                        const std::set<std::string>& full,
                        std::int64_t loads_at_once);

}  // namespace rudderloom

#endif
