#include "forwarding/crash_check.hpp"

#include "rudderloom/http/connection_probe.hpp"  // for AwaitConnectionRefusal

namespace rudderloom {

namespace {

void RequestSampleIfNews(ForwardingState& state) {
  if (state.crashes.HasObservations()) {
    state.sample_soon();
  }
}

Awaitable<void> CheckListening(ForwardingState& state, EndpointRecord endpoint) {
  const bool ended = co_await AwaitConnectionRefusal(state.context, endpoint.address, kProbeTimeout,
                                                     Now() + kCrashWindow);
  if (ended) {
    RecordEndpointEnd(state, endpoint);
  }
}

}  // namespace

void RecordConnectionBreak(ForwardingState& state,
                           const EndpointRecord& endpoint,
                           const RequestDigest& request,
                           TimePoint sent_at) {
  if (state.crashes.RecordFailure(endpoint.instance, request, sent_at, Now())) {
    asio::co_spawn(state.context, CheckListening(state, endpoint), asio::detached);
  }
  RequestSampleIfNews(state);
}

void RecordEndpointEnd(ForwardingState& state, const EndpointRecord& endpoint) {
  state.crashes.Ended(endpoint.instance, Now());
  RequestSampleIfNews(state);
}

void RecordAnswered(ForwardingState& state, const RequestDigest& request) {
  state.crashes.Answered(request, state.views.Current()->quarantine);
  RequestSampleIfNews(state);
}

void RecordCleared(ForwardingState& state, const RequestDigest& request) {
  state.crashes.Cleared(request);
  RequestSampleIfNews(state);
}

}  // namespace rudderloom
