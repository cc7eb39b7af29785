/// @file
/// Retry budget: bounds the share of retries over all nodes together.
#ifndef RUDDERLOOM_FORWARDING_RETRY_BUDGET_HPP
#define RUDDERLOOM_FORWARDING_RETRY_BUDGET_HPP

#include <cstdint>  // for uint32_t
#include <deque>    // for deque
#include <map>      // for map
#include <string>   // for string

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Limits on retries for one service, over all entry nodes.
/// @ingroup forwarding
struct RetryBounds {
  double ratio = 0.2;       ///< Retries per request for the service within the window.
  double extra = 0.0;       ///< Additional retries, over all nodes together.
  Duration window{10'000};  ///< Length of the sliding window.
};

/// @brief This node's share of the retry limits. The time is passed in.
///
/// The ratio applies to each node's own requests, so it holds over all nodes without coordination.
/// The additional retries are divided among the nodes, with a margin for nodes that this one does
/// not know yet.
/// @ingroup forwarding
class RetryBudget {
 public:
  explicit RetryBudget(RetryBounds bounds) : bounds_(bounds) {}

  /// @brief Counts a client request for the service.
  void CountRequest(const std::string& service, TimePoint now);

  /// @brief Takes one retry from the budget; false if it is exhausted.
  /// @param nodes Number of entry nodes that share `extra`, including this one.
  bool Spend(const std::string& service, std::uint32_t nodes, TimePoint now);

 private:
  struct ServiceHistory {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };

  void DropExpired(ServiceHistory& history, TimePoint now) const;

  RetryBounds bounds_;
  std::map<std::string, ServiceHistory> histories_;
};

}  // namespace rudderloom

#endif
