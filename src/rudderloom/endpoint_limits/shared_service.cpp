#include "rudderloom/endpoint_limits/shared_service.hpp"

#include <algorithm>  // for clamp, max, min

namespace rudderloom {

namespace {

constexpr int kQuarters = 4;

// A pause lasts between three quarters and all of its length.
Duration Spread(Duration pause, double spread) {
  constexpr double kFixedPart = 0.75;
  const double part = kFixedPart + (1.0 - kFixedPart) * spread;
  return Duration(static_cast<Duration::rep>(static_cast<double>(pause.count()) * part));
}

// Requests that `slots` serve within three quarters of the goal.
std::uint32_t ServedInQueueTime(std::uint32_t slots, const SlotGrantBasis& basis) {
  if (basis.typical_time <= Duration(0) || basis.goal <= Duration(0)) {
    return 0;
  }
  const auto queue_time =
      static_cast<double>(basis.goal.count()) * kGoalQuartersInQueue / kQuarters;
  const double rounds = std::min(queue_time / static_cast<double>(basis.typical_time.count()),
                                 static_cast<double>(kMaxRequestsPerSlot - 1));
  return static_cast<std::uint32_t>(rounds * slots);
}

}  // namespace

bool NeedsSlotGrants(const ServiceSize& size) {
  return !size.has_engine && size.slots > 0 && size.slots < size.live_nodes;
}

InFlightTerms SlotGrantTerms(const SlotGrantBasis& basis) {
  const std::uint32_t slots = std::clamp(basis.slots, 1U, kMaxInFlightCost / kMaxRequestsPerSlot);
  return {1, slots + ServedInQueueTime(slots, basis), basis.remaining, InFlightUntil::kEnded};
}

SoloSends::SoloSends(double spread) : spread_(std::clamp(spread, 0.0, 1.0)) {}

Duration SoloSends::Wait(const std::string& service, TimePoint now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return Duration(0);
  }
  const auto pause = std::chrono::ceil<Duration>(found->second.paused_until - now);
  const Duration busy = now < found->second.busy_until ? kSoloCheckInterval : Duration(0);
  return std::max(pause, busy);
}

void SoloSends::Sent(const std::string& service, Duration max_hold, TimePoint now) {
  services_[service].busy_until = now + std::clamp(max_hold, Duration(0), kMaxInFlightHold);
}

void SoloSends::Ended(const std::string& service) {
  services_[service] = {};
}

void SoloSends::Rejected(const std::string& service, TimePoint now) {
  Service& entry = services_[service];
  const Duration pause = std::max(kMinSoloPause, entry.next_pause);
  entry.busy_until = {};
  entry.paused_until = now + Spread(pause, spread_);
  entry.next_pause = std::min(kMaxSoloPause, pause * 2);
}

}  // namespace rudderloom
