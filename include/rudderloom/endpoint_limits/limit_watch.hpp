/// @file
/// Endpoint limits as known to the traffic thread of this node.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_WATCH_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_WATCH_HPP

#include "rudderloom/endpoint_limits/limit_book.hpp"  // for LimitBook

namespace rudderloom {

/// @brief Usability of an endpoint under its limit.
/// @ingroup endpoint_limits
enum class LimitState {
  kUnlimited,
  kLimited,     ///< Each request needs a permit; other endpoints are preferred.
  kUnobserved,  ///< Limited, but without recent answers: try a request.
  kRefused,     ///< Currently no permit is available.
};

/// @brief Tracks the limits announced in answers, and refused permits. Owned by the traffic thread;
/// time is passed in.
/// @ingroup endpoint_limits
class LimitWatch {
 public:
  /// @param spread From 0 to 1, different on each node, so that the nodes try an unobserved
  /// endpoint one after the other.
  explicit LimitWatch(double spread) : spread_(spread) {}

  /// @brief Records an endpoint's answer to a request that was sent at `sent_at`.
  ///
  /// An answer without a limit may have been written before a limit that this node has received
  /// since. It ends a limit only if its request was sent after the limit was last observed.
  LimitChange Answered(EndpointKey endpoint,
                       const LimitAnnouncements& announced,
                       TimePoint sent_at,
                       TimePoint now);

  /// @brief Merges limits observed by other nodes.
  void Received(const EndpointLimitsPtr& limits);

  /// @brief Returns the requests per second that the endpoint accepts from all nodes; empty if it
  /// has no limit.
  std::optional<double> LimitOf(EndpointKey endpoint) const;

  /// @brief Returns false if no endpoint has a limit.
  bool AnyKnown() const { return !book_.All().empty(); }

  /// @brief Returns the rejections per second that the endpoint tolerates from all nodes; empty if
  /// any number.
  std::optional<double> ToleranceOf(EndpointKey endpoint) const;

  /// @brief Like ToleranceOf(), if it was observed lately: usually all endpoints of a service are
  /// overloaded at the same time, and announce the same.
  std::optional<double> RecentToleranceOf(EndpointKey endpoint, TimePoint now) const;

  /// @brief Returns true while the node must not ask for another permit for the endpoint.
  bool PermitRefused(EndpointKey endpoint, TimePoint now) const;

  LimitState LimitStateOf(EndpointKey endpoint, std::uint32_t live_nodes, TimePoint now) const;

  /// @brief Records that a permit was refused, with the next one available after `wait`, or that no
  /// node could be asked. This node then pauses long enough to keep the asks of all nodes within a
  /// bound.
  void Refused(EndpointKey endpoint, Duration wait, std::uint32_t live_nodes, TimePoint now);

  /// @brief Called if no node could be asked for a permit; returns true if the request may be sent
  /// without one.
  ///
  /// Over all nodes together this admits one request per 4 s, regardless of their number: enough to
  /// notice the end of the limit. An endpoint that tolerates few rejections gets one only after it
  /// has not been observed for some seconds, when requests granted by others no longer count.
  bool MaySendWithoutPermit(EndpointKey endpoint, std::uint32_t live_nodes, TimePoint now);

  /// @brief Records that a granting node has answered again.
  void GranterAnswered(EndpointKey endpoint) { next_unpermitted_at_.erase(endpoint); }

  /// @brief Returns the time until the next permit for any of the refused endpoints.
  Duration MinWait(TimePoint now) const;

  /// @brief Returns the time until another permit may be asked for, for any of the refused
  /// endpoints.
  Duration MinPause(TimePoint now) const;

  /// @brief Returns this node's observations since the last call.
  EndpointLimits Take();

  /// @brief Removes endpoints that are no longer listed.
  void Trim(const std::function<bool(EndpointKey)>& listed, TimePoint now);

 private:
  struct Refusal {
    TimePoint next_permit_at;
    TimePoint paused_until;
  };

  double spread_;
  LimitBook book_;
  EndpointLimitsPtr received_;
  EndpointLimits unreported_;
  std::map<EndpointKey, Refusal> refused_;
  std::map<EndpointKey, TimePoint> next_unpermitted_at_;  // next request without a permit
};

}  // namespace rudderloom

#endif
