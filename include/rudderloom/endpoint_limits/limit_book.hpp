/// @file
/// Merges observations of endpoints' limits that arrive in any order.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_BOOK_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_BOOK_HPP

#include <functional>  // for function

#include "rudderloom/endpoint_limits/endpoint_limit.hpp"  // for EndpointLimits

namespace rudderloom {

/// @brief Effect of a new observation.
/// @ingroup endpoint_limits
enum class LimitChange {
  kNone,       ///< It is older than the known one, or ends an unknown limit.
  kRefreshed,  ///< The limit is confirmed unchanged.
  kChanged,    ///< The limit begins, ends or changes its value.
};

/// @brief Keeps the latest observation of each endpoint. Does no I/O; time is passed in.
/// @ingroup endpoint_limits
class LimitBook {
 public:
  /// @brief Adds one observation. If two have the same time, a limit takes precedence over its end.
  LimitChange Take(EndpointKey endpoint, const EndpointLimit& limit);

  /// @brief Adds several observations; returns the largest change.
  LimitChange Take(const EndpointLimits& limits);

  const EndpointLimits& All() const { return limits_; }

  /// @brief Returns the limits observed since `moment`.
  EndpointLimits Since(TimePoint moment) const;

  /// @brief Removes limits that ended some time ago, and endpoints that are no longer listed.
  void Expire(const std::function<bool(EndpointKey)>& listed, TimePoint now);

 private:
  EndpointLimits limits_;
};

}  // namespace rudderloom

#endif
