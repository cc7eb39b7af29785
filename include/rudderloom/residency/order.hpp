/// @file
/// Load and unload orders to endpoints, and their outcomes.
#ifndef RUDDERLOOM_RESIDENCY_ORDER_HPP
#define RUDDERLOOM_RESIDENCY_ORDER_HPP

#include <cstdint>      // for uint64_t
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief An order to an endpoint. The same order may be resent until it is answered.
/// @ingroup residency
struct Order {
  std::string pool;
  std::string endpoint;
  std::string address;
  std::string unit;
  bool load = true;
  std::uint64_t memory = 0;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  /// @brief The order is not sent after this time, when another node may hold the lease.
  TimePoint valid_until;
};

/// @brief Outcome of sending an order once.
/// @ingroup residency
enum class OrderOutcome {
  kDone,
  kNotSent,   ///< No bytes were sent.
  kNotYet,    ///< Not finished: the endpoint is still loading, or the store is busy.
  kNoMemory,  ///< The endpoint has not enough free memory.
  kFenced,    ///< The endpoint has seen a newer order.
  kUnknown,   ///< No answer: the order may take effect now, later or never.
};

/// @brief Returns the outcome's name as used in metrics and logs.
/// @ingroup residency
std::string_view NameOf(OrderOutcome outcome);

}  // namespace rudderloom

#endif
