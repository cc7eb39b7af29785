#include "callers/crash_guard.hpp"

#include "rudderloom/http/listening.hpp"  // for NobodyListens

namespace rudderloom {

namespace {

// As long as the quarantine lasts.
constexpr Duration kComeBack{3'600'000};

Awaitable<void> Ask(CallContext& shared, std::string address, std::string life) {
  const bool ended = co_await NobodyListens(shared.context, std::move(address), kListeningAnswer);
  if (ended) {
    shared.crashes.Ended(life, Now());
  }
}

}  // namespace

const RequestDigest& CrashGuard::Digest() {
  if (!digest_) {
    const HttpRequest& request = exchange_.Request();
    const auto target = request.target();
    digest_ =
        DigestOf(RequestIdentity{{}, {target.data(), target.size()}, info_.caller, request.body()});
  }
  return *digest_;
}

std::optional<Refusal> CrashGuard::Check() {
  const QuarantineListPtr list = shared_.dispatcher.Current()->quarantine;
  if (!list || list->quarantined.empty() || !list->quarantined.contains(Digest())) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.reason = RefusalReason::kQuarantined;
  refusal.ran = Ran::kUnknown;
  refusal.come_back = kComeBack;
  return refusal;
}

void CrashGuard::Ended(const EndpointView& endpoint,
                       std::optional<AttemptFailure> failure,
                       TimePoint sent_at) {
  if (!failure) {
    shared_.crashes.Answered(Digest(), shared_.dispatcher.Current()->quarantine);
    return;
  }
  if (*failure != AttemptFailure::kCutEarly && *failure != AttemptFailure::kCutMidway) {
    return;
  }
  const std::string life = endpoint.name + "#" + endpoint.incarnation;
  if (shared_.crashes.Broke(life, Digest(), sent_at, Now())) {
    asio::co_spawn(shared_.context, Ask(shared_, endpoint.address, life), asio::detached);
  }
}

}  // namespace rudderloom
