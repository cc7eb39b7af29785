#include "forwarding/crash_check.hpp"

#include "rudderloom/http/listening.hpp"  // for NobodyListens

namespace rudderloom {

namespace {

void RequestSampleIfNews(ForwardingState& state) {
  if (state.crashes.HasNews()) {
    state.sample_soon();
  }
}

Awaitable<void> CheckListening(ForwardingState& state, EndpointRecord endpoint) {
  const bool ended = co_await NobodyListens(state.context, endpoint.address, kListeningAnswer);
  if (ended) {
    RecordEndpointEnd(state, endpoint);
  }
}

}  // namespace

void RecordConnectionBreak(ForwardingState& state,
                           const EndpointRecord& endpoint,
                           const RequestDigest& request,
                           TimePoint sent_at) {
  if (state.crashes.Broke(endpoint.instance, request, sent_at, Now())) {
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
