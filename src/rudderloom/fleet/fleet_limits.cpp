// Limits that endpoints announce, on their way to all nodes, and who hands out permits for them.
#include <set>  // for set

#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

constexpr Duration kExpireEvery{1'000};

}  // namespace

// What this node's requests have observed, or another node's that reports here.
void FleetState::TakeLimits(const SentLimits& limits, TimePoint now) {
  const bool is_new = limits_.Observed(limits, now);
  urgent_ = urgent_ || is_new;
}

void FleetState::ExpireLimits(TimePoint now) {
  if (now - limits_expired_at_ < kExpireEvery) {
    return;
  }
  limits_expired_at_ = now;
  std::set<EndpointKey> listed;
  for (const auto& [instance, known] : directory_.Endpoints()) {
    listed.insert(KeyOf(instance));
  }
  limits_.Expire([&](EndpointKey endpoint) { return listed.contains(endpoint); }, now);
}

// The first of the nodes that take the lease over: all nodes know it by the holder's message.
std::string FleetState::Deputy() const {
  return heard_ && !heard_->digest.standby_addresses.empty()
             ? heard_->digest.standby_addresses.front()
             : std::string();
}

// True when this node becomes the deputy or is none any more.
bool FleetState::DeputyChanged(TimePoint now) {
  const bool is_deputy = !holds_ && Deputy() == settings_.listen.peers;
  if (is_deputy == deputy_since_.has_value()) {
    return false;
  }
  deputy_since_ = is_deputy ? std::optional(now) : std::nullopt;
  return true;
}

std::optional<PermitBasis> FleetState::MakePermitBasis() const {
  if (holds_) {
    return PermitBasis{held_since_ + kMostPermitWait, lease_.ValidUntil(), 1.0};
  }
  if (!deputy_since_) {
    return std::nullopt;
  }
  return PermitBasis{*deputy_since_ + kMostPermitWait, TimePoint::max(), kDeputyPart};
}

// Until when this node asks the holder.
TimePoint FleetState::HolderPermitsUntil() const {
  if (holds_) {
    return TimePoint::max();
  }
  return heard_ ? heard_->made_at + kHolderGrantsFor : TimePoint();
}

}  // namespace rudderloom
