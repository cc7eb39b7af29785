/// @file
/// Merges observations of endpoints' limits that arrive in any order.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_BOOK_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_LIMIT_BOOK_HPP

#include <functional>  // for function

#include "rudderloom/endpoint_limits/endpoint_limit.hpp"  // for EndpointLimits

namespace rudderloom {

/// @brief What a new observation changes.
/// @ingroup endpoint_limits
enum class LimitChange {
  kNone,       ///< It is older than what is known, or ends a limit that is not known.
  kRefreshed,  ///< The limit is as it was.
  kChanged,    ///< The limit begins, ends or has another value.
};

/// @brief Keeps the latest observation of each endpoint. Pure; time is passed in.
/// @ingroup endpoint_limits
class LimitBook {
 public:
  /// @brief Takes one observation. Where two are equally old, a limit takes precedence over its
  /// end.
  LimitChange Take(EndpointKey endpoint, const EndpointLimit& limit);

  /// @brief Takes all of them; the largest change.
  LimitChange Take(const EndpointLimits& limits);

  const EndpointLimits& All() const { return limits_; }

  /// @brief Those observed since `moment`.
  EndpointLimits Since(TimePoint moment) const;

  /// @brief Forgets limits that ended some time ago, and endpoints that are gone.
  void Expire(const std::function<bool(EndpointKey)>& listed, TimePoint now);

 private:
  EndpointLimits limits_;
};

}  // namespace rudderloom

#endif
