/// @file
/// Orders to endpoints and what comes of sending them.
#ifndef RUDDERLOOM_RESIDENCY_ORDER_HPP
#define RUDDERLOOM_RESIDENCY_ORDER_HPP

#include <cstdint>      // for uint64_t
#include <string>       // for string
#include <string_view>  // for string_view

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief An order to an endpoint; the same order may be sent again until it is answered.
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
  /// @brief Not to be sent after this moment, when the lease may have passed on.
  TimePoint valid_until;
};

/// @brief What came of sending an order once.
/// @ingroup residency
enum class OrderOutcome {
  kDone,
  kNotSent,   ///< No byte left this process.
  kNotYet,    ///< The endpoint answered that it is not done: loading, or the store is busy.
  kNoMemory,  ///< The endpoint answered that it has no room.
  kFenced,    ///< The endpoint has seen a later order.
  kUnknown,   ///< No answer: it may take effect now, later or never.
};

/// @brief Name of an outcome, as counters and logs show it.
/// @ingroup residency
std::string_view NameOf(OrderOutcome outcome);

}  // namespace rudderloom

#endif
