// Rejects quarantined requests and reports crashes of endpoints, for one request.
#ifndef RUDDERLOOM_CALLERS_CRASH_GUARD_HPP
#define RUDDERLOOM_CALLERS_CRASH_GUARD_HPP

#include <optional>  // for optional

#include "rudderloom/callers/call_context.hpp"       // for CallContext
#include "rudderloom/quarantine/request_digest.hpp"  // for RequestDigest

namespace rudderloom {

class CrashGuard {
 public:
  // The arguments must outlive the CrashGuard.
  CrashGuard(CallContext& shared, const HttpExchange& exchange, const RequestInfo& info)
      : shared_(shared), exchange_(exchange), info_(info) {}

  // Returns a refusal if the request is quarantined.
  std::optional<Refusal> Check();

  // Records the result of an attempt that was sent at `sent_at`. Without a failure, the endpoint
  // has sent a complete response.
  void AttemptEnded(const EndpointView& endpoint,
                    std::optional<AttemptFailure> failure,
                    TimePoint sent_at);

 private:
  const RequestDigests& Digests();

  CallContext& shared_;
  const HttpExchange& exchange_;
  const RequestInfo& info_;
  RequestDigests digests_;  // empty: not computed yet
};

}  // namespace rudderloom

#endif
