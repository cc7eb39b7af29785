/// @file
/// The request rate that an endpoint accepts from all nodes together, as it announces it.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_ENDPOINT_LIMIT_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_ENDPOINT_LIMIT_HPP

#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"          // for TimePoint
#include "rudderloom/fleet/endpoint_key.hpp"  // for EndpointKey

namespace rudderloom {

/// @brief What an answer says of its endpoint's limit.
/// @ingroup endpoint_limits
struct LimitAnnouncement {
  enum class Kind {
    kNone,        ///< The endpoint has no limit.
    kLimited,     ///< It accepts `requests_per_second`.
    kUnreadable,  ///< The answer names a limit that is not a number of 0 or more.
  };
  Kind kind = Kind::kNone;
  double requests_per_second = 0.0;
};

/// @brief The latest that is known of an endpoint's limit.
/// @ingroup endpoint_limits
struct EndpointLimit {
  std::optional<double> requests_per_second;  ///< Empty: the limit has ended.
  TimePoint observed_at;                      ///< An answer said so then.

  bool operator==(const EndpointLimit&) const = default;
};

/// @brief Limits by endpoint.
/// @ingroup endpoint_limits
using EndpointLimits = std::map<EndpointKey, EndpointLimit>;

/// @brief Limits that nobody changes any more; null for none.
/// @ingroup endpoint_limits
using EndpointLimitsPtr = std::shared_ptr<const EndpointLimits>;

}  // namespace rudderloom

#endif
