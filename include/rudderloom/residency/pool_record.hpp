/// @file
/// The stored record of one pool: its lease and every reservation of accelerator memory. Both are
/// in one object, so that a former holder can't write an intent after losing its lease.
#ifndef RUDDERLOOM_RESIDENCY_POOL_RECORD_HPP
#define RUDDERLOOM_RESIDENCY_POOL_RECORD_HPP

#include <boost/json.hpp>  // for object
#include <cstdint>         // for uint64_t
#include <map>             // for map
#include <optional>        // for optional
#include <set>             // for set
#include <string>          // for string
#include <utility>         // for pair

namespace rudderloom {

/// @brief State of a unit (`name@version`) on an endpoint. Its memory is counted in every state.
/// @ingroup residency
enum class UnitState {
  kLoading,    ///< A load is recorded and may have been sent.
  kResident,   ///< The endpoint confirmed the load.
  kUnloading,  ///< An unload is recorded and may have been sent.
  kLingering,  ///< Unloaded, but an unanswered load may still arrive.
};

/// @brief Returns the state's name as stored and displayed.
/// @ingroup residency
std::string_view NameOf(UnitState state);

/// @brief Memory reserved on one endpoint for one unit.
/// @ingroup residency
struct Reservation {
  UnitState state = UnitState::kLoading;
  std::uint64_t memory = 0;       ///< Bytes.
  std::uint64_t sequence = 0;     ///< Of its latest order; increases over the whole pool.
  std::set<std::string> senders;  ///< Incarnations that may have an unanswered load in flight.
  bool operator==(const Reservation&) const = default;
};

/// @brief Endpoint name and unit name.
/// @ingroup residency
using UnitKey = std::pair<std::string, std::string>;

/// @brief The object of kind `pools`.
/// @ingroup residency
struct PoolRecord {
  std::string holder;       ///< Name of the node that holds the lease; empty when released.
  std::string incarnation;  ///< Identifies that node's process.
  std::uint64_t epoch = 0;  ///< Increases each time the lease changes holder.
  std::uint64_t renewals = 0;
  std::uint64_t sequence = 0;  ///< Of the latest order in the pool.
  std::map<UnitKey, Reservation> reservations;
  bool operator==(const PoolRecord&) const = default;
};

/// @brief Returns the record in its stored form.
/// @ingroup residency
boost::json::object ToJson(const PoolRecord& record);

/// @brief Parses the output of ToJson; empty if it is invalid.
/// @ingroup residency
std::optional<PoolRecord> PoolRecordFromJson(const boost::json::object& object);

}  // namespace rudderloom

#endif
