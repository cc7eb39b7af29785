// Distributes the limits that endpoints announce to all nodes, and decides who issues permits.
#include <set>  // for set

#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

constexpr Duration kLimitExpiryInterval{1'000};

}  // namespace

// Records limits observed by this node's requests, or by a node that reports here.
void FleetState::RecordLimits(const SentLimits& limits, TimePoint now) {
  const bool is_new = limits_.Observed(limits, now);
  report_urgent_ = report_urgent_ || is_new;
}

void FleetState::ExpireLimits(TimePoint now) {
  if (now - limits_expired_at_ < kLimitExpiryInterval) {
    return;
  }
  limits_expired_at_ = now;
  std::set<EndpointKey> listed;
  for (const auto& [instance, known] : directory_.Endpoints()) {
    listed.insert(KeyOf(instance));
  }
  limits_.Expire([&](EndpointKey endpoint) { return listed.contains(endpoint); }, now);
}

// The nodes that may take the lease over. All nodes know them from the holder's digest.
std::vector<std::string> FleetState::Standbys() const {
  if (holds_lease_) {
    return roster_ ? roster_->StandbyAddresses() : std::vector<std::string>();
  }
  return received_ ? received_->digest.standby_addresses : std::vector<std::string>();
}

std::string FleetState::Deputy() const {
  const std::vector<std::string> standbys = Standbys();
  return standbys.empty() ? std::string() : standbys.front();
}

// Returns true when this node becomes the deputy or stops being it.
bool FleetState::UpdateDeputy(TimePoint now) {
  if (!holds_lease_) {
    deputy_until_holding_since_.reset();
  }
  const bool is_deputy = !holds_lease_ && Deputy() == settings_.listen.peers;
  if (is_deputy == deputy_since_.has_value()) {
    return false;
  }
  // A deputy that has acquired the lease keeps granting slots meanwhile.
  deputy_until_holding_since_ = holds_lease_ ? deputy_since_ : std::nullopt;
  deputy_since_ = is_deputy ? std::optional(now) : std::nullopt;
  return true;
}

std::optional<PermitBasis> FleetState::MakePermitBasis() const {
  if (holds_lease_) {
    const TimePoint granting_since = deputy_until_holding_since_.value_or(held_since_);
    return PermitBasis{held_since_ + kMaxPermitWait, lease_.ValidUntil(), 1.0,
                       granting_since + kGrantLifetime, held_since_ + kGrantLifetime};
  }
  if (!deputy_since_) {
    return std::nullopt;
  }
  return PermitBasis{*deputy_since_ + kMaxPermitWait, TimePoint::max(), kDeputyFraction,
                     *deputy_since_ + kGrantLifetime, TimePoint::max()};
}

// Until when this node asks the holder for permits.
TimePoint FleetState::HolderPermitsUntil() const {
  if (holds_lease_) {
    return TimePoint::max();
  }
  return received_ ? received_->made_at + kMaxHolderMessageAge : TimePoint();
}

}  // namespace rudderloom
