/// @file
/// Keeps requests away from endpoints that crash when they have to reject too many of them.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_REJECTION_WATCH_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_REJECTION_WATCH_HPP

#include <cstdint>     // for uint32_t
#include <functional>  // for function
#include <map>         // for map
#include <optional>    // for optional
#include <string>      // for string

#include "rudderloom/endpoint_limits/endpoint_limit.hpp"  // for LimitAnnouncement

namespace rudderloom {

/// @brief Tracks how many rejections per second endpoints tolerate, as their answers announce.
/// Owned by the traffic thread; time is passed in.
///
/// Endpoints announce this when they are overloaded, and usually all of a service do. An
/// announcement therefore holds for its whole service until an answer without one.
/// @ingroup endpoint_limits
class RejectionWatch {
 public:
  /// @brief Records an endpoint's answer to a request that was sent at `sent_at`.
  /// @param is_signed False if the answer may not be the endpoint's own; then only an announcement
  /// counts.
  void Answered(const std::string& service,
                const LimitAnnouncement& tolerated,
                bool is_signed,
                TimePoint sent_at,
                TimePoint now);

  /// @brief True if the endpoints of the service tolerate few rejections: a request is only sent
  /// where a slot is free.
  bool NeedsFreeSlot(const std::string& service, TimePoint now) const;

  /// @brief Returns how long this node must pause an endpoint of the service that has rejected a
  /// request, so that all nodes together cause no more rejections than it tolerates; zero if it
  /// tolerates them.
  /// @param live_nodes Number of nodes that send to it.
  Duration PauseAfterRejection(const std::string& service,
                               std::uint32_t live_nodes,
                               TimePoint now) const;

  /// @brief Records that an endpoint rejected a request of this node.
  /// @return Time since its previous rejection; empty if there was none lately.
  std::optional<Duration> RecordRejection(EndpointKey endpoint, TimePoint now);

  /// @brief Drops expired entries.
  void Trim(TimePoint now);

 private:
  struct Tolerance {
    double rejections_per_second = 0.0;
    TimePoint announced_at;
  };

  std::map<std::string, Tolerance> tolerances_;  // by service
  std::map<EndpointKey, TimePoint> rejected_at_;
};

}  // namespace rudderloom

#endif
