// What is known of a client's request while this node handles it.
#ifndef RUDDERLOOM_FORWARDING_FORWARDED_REQUEST_HPP
#define RUDDERLOOM_FORWARDING_FORWARDED_REQUEST_HPP

#include <memory>       // for shared_ptr
#include <set>          // for set
#include <string>       // for string
#include <string_view>  // for string_view
#include <vector>       // for vector

#include "forwarding/attempt.hpp"               // for StreamState
#include "forwarding/forward_refusal.hpp"       // for ForwardRefusal
#include "forwarding/request_checks.hpp"        // for RequestChecks
#include "forwarding/slot_use.hpp"              // for SlotUse
#include "forwarding/tried_endpoints.hpp"       // for TriedEndpoints
#include "rudderloom/forwarding/forwarder.hpp"  // for ForwardingState
#include "rudderloom/http/call_guard.hpp"       // for CallGuard

namespace rudderloom {

// Remaining time below which no attempt is started.
constexpr Duration kMinAttemptTime{40};
constexpr Duration kMinRetryDelay{300};

// A client's request over all its attempts: what the classes that decide on its start, wait for an
// endpoint and send it tell each other. Owned by the forwarder of the request.
struct ForwardedRequest {
  // The arguments must outlive this object.
  ForwardedRequest(ForwardingState& state, HttpExchange& exchange);

  // The client has events of this stream.
  bool GoesOn() const { return terms.resumes_stream || stream.started; }

  // The client has no event yet of a stream that it may take up later.
  bool BeginsResumableStream() const;

  // Time that the client has waited for its answer, since its first attempt as far as known.
  Duration Spent() const { return SpentAt(Now()); }
  Duration SpentAt(TimePoint now) const { return spent_before + Between(arrived, now); }

  // The client has made an attempt before this one.
  bool Retried() const { return spent_before > Duration(0); }

  // A retried request whose goal has passed: it is served behind all others.
  bool Late() const { return Retried() && Spent() >= route->goal; }

  // Latest useful start: shortly before the client gives up or the deadline passes.
  TimePoint LatestStart() const;

  // Endpoints that the next choice excludes.
  std::set<std::string> Excluded() const;

  // The model and adapter that it needs.
  std::vector<UnitName> Units() const { return RequestedUnits(service, terms); }

  // Records that an endpoint has no turn or slot for it until `next` has passed.
  void NoTurnAt(const EndpointRecord& endpoint, Duration next);

  const TimePoint arrived;
  const RequestMetadata terms;
  RequestChecks checks;
  RouteTablePtr routes;
  const Route* route = nullptr;
  std::string service;
  TimePoint deadline_at;
  Duration spent_before{0};  // that the client had waited before this attempt; 0: not retried
  CallGuard* guard = nullptr;
  StreamState stream;
  TriedEndpoints tried;
  EndpointChoice choice;  // the latest chosen endpoint and what was known about it
  Admission admission = Admission::kAdmitted;
  std::string_view decided_by;         // what delayed or refused it last; empty: nothing
  bool refused_turn = false;           // the last decision was a refused turn or slot
  std::set<std::string> without_turn;  // endpoints that granted no turn since the last hold
  std::shared_ptr<SlotUse> slot;       // of the current attempt, if it needs one
  bool sends_alone = false;            // the current attempt counts in `solo_sends`
  Duration retry_delay = kMinRetryDelay;
  Duration waited{0};  // time spent waiting for an endpoint that holds the model
  std::uint32_t attempts = 0;
  std::uint32_t permit_requests = 0;
  ForwardRefusal last_refusal = ForwardRefusal::kNoEndpoint;  // by the result of an attempt
};

// True if requests are held, refused and granted slots by what their callers need.
bool ControlsOverload(const ForwardingState& state, const RouteTable& routes);

// How long the client has waited before this attempt, by the remaining time that it states. Zero
// unless overload control is in force. Records the remaining time.
Duration TimeSpentBefore(ForwardingState& state, const ForwardedRequest& request);

// Constraints of the request on the choice of an endpoint. The arguments must outlive the query.
BalancerQuery MakeQuery(const ForwardingState& state,
                        const ForwardedRequest& request,
                        const std::set<std::string>& excluded,
                        bool skip_limited);

}  // namespace rudderloom

#endif
