#include "rudderloom/forwarding/endpoint_reach.hpp"

#include <algorithm>  // for any_of, clamp

namespace rudderloom {

namespace {

// Endpoints that must fail in a row. One or two may crash at the same time.
constexpr std::size_t kFailuresWhenCutOff = 3;
constexpr std::size_t kMinFailuresWhenCutOff = 2;
constexpr Duration kFailureMemory{3'000};
// Consecutive failures of one endpoint after which another node is tried.
constexpr std::uint32_t kFailuresBeforeGateway = 2;
// Time after a failure until the endpoint is tried directly again.
constexpr Duration kDirectRetryDelay{1'000};
constexpr Duration kVerificationInterval{300};
// An endpoint that was reached so recently makes a verification unnecessary.
constexpr Duration kRecentlyReached{200};

}  // namespace

void EndpointReach::Reached(const std::string& instance, TimePoint now) {
  failures_.erase(instance);
  failed_in_a_row_.clear();
  reached_at_ = now;
  if (CutOff()) {
    failures_.clear();
  }
  state_ = State::kReaching;
}

bool EndpointReach::Failed(const std::string& instance, std::size_t endpoint_count, TimePoint now) {
  Failures& failures = failures_[instance];
  ++failures.consecutive;
  failures.last_at = now;
  failed_in_a_row_[instance] = now;
  std::erase_if(failed_in_a_row_,
                [&](const auto& entry) { return now - entry.second > kFailureMemory; });
  const std::size_t needed =
      std::clamp(endpoint_count, kMinFailuresWhenCutOff, kFailuresWhenCutOff);
  if (state_ != State::kReaching || failed_in_a_row_.size() < needed) {
    return false;
  }
  state_ = State::kSuspected;
  return true;
}

bool EndpointReach::ConfirmCutOff() {
  if (state_ != State::kSuspected) {
    return false;
  }
  state_ = State::kCutOff;
  return true;
}

bool EndpointReach::FailsRepeatedly(const Failures& failures, TimePoint now) {
  return failures.consecutive >= kFailuresBeforeGateway &&
         now - failures.last_at < kDirectRetryDelay && now >= failures.gateways_fail_until;
}

bool EndpointReach::NeedsGateway(const std::string& instance, TimePoint now) const {
  const auto found = failures_.find(instance);
  return CutOff() || (found != failures_.end() && FailsRepeatedly(found->second, now));
}

bool EndpointReach::NeedsGateways(TimePoint now) const {
  return CutOff() || std::any_of(failures_.begin(), failures_.end(), [&](const auto& entry) {
           return FailsRepeatedly(entry.second, now);
         });
}

void EndpointReach::GatewayFailed(const std::string& instance, TimePoint now) {
  failures_[instance].gateways_fail_until = now + kDirectRetryDelay;
}

bool EndpointReach::TakeDue(TimePoint& last_at, TimePoint now) const {
  if (CutOff() || now - last_at < kVerificationInterval || now - reached_at_ < kRecentlyReached) {
    return false;
  }
  last_at = now;
  return true;
}

bool EndpointReach::TakeVerificationDue(TimePoint now) {
  return TakeDue(verified_at_, now);
}

bool EndpointReach::TakeProbeDue(TimePoint now) {
  return TakeDue(probed_at_, now);
}

void EndpointReach::Trim(TimePoint now) {
  std::erase_if(failures_,
                [&](const auto& entry) { return now - entry.second.last_at > kFailureMemory; });
}

}  // namespace rudderloom
