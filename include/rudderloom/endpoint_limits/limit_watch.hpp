/// @file
/// What this node's traffic knows of endpoints' limits.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_WATCH_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_WATCH_HPP

#include "rudderloom/endpoint_limits/limit_book.hpp"  // for LimitBook

namespace rudderloom {

/// @brief How an endpoint may be used as far as its limit goes.
/// @ingroup endpoint_limits
enum class LimitStanding {
  kUnlimited,
  kLimited,     ///< Each request needs a permit; other endpoints come first.
  kUnobserved,  ///< The same, but no answer has come for a while: a request is to be tried.
  kRefused,     ///< No permit is to be had at present.
};

/// @brief Observes the limits that answers announce, and remembers refused permits. Owned by the
/// traffic thread; time is passed in.
/// @ingroup endpoint_limits
class LimitWatch {
 public:
  /// @param spread From 0 to 1, another one at each node: nodes try an unobserved endpoint one
  /// after the other.
  explicit LimitWatch(double spread) : spread_(spread) {}

  /// @brief An endpoint has answered a request that was sent at `sent_at`.
  ///
  /// An answer without a limit may have been written before a limit that this node has received
  /// since. It ends a limit only if its request was sent after the limit was last observed.
  LimitChange Answered(EndpointKey endpoint,
                       const LimitAnnouncement& announcement,
                       TimePoint sent_at,
                       TimePoint now);

  /// @brief Other nodes have observed these.
  void Received(const EndpointLimitsPtr& limits);

  /// @brief Requests a second that the endpoint accepts from all nodes; empty: it has no limit.
  std::optional<double> LimitOf(EndpointKey endpoint) const;

  LimitStanding StandingOf(EndpointKey endpoint, std::uint32_t live_nodes, TimePoint now) const;

  /// @brief A permit was refused, and the next one is to be had after `wait`; or nobody could be
  /// asked. This node then rests for as long as keeps the asks of all nodes within a bound.
  void Refused(EndpointKey endpoint, Duration wait, std::uint32_t live_nodes, TimePoint now);

  /// @brief Nobody could be asked for a permit; true when the request may be sent all the same.
  ///
  /// Over all nodes that is one request in 4 s, however many they are: enough to notice the end of
  /// the limit.
  bool MaySendUnasked(EndpointKey endpoint, std::uint32_t live_nodes, TimePoint now);

  /// @brief Somebody has answered for permits again.
  void Asked(EndpointKey endpoint) { unasked_from_.erase(endpoint); }

  /// @brief Until the next permit for one of those endpoints that were refused.
  Duration LeastWait(TimePoint now) const;

  /// @brief What this node has observed since the last call.
  EndpointLimits Take();

  /// @brief Forgets endpoints that are gone.
  void Trim(const std::function<bool(EndpointKey)>& listed, TimePoint now);

 private:
  struct Refusal {
    TimePoint next_permit_at;
    TimePoint rest_until;
  };

  double spread_;
  LimitBook book_;
  EndpointLimitsPtr received_;
  EndpointLimits untold_;
  std::map<EndpointKey, Refusal> refused_;
  std::map<EndpointKey, TimePoint> unasked_from_;  // when one may be sent without a permit
};

}  // namespace rudderloom

#endif
