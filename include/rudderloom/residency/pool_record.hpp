/// @file
/// What the platform keeps for one pool: its lease and every reservation of accelerator memory.
/// Both stand in one object, so that a holder whose lease was taken can't write an intent.
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

/// @brief Life of a unit (`name@version`) on an endpoint. Its memory counts in every state.
/// @ingroup residency
enum class UnitState {
  kLoading,    ///< A load is intended; it may have been sent.
  kResident,   ///< The endpoint confirmed the load.
  kUnloading,  ///< An unload is intended; it may have been sent.
  kLingering,  ///< Unloaded, but a load that nobody answered may still arrive.
};

/// @brief Name of a state, as stored and shown.
/// @ingroup residency
std::string_view NameOf(UnitState state);

/// @brief Memory set aside on one endpoint for one unit.
/// @ingroup residency
struct Reservation {
  UnitState state = UnitState::kLoading;
  std::uint64_t memory = 0;       ///< Bytes.
  std::uint64_t sequence = 0;     ///< Of its latest order; grows over the whole pool.
  std::set<std::string> senders;  ///< Incarnations that may have an unanswered load under way.
  bool operator==(const Reservation&) const = default;
};

/// @brief Endpoint and unit.
/// @ingroup residency
using UnitKey = std::pair<std::string, std::string>;

/// @brief The object of kind `pools`.
/// @ingroup residency
struct PoolRecord {
  std::string holder;       ///< Name of the node that holds the lease; empty when released.
  std::string incarnation;  ///< Of that node's process.
  std::uint64_t epoch = 0;  ///< Grows each time the lease changes hands.
  std::uint64_t renewals = 0;
  std::uint64_t sequence = 0;  ///< Of the latest order.
  std::map<UnitKey, Reservation> reservations;
  bool operator==(const PoolRecord&) const = default;
};

/// @brief As stored.
/// @ingroup residency
boost::json::object ToJson(const PoolRecord& record);

/// @brief Reads what ToJson wrote; empty when it makes no sense.
/// @ingroup residency
std::optional<PoolRecord> PoolRecordFromJson(const boost::json::object& object);

}  // namespace rudderloom

#endif
