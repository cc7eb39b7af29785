// Checks that a request must pass before it is forwarded.
#ifndef RUDDERLOOM_FORWARDING_REQUEST_CHECKS_HPP
#define RUDDERLOOM_FORWARDING_REQUEST_CHECKS_HPP

#include <optional>     // for optional
#include <string_view>  // for string_view

#include "forwarding/forward_refusal.hpp"            // for ForwardRefusal
#include "forwarding/quota_grant.hpp"                // for QuotaGrant
#include "rudderloom/forwarding/forwarder.hpp"       // for ForwardingState
#include "rudderloom/quarantine/request_digest.hpp"  // for RequestDigest
#include "rudderloom/routes/caller.hpp"              // for Caller

namespace rudderloom {

// Deadline of requests that don't set one.
constexpr Duration kDefaultDeadline{30'000};

// Finds a request's route and caller and checks the quarantine and the customer's quota, with the
// cheapest checks first. Must live as long as the request: the destructor returns the quota of a
// request that did not run.
class RequestChecks {
 public:
  // All arguments must outlive this object.
  RequestChecks(ForwardingState& state,
                HttpExchange& exchange,
                const RequestMetadata& terms,
                TimePoint arrived);

  // Returns why the request is refused; empty if it may be forwarded. The accessors below are valid
  // afterwards. Waits end when the guard interrupts the request.
  Awaitable<std::optional<ForwardRefusal>> Check(CallGuard& guard);

  const RouteTablePtr& Routes() const { return routes_; }
  // Null when the request has no route.
  const Route* MatchedRoute() const { return route_; }
  // When the client gives up; its route may set an earlier time.
  TimePoint LatestDeadline() const;
  // How long the request may take from its arrival, by its route and its client.
  Duration TimeLimit() const;
  std::uint32_t Priority() const { return PriorityOf(caller_, *route_); }
  // The customer's name; empty for none.
  std::string_view Customer() const;
  CallerMetadata EndpointCaller() const;
  // After a refusal for the quota: how long until another request is likely to be admitted.
  Duration RetryDelay() const { return retry_delay_; }

  // Digests of the request and of what its prompt may share with others. Computed on first use,
  // since it takes a pass over the body and most requests never need it.
  const RequestDigests& Digests();

  // True if the request, or a part of its prompt, is quarantined because endpoints have crashed,
  // and it is not the trial of that part.
  bool Quarantined(const FleetView& view);
  // True if one more endpoint crash could quarantine it, or if it is a trial.
  bool Suspected(const FleetView& view);

  // True if the caller's key was revoked while the request waited.
  bool KeyRevoked(const FleetView& view) const;

  // Keeps the request's quota charged, since it may have run.
  void MarkMayHaveRun() { quota_grant_.MarkMayHaveRun(); }

 private:
  bool MayOutlastStop() const;
  Awaitable<void> AwaitConfiguration(CallGuard& guard);
  Awaitable<void> AwaitQuotaState(CallGuard& guard);
  Awaitable<void> AwaitView(CallGuard& guard, bool (*predicate)(const FleetView&));
  Awaitable<std::optional<ForwardRefusal>> CheckQuota(CallGuard& guard);

  ForwardingState& state_;
  HttpExchange& exchange_;
  const RequestMetadata& terms_;
  const TimePoint arrived_;
  RouteTablePtr routes_;
  const Route* route_ = nullptr;
  Caller caller_;
  QuotaGrant quota_grant_;
  RequestDigests digests_;              // empty: not computed yet
  std::optional<RequestDigest> trial_;  // a quarantined part with which this request may run
  Duration retry_delay_{0};
};

}  // namespace rudderloom

#endif
