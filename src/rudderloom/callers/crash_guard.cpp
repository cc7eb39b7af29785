#include "callers/crash_guard.hpp"

#include "rudderloom/http/connection_probe.hpp"  // for AwaitConnectionRefusal

namespace rudderloom {

namespace {

// Equal to the duration of a quarantine.
constexpr Duration kQuarantineRetryDelay{3'600'000};

Awaitable<void> ReportIfExited(CallContext& shared, std::string address, std::string instance) {
  const bool process_exited = co_await AwaitConnectionRefusal(shared.context, std::move(address),
                                                              kProbeTimeout, Now() + kCrashWindow);
  if (process_exited) {
    shared.crashes.Ended(instance, Now());
  }
}

}  // namespace

const RequestDigests& CrashGuard::Digests() {
  if (digests_.empty()) {
    const HttpRequest& request = exchange_.Request();
    const auto target = request.target();
    digests_.push_back(DigestOf(
        RequestIdentity{{}, {target.data(), target.size()}, info_.caller, request.body()}));
  }
  return digests_;
}

std::optional<Refusal> CrashGuard::Check() {
  const QuarantineListPtr list = shared_.dispatcher.Current()->quarantine;
  if (!list || list->quarantined.empty() || !list->quarantined.contains(Digests().front())) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.reason = RefusalReason::kQuarantined;
  refusal.execution = ExecutionStatus::kUnknown;
  refusal.retry_delay = kQuarantineRetryDelay;
  return refusal;
}

void CrashGuard::AttemptEnded(const EndpointView& endpoint,
                              std::optional<AttemptFailure> failure,
                              TimePoint sent_at) {
  if (!failure) {
    shared_.crashes.Answered(Digests(), shared_.dispatcher.Current()->quarantine, Now());
    return;
  }
  if (*failure != AttemptFailure::kBrokenBeforeAnswer &&
      *failure != AttemptFailure::kBrokenMidAnswer) {
    return;
  }
  if (shared_.crashes.RecordFailure(endpoint.instance, Digests(), sent_at, Now())) {
    asio::co_spawn(shared_.context, ReportIfExited(shared_, endpoint.address, endpoint.instance),
                   asio::detached);
  }
}

}  // namespace rudderloom
