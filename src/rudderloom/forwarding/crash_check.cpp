#include "forwarding/crash_check.hpp"

#include "rudderloom/http/listening.hpp"  // for NobodyListens

namespace rudderloom {

namespace {

void TellSoon(ForwardingState& state) {
  if (state.crashes.HasNews()) {
    state.sample_soon();
  }
}

Awaitable<void> Ask(ForwardingState& state, EndpointRecord endpoint) {
  const bool ended = co_await NobodyListens(state.context, endpoint.address, kListeningAnswer);
  if (ended) {
    NoteEnded(state, endpoint);
  }
}

}  // namespace

void NoteBreak(ForwardingState& state,
               const EndpointRecord& endpoint,
               const RequestDigest& request,
               TimePoint sent_at) {
  if (state.crashes.Broke(endpoint.instance, request, sent_at, Now())) {
    asio::co_spawn(state.context, Ask(state, endpoint), asio::detached);
  }
  TellSoon(state);
}

void NoteEnded(ForwardingState& state, const EndpointRecord& endpoint) {
  state.crashes.Ended(endpoint.instance, Now());
  TellSoon(state);
}

void NoteAnswered(ForwardingState& state, const RequestDigest& request) {
  state.crashes.Answered(request, state.views.Current()->quarantine);
  TellSoon(state);
}

void NoteCleared(ForwardingState& state, const RequestDigest& request) {
  state.crashes.Cleared(request);
  TellSoon(state);
}

}  // namespace rudderloom
