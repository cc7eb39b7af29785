/// @file
/// What this node's traffic knows of endpoints' limits.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_WATCH_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_WATCH_HPP

#include "rudderloom/endpoint_limits/limit_book.hpp"  // for LimitBook

namespace rudderloom {

/// @brief Observes the limits that answers announce. Owned by the traffic thread; time is passed
/// in.
/// @ingroup endpoint_limits
class LimitWatch {
 public:
  /// @brief An endpoint has answered a request that was sent at `sent_at`.
  ///
  /// An answer without a limit may have been written before a limit that this node has received
  /// since. It ends a limit only if its request was sent after the limit was last observed.
  LimitChange Answered(EndpointKey endpoint,
                       const LimitAnnouncement& announcement,
                       TimePoint sent_at,
                       TimePoint now);

  /// @brief Requests a second that the endpoint accepts from all nodes; empty: it has no limit.
  std::optional<double> LimitOf(EndpointKey endpoint) const;

 private:
  LimitBook book_;
};

}  // namespace rudderloom

#endif
