/// @file
/// Spreads the times at which refused clients are told to retry.
#ifndef RUDDERLOOM_FORWARDING_RETRY_TIMES_HPP
#define RUDDERLOOM_FORWARDING_RETRY_TIMES_HPP

#include <cstddef>  // for size_t
#include <cstdint>  // for uint32_t
#include <map>      // for map

#include "rudderloom/base/clock.hpp"                // for Duration, TimePoint
#include "rudderloom/forwarding/held_requests.hpp"  // for HeldFor

namespace rudderloom {

/// @brief Clients that retry later than this are usually past their deadline.
/// @ingroup forwarding
constexpr Duration kMaxRetryDelay{8'000};

/// @brief What the capacity for retried requests depends on.
/// @ingroup forwarding
struct RetryCapacity {
  Duration spacing{0};          ///< Between requests that one endpoint takes in.
  std::uint32_t endpoints = 1;  ///< That hold the model, or all of a plain service.
  std::uint32_t live_nodes = 1;
};

/// @brief Time between the retries that one of the nodes may announce, so that those of all nodes
/// together are what the endpoints take in. At most `kMaxRetryDelay`.
/// @ingroup forwarding
Duration RetryInterval(const RetryCapacity& capacity);

/// @brief When there is room for a refused request.
/// @ingroup forwarding
struct RetryRoom {
  Duration first{0};     ///< Until the endpoint has room.
  Duration interval{0};  ///< See RetryInterval().
};

/// @brief The times told to refused clients, for each model of a service or plain service.
///
/// Without this, all clients that are refused while an endpoint is full are told the same time, and
/// come back at once. Holds an entry only until its last time has passed. Time is passed in. Owned
/// by the traffic thread.
/// @ingroup forwarding
class RetryTimes {
 public:
  /// @brief Returns the time until the client should retry, and takes it: the next client is told
  /// one that is later by the interval. Not less than the time until the endpoint has room, and at
  /// most `kMaxRetryDelay`.
  /// @param random Any number. All nodes begin to refuse at the same moment; the first time that
  /// each of them tells lies anywhere in the first interval, so that these clients come back spread
  /// out as well.
  Duration Take(const HeldFor& target, const RetryRoom& room, std::uint64_t random, TimePoint now);

  /// @brief Number of models and plain services with a time that has not passed.
  std::size_t Size() const { return next_free_.size(); }

 private:
  std::map<HeldFor, TimePoint> next_free_;
};

}  // namespace rudderloom

#endif
