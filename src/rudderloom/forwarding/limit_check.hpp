// Enforces the rate limits that endpoints announce.
#ifndef RUDDERLOOM_FORWARDING_LIMIT_CHECK_HPP
#define RUDDERLOOM_FORWARDING_LIMIT_CHECK_HPP

#include "forwarding/slot_use.hpp"              // for SlotUse
#include "rudderloom/http/call_guard.hpp"       // for CallGuard
#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState

namespace rudderloom {

// Records what an endpoint announces in its answer to a request that was sent at `sent_at`: limits,
// a pause, or that it is leaving.
void RecordAnnouncements(ForwardingState& state,
                         const EndpointRecord& endpoint,
                         const AnswerMetadata& answer,
                         TimePoint sent_at);

// A request that an endpoint rejected without running it.
struct EndpointRejection {
  const std::string& service;
  const EndpointRecord& endpoint;
  std::uint32_t known_requests = 0;  // of all nodes at the endpoint, when it was chosen
  const std::string& request_id;
};

void RecordRejection(ForwardingState& state, const EndpointRejection& rejection);

// What a request needs a permit for.
struct PermitNeeds {
  EndpointRecord endpoint;
  Duration max_wait{0};
  std::optional<SlotTerms> slot;  // set if the endpoint tolerates few rejections
  // Set if the work in flight at the endpoint is bounded. Not applied if `slot` is set, which
  // bounds the requests there as well.
  std::optional<InFlightTerms> in_flight = {};
};

// Decision on the in-flight terms of a request.
enum class InFlightOutcome {
  kNotAsked,  // there are no such terms
  kGranted,
  kRefused,
  kUnanswered,  // no granting node is known or answers: the asking node decides itself
};

// Returns the name used as a metric label.
std::string_view NameOf(InFlightOutcome outcome);

struct AcquiredPermit {
  bool may_send = false;          // with kUnanswered: as far as the other limits are concerned
  std::shared_ptr<SlotUse> slot;  // null if none was granted
  InFlightOutcome in_flight = InFlightOutcome::kNotAsked;
  Duration wait{0};  // with kRefused: until the request may be granted
};

// Asks for a permit if the endpoint has a limit or the work in flight there is bounded, and waits
// until the request may be sent. It may not be sent if none was granted or the wait was
// interrupted.
Awaitable<AcquiredPermit> AcquirePermit(ForwardingState& state,
                                        CallGuard& guard,
                                        PermitNeeds needs);

// Counts a request that is sent to an endpoint with a limit.
void CountLimitedSend(ForwardingState& state, const EndpointRecord& endpoint);

}  // namespace rudderloom

#endif
