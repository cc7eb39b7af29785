#include "forwarding/forward_refusal.hpp"

namespace rudderloom {

std::string_view NameOf(ForwardRefusal refusal) {
  switch (refusal) {
    case ForwardRefusal::kNoConfiguration:
      return "no_configuration";
    case ForwardRefusal::kNoRoute:
      return "no_route";
    case ForwardRefusal::kUnknownKey:
      return "unknown_key";
    case ForwardRefusal::kOverQuota:
      return "over_quota";
    case ForwardRefusal::kNoEndpoint:
      return "no_endpoint";
    case ForwardRefusal::kNotResident:
      return "not_resident";
    case ForwardRefusal::kOverloaded:
      return "overloaded";
    case ForwardRefusal::kStopping:
      return "stopping";
    case ForwardRefusal::kShed:
      return "shed";
    case ForwardRefusal::kConnect:
      return "connect";
    case ForwardRefusal::kBroken:
      return "broken";
    case ForwardRefusal::kDeadlineExceeded:
      return "time_up";
    case ForwardRefusal::kEndpointLimit:
      return "endpoint_limit";
    case ForwardRefusal::kStreamVersion:
      return "stream_version";
    case ForwardRefusal::kQuarantined:
      return "quarantined";
  }
  return "unknown";
}

unsigned StatusOf(ForwardRefusal refusal, bool may_have_run) {
  if (refusal == ForwardRefusal::kNoRoute) {
    return 404;
  }
  if (refusal == ForwardRefusal::kUnknownKey) {
    return 401;
  }
  if (refusal == ForwardRefusal::kOverQuota) {
    return 429;
  }
  if (refusal == ForwardRefusal::kDeadlineExceeded) {
    return 504;
  }
  // Earlier attempts have run. A caller that treats a 4xx as final would give up for good even if
  // its request was in flight by chance when the endpoint crashed.
  if (refusal == ForwardRefusal::kQuarantined) {
    return 502;
  }
  return may_have_run ? 502 : 503;
}

}  // namespace rudderloom
