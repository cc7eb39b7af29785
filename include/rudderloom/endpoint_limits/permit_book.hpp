/// @file
/// Hands out the requests that an endpoint with a limit accepts, one by one.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_PERMIT_BOOK_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_PERMIT_BOOK_HPP

#include <map>          // for map
#include <string_view>  // for string_view

#include "rudderloom/endpoint_limits/endpoint_limit.hpp"  // for EndpointKey

namespace rudderloom {

/// @brief A node asks whether it may send one request to an endpoint.
/// @ingroup endpoint_limits
struct PermitAsk {
  EndpointKey endpoint = 0;
  double requests_per_second = 0.0;  ///< Over all nodes, as the endpoint announces it.
  Duration most_wait{0};             ///< The request can be held back so long.
};

/// @brief What the node that was asked answers.
/// @ingroup endpoint_limits
enum class PermitVerdict {
  kNotGranting,  ///< It is neither the holder of the lease nor its deputy.
  kGranted,
  kRefused,
};

/// @brief The word for counters.
/// @ingroup endpoint_limits
std::string_view NameOf(PermitVerdict verdict);

/// @brief Its answer.
/// @ingroup endpoint_limits
struct PermitAnswer {
  PermitVerdict verdict = PermitVerdict::kNotGranting;
  /// @brief Granted: the request may be sent after this time. Refused: the next one may be.
  Duration wait{0};
};

/// @brief A request is held back for a permit no longer than this.
/// @ingroup endpoint_limits
constexpr Duration kMostPermitWait{500};

/// @brief Whether a node hands out permits, and how many.
/// @ingroup endpoint_limits
struct PermitBasis {
  /// @brief `kMostPermitWait` after it has begun to: by then all requests have been sent that the
  /// node before it permitted.
  TimePoint valid_from;
  TimePoint valid_until;  ///< No request is to be sent later.
  double part = 1.0;      ///< Of each limit.
};

/// @brief The part of a limit that the deputy grants while the holder of the lease is out of reach.
/// The holder may be granting meanwhile to nodes that reach it: together they stay at one and a
/// half times the limit.
/// @ingroup endpoint_limits
constexpr double kDeputyPart = 0.5;

/// @brief A node whose last message of the holder is older asks the holder's deputy.
/// @ingroup endpoint_limits
constexpr Duration kHolderGrantsFor{1'000};

/// @brief Spaces the requests of all nodes evenly, by each endpoint's limit. Pure; time is passed
/// in.
///
/// One node keeps the book, so the sum over all nodes does not grow with the fleet: within a time T
/// at most `limit` x T + 1 requests are permitted, also where one node hands over to another.
/// @ingroup endpoint_limits
class PermitBook {
 public:
  PermitAnswer Ask(const PermitAsk& ask, const PermitBasis& basis, TimePoint now);

 private:
  void Trim(TimePoint now);

  std::map<EndpointKey, TimePoint> next_at_;  // earliest time of an endpoint's next request
  TimePoint trimmed_at_;
};

}  // namespace rudderloom

#endif
