/// @file
/// Orders that change what a model engine holds, and what its answer says.
#ifndef RUDDERLOOM_PLACEMENT_ORDER_HPP
#define RUDDERLOOM_PLACEMENT_ORDER_HPP

#include <cstdint>      // for uint64_t
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief One order to one endpoint.
/// @ingroup placement
struct PlacementOrder {
  std::string instance;  ///< Life of the endpoint.
  std::string id;        ///< Name that the endpoint answers to.
  std::string address;
  bool load = true;  ///< Else unload.
  std::string model;
  std::string adapter;         ///< Of the model; empty for the model itself.
  std::uint64_t expected = 0;  ///< Orders the endpoint must have taken so far.
  std::string holder;          ///< Node that holds the lease.
  std::uint64_t token = 0;     ///< Fencing token: the lease's epoch.
  TimePoint valid_until;       ///< Not to be sent later, when the lease may have passed on.
};

/// @brief What the endpoint answered.
/// @ingroup placement
enum class PlacementOutcome {
  kAccepted,      ///< It is being done.
  kHoldsAlready,  ///< There was nothing to do, or it was done at once.
  kConflict,      ///< Another order is under way, or other orders came first.
  kFenced,        ///< A later holder has sent orders.
  kRefused,       ///< The order makes no sense, or another endpoint has the address.
  kNotSent,       ///< No byte left this process: there was no way to the endpoint.
  kLapsed,        ///< Not sent: the lease's time was over before its turn came.
  kUnknown,       ///< No answer: it may take effect now, seconds later, or never.
};

/// @brief Name of an outcome, as counters and logs show it.
/// @ingroup placement
std::string_view NameOf(PlacementOutcome outcome);

}  // namespace rudderloom

#endif
