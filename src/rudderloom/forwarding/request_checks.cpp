#include "forwarding/request_checks.hpp"

#include <algorithm>  // for any_of, min

#include "forwarding/crash_check.hpp"      // for AppendSharedParts
#include "rudderloom/base/log_line.hpp"    // for LogLine
#include "rudderloom/http/call_guard.hpp"  // for CallGuard

namespace rudderloom {

RequestChecks::RequestChecks(ForwardingState& state,
                             HttpExchange& exchange,
                             const RequestMetadata& terms,
                             TimePoint arrived)
    : state_(state),
      exchange_(exchange),
      terms_(terms),
      arrived_(arrived),
      routes_(state.views.Current()->routes),
      quota_grant_(state) {}

Awaitable<std::optional<ForwardRefusal>> RequestChecks::Check(CallGuard& guard) {
  co_await AwaitConfiguration(guard);
  if (!routes_) {
    co_return ForwardRefusal::kNoConfiguration;
  }
  const auto target = exchange_.Request().target();
  const auto host = exchange_.Request()[http::field::host];
  route_ = routes_->Find({host.data(), host.size()}, {target.data(), target.size()});
  if (route_ == nullptr) {
    co_return ForwardRefusal::kNoRoute;
  }
  caller_ = IdentifyCaller(*routes_, *route_, terms_.key);
  if (caller_.standing == CallerStatus::kUnknown) {
    co_return ForwardRefusal::kUnknownKey;
  }
  if (MayOutlastStop()) {
    co_return ForwardRefusal::kStopping;
  }
  if (Quarantined(*state_.views.Current())) {
    co_return ForwardRefusal::kQuarantined;
  }
  co_return co_await CheckQuota(guard);
}

TimePoint RequestChecks::LatestDeadline() const {
  return arrived_ + terms_.deadline.value_or(kDefaultDeadline);
}

Duration RequestChecks::TimeLimit() const {
  return std::min(route_->timeout, terms_.deadline.value_or(kDefaultDeadline));
}

// The client of a stream that began before the stop may send its next request just before the node
// exits, as the header of the stream did not announce that the connection closes.
bool RequestChecks::MayOutlastStop() const {
  return state_.notice_over && arrived_ + TimeLimit() > state_.stop_deadline;
}

Awaitable<std::optional<ForwardRefusal>> RequestChecks::CheckQuota(CallGuard& guard) {
  if (caller_.customer == nullptr || !caller_.customer->quota.Limited()) {
    co_return std::nullopt;
  }
  co_await AwaitQuotaState(guard);
  const auto wait = co_await quota_grant_.Acquire(guard, *caller_.customer, terms_);
  if (!wait) {
    co_return std::nullopt;
  }
  retry_delay_ = *wait;
  state_.metrics.Count({"rudderloom_over_quota_total", "customer", caller_.customer->name});
  co_return ForwardRefusal::kOverQuota;
}

// A new process receives its configuration within about 100 ms, so waiting for it is faster than a
// refusal and a retry.
Awaitable<void> RequestChecks::AwaitConfiguration(CallGuard& guard) {
  if (!routes_) {
    co_await AwaitView(guard, [](const FleetView& view) { return view.routes != nullptr; });
    routes_ = state_.views.Current()->routes;
  }
}

// Without quota state from the lease holder, a node grants a customer very little. The state
// arrives sooner than the client would retry.
Awaitable<void> RequestChecks::AwaitQuotaState(CallGuard& guard) {
  co_await AwaitView(guard, [](const FleetView& view) { return view.quota != nullptr; });
}

// Waits for a view that satisfies `predicate`. Ends early when the startup period is over, at the
// client's deadline or disconnect, or at a planned stop.
Awaitable<void> RequestChecks::AwaitView(CallGuard& guard, bool (*predicate)(const FleetView&)) {
  const TimePoint until = std::min(state_.configured_by, LatestDeadline());
  while (!predicate(*state_.views.Current()) && Now() < until && !guard.Interrupted() &&
         !state_.stopping) {
    co_await state_.views.WaitForNext(guard.WaitTimer(), until);
  }
}

std::string_view RequestChecks::Customer() const {
  return caller_.customer != nullptr ? std::string_view(caller_.customer->name)
                                     : std::string_view();
}

CallerMetadata RequestChecks::EndpointCaller() const {
  return {routes_->NeedsKeys(), std::string(Customer())};
}

const RequestDigests& RequestChecks::Digests() {
  if (digests_.empty()) {
    const HttpRequest& request = exchange_.Request();
    const auto host = request[http::field::host];
    const auto target = request.target();
    std::string_view caller = Customer();
    if (caller.empty() && terms_.key) {
      caller = BytesOf(*terms_.key);
    }
    digests_.push_back(DigestOf(RequestIdentity{
        {host.data(), host.size()}, {target.data(), target.size()}, caller, request.body()}));
    AppendSharedParts(terms_.prompt, digests_);
  }
  return digests_;
}

bool RequestChecks::Quarantined(const FleetView& view) {
  if (!view.quarantine || view.quarantine->quarantined.empty()) {
    return false;
  }
  RequestDigests listed = Digests();
  std::erase_if(listed, [&](const RequestDigest& digest) {
    return digest == trial_ || !view.quarantine->quarantined.contains(digest);
  });
  if (listed.size() == 1 && !trial_ && state_.trials.Take(listed.front(), Now())) {
    trial_ = listed.front();
    LogLine("quarantine_trial").With("request_id", terms_.id).With("request", TextOf(*trial_));
    return false;
  }
  return !listed.empty();
}

bool RequestChecks::Suspected(const FleetView& view) {
  const auto listed = [&](const RequestDigest& digest) {
    return view.quarantine->suspects.contains(digest);
  };
  return trial_ || (view.quarantine && !view.quarantine->suspects.empty() &&
                    std::any_of(Digests().begin(), Digests().end(), listed));
}

bool RequestChecks::KeyRevoked(const FleetView& view) const {
  return caller_.customer != nullptr && view.routes && view.routes != routes_ &&
         IdentifyCaller(*view.routes, *route_, terms_.key).standing == CallerStatus::kUnknown;
}

}  // namespace rudderloom
