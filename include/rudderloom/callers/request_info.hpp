/// @file
/// Parses the request headers that callers set.
#ifndef RUDDERLOOM_CALLERS_REQUEST_INFO_HPP
#define RUDDERLOOM_CALLERS_REQUEST_INFO_HPP

#include <string>   // for string
#include <variant>  // for variant

#include "rudderloom/callers/refusal.hpp"              // for Refusal
#include "rudderloom/configuration/configuration.hpp"  // for Configuration
#include "rudderloom/settings/settings.hpp"            // for DeadlineSettings

namespace rudderloom {

/// @brief Names of request and response headers.
/// @ingroup callers
namespace header {
inline constexpr std::string_view kRequestId = "X-Request-Id";
inline constexpr std::string_view kTimeout = "X-Request-Timeout";  ///< For example `1500ms`.
inline constexpr std::string_view kKind = "X-Request-Kind";
inline constexpr std::string_view kCaller = "X-Caller";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kRetry =
    "X-Retry";  ///< `1`: this request is a retry by the caller.
inline constexpr std::string_view kPriority = "X-Priority";
inline constexpr std::string_view kEndpointState = "X-Endpoint-State";
inline constexpr std::string_view kLastEventId = "Last-Event-ID";
}  // namespace header

/// @brief Request metadata from the headers.
/// @ingroup callers
struct RequestInfo {
  std::string request_id;
  std::string caller;
  std::string idempotency_key;
  std::int64_t priority = 5;
  bool retried_before = false;
  TimePoint arrived;
  TimePoint deadline;  ///< For the first token of a stream or the complete response.
};

/// @brief Returns the caller's request id if it is valid, otherwise a random one.
/// @ingroup callers
std::string GetRequestId(const HttpRequest& request);

/// @brief Parses the headers. Returns a refusal if one of them is invalid.
/// @ingroup callers
std::variant<RequestInfo, Refusal> ReadRequestInfo(const HttpRequest& request,
                                                   std::string request_id,
                                                   const Configuration& configuration,
                                                   const DeadlineSettings& settings,
                                                   TimePoint now,
                                                   std::int64_t unix_seconds);

}  // namespace rudderloom

#endif
