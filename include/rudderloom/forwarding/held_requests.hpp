/// @file
/// Requests that wait at this node until the endpoints that hold their model have less work.
#ifndef RUDDERLOOM_FORWARDING_HELD_REQUESTS_HPP
#define RUDDERLOOM_FORWARDING_HELD_REQUESTS_HPP

#include <cstdint>  // for uint32_t, uint64_t
#include <map>      // for map
#include <set>      // for multiset
#include <string>   // for string
#include <tuple>    // for tie
#include <utility>  // for pair

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief A model of a service.
/// @ingroup forwarding
struct HeldFor {
  std::string service;
  std::string model;
  bool operator<(const HeldFor& other) const {
    return std::tie(service, model) < std::tie(other.service, other.model);
  }
};

/// @brief A request that waits, and what decides on its turn.
/// @ingroup forwarding
struct HeldRequest {
  HeldFor target;
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  TimePoint deadline;
  bool retried = false;  ///< Goes before new requests of its priority.
};

/// @brief The held requests of this node. Owned by the traffic thread.
/// @ingroup forwarding
class HeldRequests {
 public:
  void Add(const HeldRequest& request);
  void Remove(const HeldRequest& request);

  /// @brief True if a more urgent request waits for the same model, or a retried one of the same
  /// priority while `request` is new.
  bool AnyBefore(const HeldRequest& request) const;

  /// @brief Number of requests that wait for the same model and are at least as urgent.
  std::size_t CountUpTo(const HeldRequest& request) const;

  std::size_t Size() const;

 private:
  // Priority, and whether the request is new: retried ones sort first.
  using Position = std::pair<std::uint32_t, bool>;

  static Position PositionOf(const HeldRequest& request);

  std::map<HeldFor, std::multiset<Position>> positions_;
};

/// @brief Counts a request as held during this object's lifetime.
/// @ingroup forwarding
class ScopedHold {
 public:
  ScopedHold(HeldRequests& held, HeldRequest request);
  ScopedHold(const ScopedHold&) = delete;
  ScopedHold& operator=(const ScopedHold&) = delete;
  ~ScopedHold();

 private:
  HeldRequests& held_;
  HeldRequest request_;
};

/// @brief True if a request that joins `ahead` held ones is expected to get a turn in time. One
/// request may always be held, as other nodes may leave their turns unused.
/// @param interval Time between two turns that fall to this node.
/// @param left Time until which the request may be held.
/// @ingroup forwarding
bool GetsTurnBehind(std::size_t ahead, Duration interval, Duration left);

/// @brief Time until a held request is considered again. It grows with the time that the request
/// has waited, so that patient requests cost little, and differs between requests, so that not all
/// nodes send to an endpoint at the same moment.
/// @param random Any number.
/// @ingroup forwarding
Duration HoldInterval(Duration waited, std::uint64_t random);

}  // namespace rudderloom

#endif
