#include "forwarding/stream_version.hpp"

#include <algorithm>   // for any_of, copy_if, find_if, min
#include <functional>  // for hash
#include <iterator>    // for back_inserter, inserter
#include <memory>      // for make_shared
#include <utility>     // for move

#include "forwarding/await_answer.hpp"                      // for AwaitAnswer
#include "rudderloom/base/log_line.hpp"                     // for LogLine
#include "rudderloom/stream_versions/version_decision.hpp"  // for DecideVersion

namespace rudderloom {

namespace {

// A node that has just started learns the holder with its first answer and the standbys from the
// next holder's, and a killed holder doesn't answer.
constexpr Duration kKeeperWait{1'000};
constexpr Duration kKeeperRetryInterval{100};
// After this time without an answer of a lease holder the node reads the saved starts itself.
constexpr Duration kHolderWait{300};
// A holder that lists a new version in the lease record confirms starts at it within some 50 ms.
constexpr Duration kConfirmationWait{600};
constexpr Duration kConfirmationWaitAfterFailure{100};
constexpr Duration kConfirmationCheckInterval{5};
constexpr Duration kConfirmationRetryInterval{50};
// After a start that was not confirmed, streams begin at settled versions for this time.
constexpr Duration kAvoidUnsettledTime{2'000};

// The nodes that are told of and asked for starts of streams: the lease holder, and those of which
// one is the next holder.
std::vector<std::string> Keepers(const ForwardingState& state) {
  const FleetView& view = *state.views.Current();
  std::vector<std::string> keepers;
  if (!view.quota_holder.empty()) {
    keepers.push_back(view.quota_holder);
  }
  std::copy_if(state.standbys.begin(), state.standbys.end(), std::back_inserter(keepers),
               [&](const std::string& address) { return address != view.quota_holder; });
  return keepers;
}

void Report(ForwardingState& state, const StreamStarts& starts) {
  for (const std::string& keeper : Keepers(state)) {
    state.peers.report_streams(keeper, starts);
  }
}

// What this node knows of a service's versions itself.
StreamAnswer OwnAnswer(const ForwardingState& state, const std::string& service) {
  const FleetView& view = *state.views.Current();
  StreamAnswer own;
  if (const auto found = view.software_versions.find(service);
      found != view.software_versions.end()) {
    own.versions = found->second;
  }
  own.knows_history = view.knows_version_history;
  return own;
}

// Streams may have begun at several versions.
bool SeveralLately(const VersionsByService& versions, const std::string& service) {
  const auto found = versions.find(service);
  return found != versions.end() && found->second.size() > 1;
}

// The services of a split route differ in version, and an unnamed stream may have begun at any.
bool MayHaveBegunAtOthers(const ForwardingState& state, const ForwardedRequest& request) {
  if (!request.terms.began_as.empty()) {
    return false;
  }
  std::set<std::string> versions;
  for (const ServiceShare& share : request.route->shares) {
    versions.merge(OwnAnswer(state, share.service).versions);
  }
  return versions.size() > 1;
}

// Answers to questions that were asked at the same time.
struct StreamAnswers {
  StreamAnswers(asio::io_context& context, std::size_t count)
      : answers(count), missing(count), all_done(context, TimePoint::max()) {}

  std::vector<std::optional<StreamAnswer>> answers;
  std::size_t missing;
  Timer all_done;
};

// An interruption ends the wait for all keepers, see AskKeepers.
Awaitable<void> AskKeeper(ForwardingState& state,
                          std::string keeper,
                          StreamQuery query,
                          std::size_t index,
                          std::shared_ptr<StreamAnswers> pending) {
  const auto send = [&](auto done) {
    state.peers.ask_stream_version(keeper, query, std::move(done));
  };
  auto answer = co_await AwaitAnswer<StreamAnswer>(state.context, nullptr, send);
  pending->answers[index] = std::move(answer);
  if (--pending->missing == 0) {
    pending->all_done.cancel();
  }
}

// Asks all nodes that keep starts.
Awaitable<StreamInquiry> AskKeepers(ForwardingState& state, CallGuard& guard, StreamQuery query) {
  const std::vector<std::string> keepers = Keepers(state);
  StreamInquiry inquiry;
  inquiry.own = OwnAnswer(state, query.service);
  // A node that has just started may know no keeper but the last holder, which may be itself.
  inquiry.all_asked = !state.standbys.empty() || state.views.Current()->live_nodes <= 1;
  if (keepers.empty()) {
    co_return inquiry;
  }
  auto pending = std::make_shared<StreamAnswers>(state.context, keepers.size());
  for (std::size_t i = 0; i < keepers.size(); ++i) {
    asio::co_spawn(state.context, AskKeeper(state, keepers[i], query, i, pending), asio::detached);
  }
  if (pending->missing > 0) {
    co_await guard.AwaitTimer(pending->all_done);
  }
  inquiry.answers = pending->answers;
  co_return inquiry;
}

// Looks the stream up in the store, as a node that has just taken the lease does.
Awaitable<void> AddSavedStart(ForwardingState& state,
                              CallGuard& guard,
                              StreamQuery query,
                              StreamInquiry& inquiry) {
  const auto send = [&](auto done) { state.peers.find_saved_stream(query, std::move(done)); };
  auto answer = co_await AwaitAnswer<StreamAnswer>(state.context, &guard, send);
  if (answer) {
    answer->from_self = true;
    inquiry.answers.push_back(std::move(answer));
  }
}

std::string_view KnownBy(VersionVerdict verdict) {
  return verdict == VersionVerdict::kOnly    ? "only_version"
         : verdict == VersionVerdict::kFirst ? "first_version"
                                             : "asked";
}

bool AnyHolderAnswered(const StreamInquiry& inquiry) {
  return std::any_of(inquiry.answers.begin(), inquiry.answers.end(),
                     [](const auto& answer) { return answer && answer->is_holder; });
}

// Asks again for `kKeeperWait` at the most. Undecided if the request is interrupted.
Awaitable<VersionDecision> AskKeepersUntilKnown(ForwardingState& state,
                                                CallGuard& guard,
                                                StreamQuery query) {
  Timer timer(state.context);
  const TimePoint started = Now();
  const TimePoint until = started + kKeeperWait;
  VersionDecision decision;
  while (!guard.Interrupted()) {
    StreamInquiry inquiry = co_await AskKeepers(state, guard, query);
    const bool holder_missing = !AnyHolderAnswered(inquiry);
    if (holder_missing && Now() - started >= kHolderWait) {
      co_await AddSavedStart(state, guard, query, inquiry);
    }
    inquiry.last_try = Now() >= until;
    decision = DecideVersion(inquiry);
    if (decision.verdict != VersionVerdict::kAskAgain) {
      break;
    }
    timer.expires_after(kKeeperRetryInterval);
    co_await guard.AwaitTimer(timer);
  }
  co_return decision;
}

bool HasEndpointOf(const FleetView& view, const std::string& service, const std::string& version) {
  const auto found = view.by_service.find(service);
  return found != view.by_service.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](std::uint32_t index) {
           return view.endpoints[index].record.software_version == version;
         });
}

// Versions of the service at which endpoints serve without the lease holder's confirmation.
std::set<std::string> ServingSettledVersions(const FleetView& view, const std::string& service) {
  std::set<std::string> serving;
  const auto settled = view.settled_versions.find(service);
  if (settled == view.settled_versions.end()) {
    return serving;
  }
  std::copy_if(settled->second.begin(), settled->second.end(),
               std::inserter(serving, serving.end()),
               [&](const std::string& version) { return HasEndpointOf(view, service, version); });
  return serving;
}

}  // namespace

StartConfirmation::StartConfirmation(ForwardingState& state, std::string service, StreamStart start)
    : state_(state), service_(std::move(service)), start_(std::move(start)), created_at_(Now()) {}

void StartConfirmation::Ask() {
  asked_at_ = Now();
  const std::string& holder = state_.views.Current()->quota_holder;
  if (holder.empty()) {
    return;
  }
  state_.peers.confirm_streams(
      holder, {{start_}, service_}, [self = shared_from_this()](std::optional<bool> confirmed) {
        if (confirmed.value_or(false)) {
          asio::post(self->state_.context, [self] { self->confirmed_ = true; });
        }
      });
}

std::optional<bool> StartConfirmation::GiveUp() const {
  const bool failed_lately = Now() - state_.unconfirmed_at < kAvoidUnsettledTime;
  const Duration wait = failed_lately ? kConfirmationWaitAfterFailure : kConfirmationWait;
  if (Now() - created_at_ < wait) {
    return std::nullopt;
  }
  const FleetView& view = *state_.views.Current();
  if (!view.settled_versions.contains(service_) ||
      HasVersion(view.settled_versions, service_, start_.software_version)) {
    return true;
  }
  return ServingSettledVersions(view, service_).empty() ? std::nullopt : std::optional(false);
}

Awaitable<bool> StartConfirmation::Await(CallGuard& guard) {
  std::optional<bool> may_begin;
  while (!confirmed_ && !may_begin && !guard.Interrupted()) {
    if (Now() - asked_at_ >= kConfirmationRetryInterval) {
      Ask();
    }
    guard.WaitTimer().expires_after(kConfirmationCheckInterval);
    co_await guard.WaitTimer().async_wait(kAsTuple);
    may_begin = GiveUp();
  }
  const std::string_view result = confirmed_ ? "confirmed" : "unconfirmed";
  state_.metrics.Count({"rudderloom_stream_confirmations_total", "result", result});
  if (confirmed_) {
    co_return true;
  }
  state_.unconfirmed_at = Now();
  co_return may_begin.value_or(false);
}

bool NeedsConfirmation(const ForwardingState& state,
                       const std::string& service,
                       const std::string& software_version) {
  const FleetView& view = *state.views.Current();
  return SeveralLately(view.software_versions, service) &&
         !HasVersion(view.settled_versions, service, software_version);
}

std::string PreferredVersion(const ForwardingState& state, const std::string& service) {
  const FleetView& view = *state.views.Current();
  const bool confirms =
      Now() < view.holder_permits_until && Now() - state.unconfirmed_at >= kAvoidUnsettledTime;
  if (confirms || !SeveralLately(view.software_versions, service)) {
    return {};
  }
  const std::set<std::string> serving = ServingSettledVersions(view, service);
  return serving.size() == 1 ? *serving.begin() : std::string();
}

std::uint64_t SplitKey(ForwardingState& state, const ForwardedRequest& request) {
  const RequestMetadata& terms = request.terms;
  const std::string& stream = terms.resumes_stream ? terms.began_as : terms.id;
  if (request.route->kind != RouteKind::kStream || stream.empty()) {
    return state.random();
  }
  return std::hash<std::string>{}(stream);
}

std::string ServiceOfVersion(const ForwardingState& state, const ForwardedRequest& request) {
  const FleetView& view = *state.views.Current();
  const std::string& version = request.stream.software_version;
  if (version.empty() || HasEndpointOf(view, request.service, version)) {
    return request.service;
  }
  const auto& shares = request.route->shares;
  const auto found = std::find_if(shares.begin(), shares.end(), [&](const ServiceShare& share) {
    return HasEndpointOf(view, share.service, version);
  });
  return found == shares.end() ? request.service : found->service;
}

void RecordStreamStart(ForwardingState& state,
                       const std::string& service,
                       const StreamStart& start) {
  state.own_streams.Record(start, Now());
  // While no node knows what served before, the only version proves nothing. A node that is
  // stopping can't tell of the start when another version appears.
  if (SeveralLately(state.versions, service) || !state.knows_version_history || state.stopping) {
    Report(state, {start});
  }
}

void ReportOwnStreams(ForwardingState& state) {
  const StreamStarts starts = state.own_streams.All();
  if (!starts.empty()) {
    Report(state, starts);
  }
}

void ObserveVersions(ForwardingState& state, const FleetView& view) {
  // A new holder has none for some time. One of those of the last holder is the new one.
  if (!view.standbys.empty()) {
    state.standbys = view.standbys;
  }
  const bool forgot = state.knows_version_history && !view.knows_version_history;
  const bool any_new = std::any_of(
      view.software_versions.begin(), view.software_versions.end(), [&](const auto& entry) {
        return entry.second.size() > 1 && !SeveralLately(state.versions, entry.first);
      });
  state.versions = view.software_versions;
  state.knows_version_history = view.knows_version_history;
  if (any_new || forgot) {
    ReportOwnStreams(state);
  }
}

Awaitable<std::optional<FoundVersion>> FindStreamVersion(ForwardingState& state,
                                                         const ForwardedRequest& request) {
  const std::string& began_as = request.terms.began_as;
  FoundVersion found{state.own_streams.Find(began_as), "own"};
  bool is_known = !found.software_version.empty();
  if (!is_known && !MayHaveBegunAtOthers(state, request)) {
    StreamQuery query{began_as, request.service};
    const VersionDecision decision =
        co_await AskKeepersUntilKnown(state, *request.guard, std::move(query));
    if (request.guard->Interrupted()) {
      co_return std::nullopt;
    }
    is_known = decision.verdict != VersionVerdict::kUnknown;
    found.software_version = decision.software_version;
    found.known_by = KnownBy(decision.verdict);
  }
  const std::string_view label = is_known ? found.known_by : "unknown";
  state.metrics.Count({"rudderloom_streams_taken_up_total", "version", label});
  co_return is_known ? std::optional(found) : std::nullopt;
}

void LogNotResumed(const ForwardingState& state, const ForwardedRequest& request) {
  const bool known = !request.stream.software_version.empty();
  LogLine("stream_not_resumed")
      .With("request_id", request.terms.id)
      .With("began_as", request.terms.began_as)
      .With("service", request.service)
      .With("began_at", request.stream.software_version)
      .With("known_by", known ? request.stream.version_known_by : "nobody")
      .With("versions", VersionsText(state.versions, request.service))
      .With("history", state.views.Current()->knows_version_history ? "known" : "unknown")
      .With("watched_ms", Between(state.started_at, Now()).count());
}

}  // namespace rudderloom
