#include "forwarding/crash_check.hpp"

#include <algorithm>  // for min
#include <utility>    // for exchange

#include "rudderloom/base/log_line.hpp"          // for LogLine
#include "rudderloom/http/connection_probe.hpp"  // for AwaitConnectionRefusal

namespace rudderloom {

namespace {

// An endpoint reached so shortly before shows that this node has not lost its links.
constexpr Duration kConfirmedBy{200};
// Far more than prompts share; bounds what one request adds to the book of crashes.
constexpr std::size_t kMaxSharedParts = 64;
constexpr std::uint64_t kUnreadablePart = 0;

void RequestSampleIfNews(ForwardingState& state) {
  if (state.crashes.HasObservations()) {
    state.sample_soon();
  }
}

void RecordEndResult(ForwardingState& state, const std::string& instance, std::string_view result) {
  state.metrics.Count({"rudderloom_endpoint_ends_total", "result", result});
  if (state.log_quota.Allows(Now())) {
    LogLine("endpoint_end").With("endpoint", instance).With("result", result);
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

void AppendSharedParts(const std::vector<PromptPart>& prompt, RequestDigests& digests) {
  const std::size_t shared = prompt.empty() ? 0 : prompt.size() - 1;
  for (std::size_t i = 0; i < std::min(shared, kMaxSharedParts); ++i) {
    if (prompt[i].id != kUnreadablePart) {
      digests.push_back(DigestOfPromptPart(prompt[i].id));
    }
  }
}

void RecordConnectionBreak(ForwardingState& state,
                           const EndpointRecord& endpoint,
                           const RequestDigests& request,
                           TimePoint sent_at) {
  if (state.crashes.RecordFailure(endpoint.instance, request, sent_at, Now())) {
    asio::co_spawn(state.context, CheckListening(state, endpoint), asio::detached);
  }
  RequestSampleIfNews(state);
}

void RecordEndpointEnd(ForwardingState& state, const EndpointRecord& endpoint) {
  const TimePoint now = Now();
  if (state.reach.CutOff()) {
    RecordEndResult(state, endpoint.instance, "dropped");
    return;
  }
  state.unconfirmed_ends.push_back({endpoint.instance, now});
  const bool is_only_endpoint = state.views.Current()->endpoints.size() <= 1;
  if (is_only_endpoint || state.reach.ReachedSince(now - kConfirmedBy)) {
    ConfirmEndpointEnds(state);
  }
}

void ConfirmEndpointEnds(ForwardingState& state) {
  for (const UnconfirmedEnd& end : std::exchange(state.unconfirmed_ends, {})) {
    RecordEndResult(state, end.instance, "counted");
    state.crashes.Ended(end.instance, end.seen_at);
  }
  RequestSampleIfNews(state);
}

void DropEndpointEnds(ForwardingState& state) {
  for (const UnconfirmedEnd& end : std::exchange(state.unconfirmed_ends, {})) {
    RecordEndResult(state, end.instance, "dropped");
  }
}

void RecordAnswered(ForwardingState& state, const RequestDigests& request) {
  state.crashes.Answered(request, state.views.Current()->quarantine, Now());
  RequestSampleIfNews(state);
}

void ReviewQuarantine(ForwardingState& state, const FleetView& view) {
  state.trials.Follow(view.holds_lease ? view.quarantine : nullptr, Now());
  if (view.quarantine) {
    state.crashes.Review(*view.quarantine, Now());
    RequestSampleIfNews(state);
  }
}

void RecordCleared(ForwardingState& state, const RequestDigest& request) {
  state.crashes.Cleared(request);
  RequestSampleIfNews(state);
}

}  // namespace rudderloom
