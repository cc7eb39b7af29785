// What a request must pass before it is sent anywhere.
#ifndef RUDDERLOOM_FORWARDING_ARRIVAL_HPP
#define RUDDERLOOM_FORWARDING_ARRIVAL_HPP

#include <optional>     // for optional
#include <string_view>  // for string_view

#include "forwarding/forward_refusal.hpp"            // for ForwardRefusal
#include "forwarding/quota_grant.hpp"                // for QuotaGrant
#include "rudderloom/forwarding/forwarder.hpp"       // for ForwardingState
#include "rudderloom/quarantine/request_digest.hpp"  // for RequestDigest
#include "rudderloom/routes/caller.hpp"              // for Caller

namespace rudderloom {

// How long a client waits that doesn't say so.
constexpr Duration kUsualDeadline{30'000};

// Finds a request's route, who calls, and whether the customer's limit lets it run: each refused at
// once, with as little done as can be. Lives as long as the request, whose part of the limit it
// gives back if it did not run.
class Arrival {
 public:
  // All of these must outlive it.
  Arrival(ForwardingState& state,
          HttpExchange& exchange,
          const RequestTerms& terms,
          TimePoint arrived);

  // Why the request is refused; nothing when it may be sent. What follows is known afterwards.
  Awaitable<std::optional<ForwardRefusal>> Check();

  const RouteTablePtr& Routes() const { return routes_; }
  // Null when the request has no route.
  const Route* TheRoute() const { return route_; }
  std::uint32_t Priority() const { return PriorityOf(caller_, *route_); }
  // The customer's name; empty for none.
  std::string_view Customer() const;
  CallerTerms ForEndpoint() const;
  // After a refusal for the customer's limit: when another request is likely to be let run.
  Duration ComeBack() const { return come_back_; }

  // What the request is known by when it comes again. Worked out when it is first asked for: it
  // takes a pass over the body, and most requests never need it.
  const RequestDigest& Digest();

  // The request is sent to no endpoint, as those that ran it have ended.
  bool Quarantined(const FleetView& view);
  // One more end could bring it there.
  bool Suspected(const FleetView& view);

  // A request that waited may find its caller's key taken away.
  bool KeyTakenAway(const FleetView& view) const;

  // The request keeps its part of the customer's limit.
  void MayHaveRun() { grant_.MayHaveRun(); }

 private:
  Awaitable<void> AwaitConfiguration();
  Awaitable<void> AwaitQuotaWord();
  Awaitable<void> AwaitView(bool (*wanted)(const FleetView&));
  Awaitable<std::optional<ForwardRefusal>> CheckQuota();

  ForwardingState& state_;
  HttpExchange& exchange_;
  const RequestTerms& terms_;
  const TimePoint arrived_;
  RouteTablePtr routes_;
  const Route* route_ = nullptr;
  Caller caller_;
  QuotaGrant grant_;
  std::optional<RequestDigest> digest_;
  Duration come_back_{0};
};

}  // namespace rudderloom

#endif
