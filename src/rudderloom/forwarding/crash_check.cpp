#include "forwarding/crash_check.hpp"

#include "rudderloom/forwarding/call_guard.hpp"  // for CallGuard

namespace rudderloom {

namespace {

// A machine that is there answers within its zone's distance, some milliseconds. One that doesn't
// has lost its power or its link, which no request is blamed for.
constexpr Duration kAnswerLimit{200};

void TellSoon(ForwardingState& state) {
  if (state.crashes.HasNews()) {
    state.sample_soon();
  }
}

Awaitable<void> Ask(ForwardingState& state, EndpointRecord endpoint) {
  CallGuard guard(state.context, Now() + kAnswerLimit, [] { return true; });
  EndpointConnection connection(state.context);
  guard.Attach(&connection);
  const auto failure = co_await connection.Connect(endpoint.address);
  guard.Attach(nullptr);
  if (failure && failure->refused) {
    NoteEnded(state, endpoint);
  }
}

}  // namespace

void NoteBreak(ForwardingState& state,
               const EndpointRecord& endpoint,
               const RequestDigest& request) {
  if (state.crashes.Broke(endpoint.instance, request, Now())) {
    asio::co_spawn(state.context, Ask(state, endpoint), asio::detached);
  }
  TellSoon(state);
}

void NoteEnded(ForwardingState& state, const EndpointRecord& endpoint) {
  state.crashes.Ended(endpoint.instance, Now());
  TellSoon(state);
}

void NoteCleared(ForwardingState& state, const RequestDigest& request) {
  state.crashes.Cleared(request);
  TellSoon(state);
}

}  // namespace rudderloom
