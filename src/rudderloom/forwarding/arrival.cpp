#include "forwarding/arrival.hpp"

#include <algorithm>  // for min

#include "rudderloom/forwarding/call_guard.hpp"  // for CallGuard

namespace rudderloom {

Arrival::Arrival(ForwardingState& state,
                 HttpExchange& exchange,
                 const RequestTerms& terms,
                 TimePoint arrived)
    : state_(state),
      exchange_(exchange),
      terms_(terms),
      arrived_(arrived),
      routes_(state.views.Current()->routes),
      grant_(state) {}

Awaitable<std::optional<ForwardRefusal>> Arrival::Check() {
  co_await AwaitConfiguration();
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
  if (caller_.standing == CallerStanding::kUnknown) {
    co_return ForwardRefusal::kUnknownKey;
  }
  if (Quarantined(*state_.views.Current())) {
    co_return ForwardRefusal::kQuarantined;
  }
  co_return co_await CheckQuota();
}

Awaitable<std::optional<ForwardRefusal>> Arrival::CheckQuota() {
  if (caller_.customer == nullptr || !caller_.customer->quota.Limited()) {
    co_return std::nullopt;
  }
  co_await AwaitQuotaWord();
  const auto wait = co_await grant_.Take(*caller_.customer, terms_);
  if (!wait) {
    co_return std::nullopt;
  }
  come_back_ = *wait;
  state_.metrics.Count({"rudderloom_over_quota_total", "customer", caller_.customer->name});
  co_return ForwardRefusal::kOverQuota;
}

// A process that has just started has its configuration in some 100 ms: requests that came to it
// meanwhile would come back later than that.
Awaitable<void> Arrival::AwaitConfiguration() {
  if (!routes_) {
    co_await AwaitView([](const FleetView& view) { return view.routes != nullptr; });
    routes_ = state_.views.Current()->routes;
  }
}

// Without a word of the holder a node lets a customer spend very little: a request would come back
// later than the word.
Awaitable<void> Arrival::AwaitQuotaWord() {
  co_await AwaitView([](const FleetView& view) { return view.quota != nullptr; });
}

// Waits for a view that is as wanted, until the process has run for a while, the client's deadline
// or leave, or the stop.
Awaitable<void> Arrival::AwaitView(bool (*wanted)(const FleetView&)) {
  const TimePoint until =
      std::min(state_.configured_by, arrived_ + terms_.deadline.value_or(kUsualDeadline));
  if (wanted(*state_.views.Current()) || Now() >= until) {
    co_return;
  }
  CallGuard guard(state_.context, state_.guards, until, [] { return true; });
  exchange_.WatchPeer([&guard] { guard.ClientGone(); });
  while (!wanted(*state_.views.Current()) && Now() < until && guard.Why() == Interruption::kNone &&
         !state_.stopping) {
    co_await state_.views.WaitForNext(guard.WaitTimer(), until);
  }
  exchange_.StopWatching();
}

std::string_view Arrival::Customer() const {
  return caller_.customer != nullptr ? std::string_view(caller_.customer->name)
                                     : std::string_view();
}

CallerTerms Arrival::ForEndpoint() const {
  return {routes_->NeedsKeys(), std::string(Customer())};
}

const RequestDigest& Arrival::Digest() {
  if (!digest_) {
    const HttpRequest& request = exchange_.Request();
    const auto host = request[http::field::host];
    const auto target = request.target();
    std::string_view caller = Customer();
    if (caller.empty() && terms_.key) {
      caller = BytesOf(*terms_.key);
    }
    digest_ = DigestOf(RequestIdentity{
        {host.data(), host.size()}, {target.data(), target.size()}, caller, request.body()});
  }
  return *digest_;
}

bool Arrival::Quarantined(const FleetView& view) {
  return view.quarantine && !view.quarantine->quarantined.empty() &&
         view.quarantine->quarantined.contains(Digest());
}

bool Arrival::Suspected(const FleetView& view) {
  return view.quarantine && !view.quarantine->suspects.empty() &&
         view.quarantine->suspects.contains(Digest());
}

bool Arrival::KeyTakenAway(const FleetView& view) const {
  return caller_.customer != nullptr && view.routes && view.routes != routes_ &&
         IdentifyCaller(*view.routes, *route_, terms_.key).standing == CallerStanding::kUnknown;
}

}  // namespace rudderloom
