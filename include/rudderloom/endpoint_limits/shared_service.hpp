/// @file
/// Services without engines that have fewer slots than there are nodes to use them.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_SHARED_SERVICE_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_SHARED_SERVICE_HPP

#include <cstdint>     // for uint32_t
#include <functional>  // for less
#include <map>         // for map
#include <string>      // for string

#include "rudderloom/endpoint_limits/in_flight.hpp"  // for InFlightTerms

namespace rudderloom {

/// @brief Size of a service and of the fleet that uses it.
/// @ingroup endpoint_limits
struct ServiceSize {
  std::uint32_t slots = 0;       ///< Stated by all its endpoints together; 0: not stated.
  std::uint32_t live_nodes = 1;  ///< That send requests.
  bool has_engine = false;
};

/// @brief Returns true if the nodes need in-flight grants for the service: each may send a request
/// of its own accord to any other service without exceeding the slots.
/// @ingroup endpoint_limits
bool NeedsSlotGrants(const ServiceSize& size);

/// @brief What the terms of a request to such a service depend on.
/// @ingroup endpoint_limits
struct SlotGrantBasis {
  std::uint32_t slots = 1;   ///< Of the endpoint.
  Duration goal{0};          ///< Of the route.
  Duration typical_time{0};  ///< In which the endpoint serves a request; zero: not known.
  Duration remaining{0};     ///< Until the request's deadline.
};

/// @brief The endpoint may have as much waiting as it works off within this part of the goal, in
/// quarters. The last quarter remains for the request itself and the way to the endpoint.
/// @ingroup endpoint_limits
constexpr int kGoalQuartersInQueue = 3;

/// @brief Most requests at an endpoint, in multiples of its slots. Bounds what a typical time that
/// is far too short allows; an endpoint's own queue is shorter than that.
/// @ingroup endpoint_limits
constexpr std::uint32_t kMaxRequestsPerSlot = 8;

/// @brief Returns the terms of one request: its limit is the endpoint's slots and what these work
/// off within three quarters of the goal.
/// @ingroup endpoint_limits
InFlightTerms SlotGrantTerms(const SlotGrantBasis& basis);

/// @brief Bounds what a node sends to such services while it reaches no granting node: one request
/// at a time for a service, with pauses after rejections that grow up to `kMaxSoloPause`. Owned by
/// the traffic thread; time is passed in.
/// @ingroup endpoint_limits
class SoloSends {
 public:
  /// @param spread From 0 to 1, different on each node, so that the nodes do not pause in step.
  explicit SoloSends(double spread);

  /// @brief Returns the time until a request may be sent; zero if it may be now. While another one
  /// runs, this is `kSoloCheckInterval`.
  Duration Wait(const std::string& service, TimePoint now) const;

  /// @brief Records that a request is sent, which runs for at most `max_hold`.
  void Sent(const std::string& service, Duration max_hold, TimePoint now);

  /// @brief Records the end of a request that was not rejected.
  void Ended(const std::string& service);

  /// @brief Records that an endpoint rejected a request.
  void Rejected(const std::string& service, TimePoint now);

 private:
  struct Service {
    TimePoint busy_until;  // at the latest
    TimePoint paused_until;
    Duration next_pause{0};
  };

  double spread_;
  std::map<std::string, Service, std::less<>> services_;
};

/// @brief Pause after a node's first rejection, doubled by each further one.
/// @ingroup endpoint_limits
constexpr Duration kMinSoloPause{100};

/// @brief Longest pause: with 87 nodes, the largest such deployment, about 20 rejections a second.
/// @ingroup endpoint_limits
constexpr Duration kMaxSoloPause{4'000};

/// @brief Time after which to ask again while a request of this node runs.
/// @ingroup endpoint_limits
constexpr Duration kSoloCheckInterval{20};

}  // namespace rudderloom

#endif
