// Why a client's request gets no answer from an endpoint.
#ifndef RUDDERLOOM_FORWARDING_FORWARD_REFUSAL_HPP
#define RUDDERLOOM_FORWARDING_FORWARD_REFUSAL_HPP

#include <string_view>  // for string_view

namespace rudderloom {

enum class ForwardRefusal {
  kNoConfiguration,
  kNoRoute,
  kUnknownKey,  // the route asks for a customer's key, and the caller shows none that anybody holds
  kOverQuota,   // the customer has asked for more than its limit
  kNoEndpoint,  // the service has none
  kNotResident,    // no endpoint holds the model or adapter
  kOverloaded,     // its client would have left before an answer began
  kStopping,       // this node is about to stop
  kShed,           // the last endpoint promised that it did not run the request
  kConnect,        // the last endpoint could not be reached
  kBroken,         // the last endpoint may have run the request and gave no whole answer
  kTimeUp,         // the client's deadline or the route's timeout
  kEndpointLimit,  // all endpoints that could take it accept no more requests at present
  kQuarantined,    // endpoints have ended under it, wherever it came to run
};

// As it stands in counters, logs and the answer's body.
std::string_view NameOf(ForwardRefusal refusal);

// What the client is told; 503 promises that the request has not run.
unsigned StatusOf(ForwardRefusal refusal, bool may_have_run);

}  // namespace rudderloom

#endif
