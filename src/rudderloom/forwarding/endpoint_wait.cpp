#include "forwarding/endpoint_wait.hpp"

#include <algorithm>  // for clamp, max, min, none_of
#include <vector>     // for vector

#include "forwarding/request_samples.hpp"  // for BacklogTime, ScopedUnitCount

namespace rudderloom {

namespace {

// At endpoints that crash from rejections, requests wait for a free slot here, for this part of
// their goal.
constexpr int kFreeSlotWaitDivisor = 2;
constexpr Duration kFreeSlotCheckInterval{20};
constexpr Duration kMinSlotWait{2};

}  // namespace

Awaitable<std::optional<ForwardRefusal>> EndpointWait::Await(NoEndpointReason reason) {
  if (request_.tried.ReadmitFailed()) {
    co_return std::nullopt;
  }
  if (request_.stream.started && request_.tried.ReadmitSilent()) {
    co_return std::nullopt;
  }
  if (reason == NoEndpointReason::kRateLimited) {
    request_.retry_delay = state_.limits.MinWait(Now());
    co_return ForwardRefusal::kEndpointLimit;
  }
  if (reason == NoEndpointReason::kFull || reason == NoEndpointReason::kPaused) {
    const auto refusal = co_await AwaitFreeSlot(reason);
    co_return refusal;
  }
  if (VersionGone()) {
    co_return ForwardRefusal::kStreamVersion;
  }
  const auto refusal = co_await AwaitResidency(reason);
  co_return refusal;
}

// Waits for the next view if the model may become resident in time.
Awaitable<std::optional<ForwardRefusal>> EndpointWait::AwaitResidency(NoEndpointReason reason) {
  const bool may_become_resident =
      request_.stream.started || (!request_.terms.model.empty() && !state_.stopping);
  const TimePoint expected_at = may_become_resident ? ExpectedResidency() : TimePoint::max();
  const TimePoint latest = request_.LatestStart();
  if (!may_become_resident || expected_at > latest || Now() >= latest) {
    request_.retry_delay = request_.tried.AnyFull() ? FullEndpointDelay()
                           : may_become_resident    ? Between(Now(), expected_at)
                                                    : kMinRetryDelay;
    state_.sample_soon();
    co_return RefusalWithoutEndpoint(reason);
  }
  co_await WaitForView();
  request_.tried.ReadmitUnreachable();
  ReadmitForStream();
  co_return std::nullopt;
}

// Asks full endpoints again to go on with a started stream, less and less often.
void EndpointWait::ReadmitForStream() {
  const TimePoint now = Now();
  if (request_.stream.started && now >= full_retry_at_ && request_.tried.ReadmitFull()) {
    full_retry_interval_ *= 2;
    full_retry_at_ = now + full_retry_interval_;
  }
}

// Waits for an endpoint that may be used as long as the answer can still be in time.
Awaitable<std::optional<ForwardRefusal>> EndpointWait::AwaitFreeSlot(NoEndpointReason reason) {
  const TimePoint now = Now();
  const TimePoint in_time = request_.arrived + request_.route->goal / kFreeSlotWaitDivisor;
  const TimePoint latest =
      request_.stream.started ? request_.LatestStart() : std::min(request_.LatestStart(), in_time);
  const Duration pause = reason == NoEndpointReason::kPaused ? ShortestPause(now) : Duration(0);
  const Duration wait =
      std::clamp(state_.limits.MinPause(now), kMinSlotWait, kFreeSlotCheckInterval);
  const bool may_wait = request_.stream.started || !state_.stopping;
  if (!may_wait || now + std::max(pause, wait) > latest) {
    request_.retry_delay = std::max(pause, kMinRetryDelay);
    co_return ForwardRefusal::kOverloaded;
  }
  request_.permit_requests = 0;
  request_.guard->WaitTimer().expires_after(wait);
  co_await request_.guard->WaitTimer().async_wait(kAsTuple);
  co_return std::nullopt;
}

// Counts the request as waiting demand, so that the lease holder orders a load.
Awaitable<void> EndpointWait::WaitForView() {
  const ScopedUnitCount waiting(state_.units, request_.Units(), &UnitCount::waiting);
  state_.sample_soon();
  const TimePoint began = Now();
  if (full_retry_at_ == TimePoint()) {
    full_retry_at_ = began + full_retry_interval_;
  }
  const bool retries_full = request_.stream.started && request_.tried.AnyFull();
  const TimePoint until = retries_full ? full_retry_at_ : TimePoint::max();
  co_await state_.views.WaitForNext(request_.guard->WaitTimer(),
                                    std::min(until, request_.LatestStart()));
  request_.waited += Between(began, Now());
}

// No endpoint of the version that began the stream can take it.
bool EndpointWait::VersionGone() const {
  const std::string& version = request_.stream.software_version;
  if (!request_.GoesOn() || version.empty() || request_.tried.AnyUnreachable() ||
      request_.tried.AnyFull()) {
    return false;
  }
  const FleetViewPtr view = state_.views.Current();
  return std::none_of(
      view->endpoints.begin(), view->endpoints.end(), [&](const FleetEndpoint& endpoint) {
        const EndpointRecord& record = endpoint.record;
        return record.service == request_.service && record.software_version == version &&
               FindModel(record.models, request_.terms.model) != nullptr;
      });
}

// When the requested model and adapter are expected to be resident on one endpoint.
TimePoint EndpointWait::ExpectedResidency() {
  if (request_.tried.AnyUnreachable()) {
    return Now();  // an endpoint holds it and may become reachable at any moment
  }
  if (request_.stream.started && (request_.tried.AnyFull() || request_.terms.model.empty())) {
    return Now();  // an endpoint may have room at any moment
  }
  const ServiceSpec* service = request_.routes->Service(request_.service);
  const std::vector<UnitName> units = request_.Units();
  // An adapter is never resident without its model, and it is not known here which of them is
  // missing.
  const TimePoint estimated = state_.missing.RecordMissing(units.back(), service, Now());
  const auto announced = FindExpected(state_.views.Current()->load_forecast, units.back());
  if (!announced) {
    // A full endpoint holds them, so nothing is missing that would be loaded. A started stream is
    // not cut while another endpoint may still turn up.
    const bool is_full = request_.tried.AnyFull() && !request_.stream.started;
    return is_full ? TimePoint::max() : estimated;
  }
  if (!waiting_ahead_) {
    waiting_ahead_ = std::max(announced->waiting, state_.units[units.back()].waiting);
  }
  const bool has_engine = service != nullptr && service->engine;
  const std::uint32_t slots = has_engine ? service->engine->slots : 1;
  return std::max(announced->ends_at, Now()) + BacklogTime(state_.balancer.Work(), request_.service,
                                                           request_.terms, *waiting_ahead_, slots);
}

// Time until an endpoint that rejected the request as full is expected to take one like it.
Duration EndpointWait::FullEndpointDelay() const {
  return std::max(kMinRetryDelay, request_.choice.forecast.if_deferred);
}

// Until the first endpoint of the service that holds the model may be used again.
Duration EndpointWait::ShortestPause(TimePoint now) const {
  const std::string& model = request_.terms.model;
  Duration shortest = kMaxRetryDelay;
  for (const FleetEndpoint& endpoint : state_.views.Current()->endpoints) {
    const EndpointRecord& record = endpoint.record;
    const bool is_candidate = record.service == request_.service &&
                              (model.empty() || FindModel(record.models, model) != nullptr);
    const Duration pause = state_.pauses.Remaining(KeyOf(record.instance), now);
    if (is_candidate && pause > Duration(0)) {
      shortest = std::min(shortest, pause);
    }
  }
  return shortest;
}

ForwardRefusal EndpointWait::RefusalWithoutEndpoint(NoEndpointReason reason) const {
  if (!request_.tried.Excluded().empty()) {
    return request_.last_refusal;
  }
  return reason == NoEndpointReason::kNoEndpoints ? ForwardRefusal::kNoEndpoint
                                                  : ForwardRefusal::kNotResident;
}

}  // namespace rudderloom
