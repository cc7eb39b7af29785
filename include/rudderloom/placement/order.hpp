/// @file
/// Orders to load or unload models and adapters, and their outcomes.
#ifndef RUDDERLOOM_PLACEMENT_ORDER_HPP
#define RUDDERLOOM_PLACEMENT_ORDER_HPP

#include <cstdint>      // for uint64_t
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief A load or unload order for one endpoint.
/// @ingroup placement
struct PlacementOrder {
  std::string instance;  ///< Endpoint instance; changes when the endpoint restarts.
  std::string id;        ///< Endpoint name; stays the same across restarts.
  std::string address;
  bool load = true;  ///< True to load, false to unload.
  std::string model;
  std::string adapter;         ///< Adapter of the model; empty for the model itself.
  std::uint64_t expected = 0;  ///< Number of orders the endpoint must have accepted so far.
  std::string holder;          ///< Node that holds the lease.
  std::uint64_t token = 0;     ///< Fencing token: the lease's epoch.
  TimePoint valid_until;       ///< Not sent after this time: another node may hold the lease.
};

/// @brief Outcome of an order.
/// @ingroup placement
enum class PlacementOutcome {
  kAccepted,      ///< The endpoint is carrying out the order.
  kHoldsAlready,  ///< Nothing to do, or completed immediately.
  kConflict,      ///< Another order is in progress, or the order count does not match.
  kFenced,        ///< The endpoint has seen a newer fencing token.
  kRefused,       ///< The order is invalid, or the address belongs to another endpoint.
  kNotSent,       ///< No bytes were sent: the endpoint was unreachable.
  kLapsed,        ///< Not sent: the lease expired before the order could be sent.
  kUnknown,       ///< No answer: the order may take effect now, seconds later, or never.
};

/// @brief Returns the outcome's name as used in metrics and logs.
/// @ingroup placement
std::string_view NameOf(PlacementOutcome outcome);

}  // namespace rudderloom

#endif
