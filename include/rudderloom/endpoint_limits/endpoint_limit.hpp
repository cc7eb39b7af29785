/// @file
/// The fleet-wide request rate limit that an endpoint announces.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_ENDPOINT_LIMIT_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_ENDPOINT_LIMIT_HPP

#include <map>       // for map
#include <memory>    // for shared_ptr
#include <optional>  // for optional

#include "rudderloom/base/clock.hpp"          // for TimePoint
#include "rudderloom/fleet/endpoint_key.hpp"  // for EndpointKey

namespace rudderloom {

/// @brief The limit announced in an endpoint's answer.
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

/// @brief Both limits of one answer.
/// @ingroup endpoint_limits
struct LimitAnnouncements {
  LimitAnnouncement requests;         ///< On requests from all nodes together.
  LimitAnnouncement rejections = {};  ///< Rejections per second before the endpoint crashes.
};

/// @brief The latest observation of an endpoint's limits.
/// @ingroup endpoint_limits
struct EndpointLimit {
  std::optional<double> requests_per_second;  ///< Empty: the limit has ended.
  TimePoint observed_at;                      ///< When the answer announced it.
  /// @brief Empty: the endpoint tolerates any number of rejections.
  std::optional<double> rejections_per_second = {};

  bool Any() const { return requests_per_second || rejections_per_second; }

  bool operator==(const EndpointLimit&) const = default;
};

/// @brief Limits by endpoint.
/// @ingroup endpoint_limits
using EndpointLimits = std::map<EndpointKey, EndpointLimit>;

/// @brief Immutable limits; null for none.
/// @ingroup endpoint_limits
using EndpointLimitsPtr = std::shared_ptr<const EndpointLimits>;

}  // namespace rudderloom

#endif
