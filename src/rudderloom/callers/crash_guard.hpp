// Keeps requests that end endpoints away from them, and finds out which do, for one call.
#ifndef RUDDERLOOM_CALLERS_CRASH_GUARD_HPP
#define RUDDERLOOM_CALLERS_CRASH_GUARD_HPP

#include <optional>  // for optional

#include "rudderloom/callers/call_context.hpp"       // for CallContext
#include "rudderloom/quarantine/request_digest.hpp"  // for RequestDigest

namespace rudderloom {

class CrashGuard {
 public:
  // All of these must outlive it.
  CrashGuard(CallContext& shared, const HttpExchange& exchange, const RequestInfo& info)
      : shared_(shared), exchange_(exchange), info_(info) {}

  // Why the request is not to be sent to an endpoint; nothing when it may be.
  std::optional<Refusal> Check();

  // An attempt that began at `sent_at` has ended; no failure: its endpoint has answered whole.
  void Ended(const EndpointView& endpoint,
             std::optional<AttemptFailure> failure,
             TimePoint sent_at);

 private:
  const RequestDigest& Digest();

  CallContext& shared_;
  const HttpExchange& exchange_;
  const RequestInfo& info_;
  std::optional<RequestDigest> digest_;  // worked out when it is first asked for
};

}  // namespace rudderloom

#endif
