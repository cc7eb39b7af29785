// Reasons for refusing a client's request without an endpoint's answer.
#ifndef RUDDERLOOM_FORWARDING_FORWARD_REFUSAL_HPP
#define RUDDERLOOM_FORWARDING_FORWARD_REFUSAL_HPP

#include <string_view>  // for string_view

namespace rudderloom {

enum class ForwardRefusal {
  kNoConfiguration,
  kNoRoute,
  kUnknownKey,        // the route requires a customer key, and the caller sent none that is known
  kOverQuota,         // the customer exceeded its quota
  kNoEndpoint,        // the service has no endpoint
  kNotResident,       // no endpoint holds the model or adapter
  kOverloaded,        // the client would give up before the answer begins
  kStopping,          // this node is stopping
  kShed,              // the last endpoint guaranteed that the request did not run
  kConnect,           // the last endpoint could not be reached
  kBroken,            // the last endpoint may have run the request but gave no complete answer
  kDeadlineExceeded,  // the client's deadline or the route's timeout passed
  kEndpointLimit,     // all candidate endpoints have reached their rate limit
  kStreamVersion,     // no endpoint can go on with the stream at the version that began it
  kQuarantined,       // endpoints crashed while running it
};

// Name used in metrics, logs and the answer's body.
std::string_view NameOf(ForwardRefusal refusal);

// HTTP status of the refusal. 503 guarantees that the request has not run.
unsigned StatusOf(ForwardRefusal refusal, bool may_have_run);

}  // namespace rudderloom

#endif
