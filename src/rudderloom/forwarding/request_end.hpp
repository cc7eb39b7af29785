// Log lines for ended requests and failed attempts, with the data behind each decision.
#ifndef RUDDERLOOM_FORWARDING_REQUEST_END_HPP
#define RUDDERLOOM_FORWARDING_REQUEST_END_HPP

#include <optional>     // for optional
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "forwarding/attempt.hpp"                    // for StreamPace
#include "rudderloom/forwarding/balancer.hpp"        // for EndpointChoice
#include "rudderloom/forwarding/header_codec.hpp"    // for RequestMetadata
#include "rudderloom/quarantine/request_digest.hpp"  // for RequestDigest
#include "rudderloom/routes/route_table.hpp"         // for Route

namespace rudderloom {

struct RequestEnd {
  const RequestMetadata& terms;
  const RouteTablePtr& routes;  // null before the first configuration
  const Route* route = nullptr;
  const std::string& service;
  const EndpointChoice& choice;  // the latest choice
  const StreamPace& pace;
  Admission admission = Admission::kAdmitted;
  std::string_view customer = {};  // empty for none
  std::string_view endpoint = {};  // the endpoint that answered; empty for none
  std::string_view outcome = {};
  unsigned status = 0;
  std::uint32_t attempts = 0;
  Duration waited{0};        // time spent waiting for an endpoint that holds the model
  Duration spent_before{0};  // that the client had waited before this attempt
  std::optional<Duration> retry_delay = {};  // told to the client with a refusal
  std::string_view decided_by = {};          // part that delayed or refused it; empty: none
  Duration load_age{0};                      // of what was known of other nodes' requests
};

struct FailedAttempt {
  std::string_view request_id;   // of this attempt of the client
  const RequestDigest& request;  // equal for all attempts of the client
  const std::vector<PromptPart>& prompt;
  std::string_view endpoint;
  std::string_view reason;
  std::string_view error;               // network error message; empty for none
  unsigned status = 0;                  // of the endpoint's answer; 0 for none
  std::optional<Duration> retry_after;  // as the endpoint asked
  std::uint32_t attempt = 0;
  Duration since_arrival{0};
};

void LogFailedAttempt(const FailedAttempt& failed);

// A stream that is sent on to an endpoint after its first event.
struct ResumedStream {
  const RequestMetadata& terms;
  const EndpointRecord& endpoint;
  std::string began_at;  // software version that began it; empty: not known
  std::string_view known_by;
};

void LogResumedStream(const ResumedStream& resumed);

void LogRequestEnd(const RequestEnd& end, TimePoint arrived, TimePoint now);

}  // namespace rudderloom

#endif
