#include "forwarding/reach_watch.hpp"

#include <algorithm>  // for min, shuffle
#include <utility>    // for exchange

#include "forwarding/crash_check.hpp"      // for ConfirmEndpointEnds
#include "rudderloom/base/log_line.hpp"    // for LogLine
#include "rudderloom/http/call_guard.hpp"  // for CallGuard
#include "rudderloom/http/pause.hpp"       // for PauseFor

namespace rudderloom {

namespace {

constexpr Duration kWatchInterval{200};
constexpr Duration kProbeInterval{400};  // while the node is cut off
constexpr Duration kReachProbeTimeout{350};
// No endpoint has sent anything for this long, although requests wait: longer than a busy engine
// pauses.
constexpr Duration kMaxSilence{800};
constexpr int kVerificationProbes = 2;
// So many that hardly ever all of them have crashed, while others stand.
constexpr std::size_t kMaxCutOffProbes = 8;
constexpr Duration kProbeCheckInterval{5};
// A request without an answer for this long is sent elsewhere once the node is cut off.
constexpr Duration kMinAnswerWait{500};

void SetReachable(ForwardingState& state, bool reachable) {
  state.metrics.Set({"rudderloom_endpoints_reachable"}, reachable ? 1.0 : 0.0);
  LogLine(reachable ? "endpoints_reachable" : "endpoints_unreachable",
          reachable ? Severity::kInfo : Severity::kWarning)
      .With("endpoints", state.views.Current()->endpoints.size());
  state.sample_soon();
}

// Its connections are of no use, and requests that wait on them would wait for nothing.
void HandleCutOff(ForwardingState& state) {
  SetReachable(state, false);
  state.pool.Clear();
  DropEndpointEnds(state);
  const TimePoint now = Now();
  // Expiring a deadline may end the wait and remove its entry.
  std::vector<CallGuard*> withdrawn;
  for (const PendingAnswer& pending : state.pending_answers) {
    if (pending.may_withdraw && now - pending.sent_at >= kMinAnswerWait) {
      withdrawn.push_back(pending.guard);
    }
  }
  for (CallGuard* guard : withdrawn) {
    guard->SetResponseDeadline(now);
  }
}

// Any answer shows that the endpoint can be reached.
Awaitable<bool> AnswersProbe(ForwardingState& state, std::string address) {
  CallGuard guard(state.context, state.guards, Now() + kReachProbeTimeout, [] { return true; });
  EndpointConnection connection(state.context);
  guard.SetCancel([&connection] { connection.Close(); });
  const auto failure = co_await connection.Connect(address);
  bool answered = false;
  if (!failure) {
    const HttpRequest request = state.dialect.MakeProbe(address);
    connection.StartRequest(request);
    const auto head = co_await connection.ReadHead(false);
    answered = std::holds_alternative<EndpointConnection::End>(head);
  }
  guard.SetCancel({});
  state.metrics.Count({"rudderloom_reach_probes_total", "result", answered ? "ok" : "failed"});
  co_return answered;
}

Awaitable<void> Probe(ForwardingState& state, EndpointRecord endpoint) {
  const bool answered = co_await AnswersProbe(state, endpoint.address);
  if (answered) {
    RecordReached(state, endpoint.instance);
  } else {
    RecordUnreachable(state, endpoint);
  }
}

void StartProbe(ForwardingState& state, const EndpointRecord& endpoint) {
  asio::co_spawn(state.context, Probe(state, endpoint), asio::detached);
}

// Endpoints that are paused or have a rate limit are left alone.
bool MayProbe(const ForwardingState& state, const EndpointRecord& endpoint) {
  const EndpointKey key = KeyOf(endpoint.instance);
  return !state.leaving.contains(endpoint.instance) && !state.limits.LimitOf(key) &&
         !state.pauses.Paused(key, Now());
}

std::optional<EndpointRecord> ChooseProbeTarget(ForwardingState& state,
                                                const std::string& except = {}) {
  const FleetViewPtr view = state.views.Current();
  const std::size_t count = view->endpoints.size();
  const std::size_t first = count == 0 ? 0 : state.random() % count;
  for (std::size_t i = 0; i < count; ++i) {
    const EndpointRecord& record = view->endpoints[(first + i) % count].record;
    if (record.instance != except && MayProbe(state, record)) {
      return record;
    }
  }
  return std::nullopt;
}

// Probes endpoints that have not failed yet. The node is cut off if none of them answers.
Awaitable<void> VerifyCutOff(ForwardingState& state) {
  const FleetViewPtr view = state.views.Current();
  std::vector<EndpointRecord> targets;
  for (const FleetEndpoint& endpoint : view->endpoints) {
    if (MayProbe(state, endpoint.record) && !state.reach.FailedInARow(endpoint.record.instance)) {
      targets.push_back(endpoint.record);
    }
  }
  std::shuffle(targets.begin(), targets.end(), state.random);
  targets.resize(std::min(targets.size(), kMaxCutOffProbes));
  std::size_t pending = targets.size();
  for (const EndpointRecord& target : targets) {
    asio::co_spawn(state.context, Probe(state, target),
                   [&pending](const std::exception_ptr&) { --pending; });
  }
  while (pending > 0) {
    co_await PauseFor(state.context, kProbeCheckInterval);
  }
  if (state.reach.ConfirmCutOff()) {
    HandleCutOff(state);
  }
}

// The endpoint that has kept a request waiting while none has sent anything.
std::optional<EndpointRecord> SilentEndpoint(const ForwardingState& state, TimePoint now) {
  if (state.pending_answers.empty()) {
    return std::nullopt;
  }
  const PendingAnswer& oldest = state.pending_answers.front();
  const bool silent = now - oldest.sent_at >= kMaxSilence && now - state.answered_at >= kMaxSilence;
  return silent ? std::optional(oldest.endpoint) : std::nullopt;
}

}  // namespace

void RecordReached(ForwardingState& state, const std::string& instance) {
  const bool was_cut_off = state.reach.CutOff();
  state.reach.Reached(instance, Now());
  ConfirmEndpointEnds(state);
  if (was_cut_off) {
    SetReachable(state, true);
  }
}

void RecordUnreachable(ForwardingState& state, const EndpointRecord& endpoint) {
  const TimePoint now = Now();
  if (state.reach.Failed(endpoint.instance, state.views.Current()->endpoints.size(), now)) {
    asio::co_spawn(state.context, VerifyCutOff(state), asio::detached);
    return;
  }
  if (!state.reach.TakeVerificationDue(now)) {
    return;
  }
  for (int i = 0; i < kVerificationProbes; ++i) {
    if (const auto other = ChooseProbeTarget(state, endpoint.instance)) {
      StartProbe(state, *other);
    }
  }
}

void ProbeAfterBreak(ForwardingState& state, const EndpointRecord& endpoint) {
  // A node with a single endpoint is never taken for cut off.
  if (state.views.Current()->endpoints.size() > 1 && state.reach.TakeProbeDue(Now())) {
    StartProbe(state, endpoint);
  }
}

Awaitable<void> WatchReach(ForwardingState& state) {
  TimePoint probed_at;
  while (true) {
    co_await PauseFor(state.context, kWatchInterval);
    const TimePoint now = Now();
    std::optional<EndpointRecord> target;
    if (state.reach.CutOff() && now - probed_at >= kProbeInterval) {
      target = ChooseProbeTarget(state);
    } else if (now - probed_at >= kMaxSilence) {
      target = SilentEndpoint(state, now);
    }
    if (target) {
      probed_at = now;
      StartProbe(state, *target);
    }
  }
}

}  // namespace rudderloom
