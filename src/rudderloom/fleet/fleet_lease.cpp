// Lease handling of the control state: reads, takes, renews and gives up the lease.
#include <algorithm>  // for any_of, max

#include "rudderloom/base/log_line.hpp"         // for LogLine
#include "rudderloom/base/stable_fraction.hpp"  // for StableFraction
#include "rudderloom/fleet/fleet_state.hpp"     // for FleetState

namespace rudderloom {

namespace {

// Time between two fresh reads, which cost ten times as much as a stale one.
constexpr Duration kFreshReadInterval{150};
// Time between two stale reads at startup, before the lease is known.
constexpr Duration kStartupReadInterval{250};
// Multiple of a node's yield time during which it makes only stale reads at startup. A node with
// 0.12 of a core waits 1.2 s; by then nodes with more processor time have taken the lease, and a
// stale read shows it.
constexpr int kStaleOnlyYieldTimes = 4;
// At the first start of the whole system, nodes with equal processor time begin their fresh reads
// spread over this time: in a fleet of 295 equal nodes, all of them tried to create the object.
constexpr Duration kFirstStartSpread{1'000};
// Interval at which nodes other than the holder check the lease with a stale read.
constexpr Duration kLeaseCheckInterval{1'000};
// Number of nodes that check the lease at the full rate; in larger fleets the rate is shared.
constexpr std::uint32_t kFullRateCheckers = 8;
// After this time without a digest of the holder, the lease is checked more often.
constexpr Duration kSuspectAfter{700};
constexpr Duration kSuspectCheckInterval{300};
// Standbys see each renewal, one per second, soon enough to act before all other nodes.
constexpr Duration kStandbyCheckInterval{500};
// Nodes that know of standbys let these take the lease first for this long.
constexpr Duration kStandbyYield{1'000};
// Overloaded nodes let all other nodes take the lease first: by then even nodes that yield to
// standbys have taken it, 0.5 to 0.7 s after it was given up in measurements, and 1.5 s at the
// most.
constexpr Duration kOverloadedYield{2'000};
// Overload lasts for seconds, and nothing requires this node to take the lease again soon.
constexpr Duration kResignationCooldown{10'000};
// Taking over the lease is more work than holding it: the reports of all engines and the counts of
// all nodes arrive at once. Also the minimum time between two handovers in a fleet that is
// overloaded as a whole.
constexpr Duration kMinHoldTime{4'000};
// By then the node has probed an endpoint once more.
constexpr Duration kCutOffBeforeResigning{600};
// Half of the lag at which a holder resigns.
constexpr Duration kLagLogThreshold{100};
constexpr Duration kLagLogInterval{1'000};
constexpr Duration kIgnoredLogInterval{1'000};

}  // namespace

// Returns true when the holder has not answered lately or reports that it can't renew its lease;
// the lease is then checked more often.
bool FleetState::SuspectsHolder(TimePoint now) const {
  return !holds_lease_ && received_ &&
         (received_->digest.renewals_fail || now - received_->made_at >= kSuspectAfter);
}

// Each check costs a store call: a few standbys check often, and all other nodes together about as
// often as a few would. Without standbys a fleet of 63 nodes took 5 s to detect that its holder was
// cut off from the store; because the rate of loads is limited, its models then stayed 10 s behind
// the demand.
Duration FleetState::LeaseCheckInterval(TimePoint now) const {
  const bool suspects = SuspectsHolder(now);
  if (received_ && received_->digest.standby) {
    return suspects ? kSuspectCheckInterval : kStandbyCheckInterval;
  }
  const Duration pause = suspects ? kSuspectCheckInterval : kLeaseCheckInterval;
  return pause * std::max(1U, live_nodes_ / kFullRateCheckers);
}

// A holder without links to endpoints can't deliver orders, and reads no reports.
bool FleetState::AnotherNodeReachesEndpoints(TimePoint now) const {
  const auto nodes = board_.ReportingNodes(settings_.name, now);
  return std::any_of(nodes.begin(), nodes.end(),
                     [](const ReportingNode& node) { return node.reaches_endpoints; });
}

// A node keeps renewing its lease long after its other work is too late to be of use. A holder
// slowed down 8 times beside 85 nodes sent no orders for up to 10 s at a time, and took its own
// lapsed lease back before others could be sure that it was free.
bool FleetState::ShouldResign(TimePoint now) const {
  if (holds_lease_ && cut_off_since_ && now - *cut_off_since_ >= kCutOffBeforeResigning) {
    return AnotherNodeReachesEndpoints(now);
  }
  return holds_lease_ && lag_.Overloaded() && now - held_since_ >= kMinHoldTime &&
         !board_.ReportingNodes(settings_.name, now).empty();
}

// No order may reach an endpoint after the lease was given up: the next holder waits only for as
// long as an order sent in time may take.
void FleetState::UpdateResignation(TimePoint now) {
  if (!resigning_ && ShouldResign(now)) {
    resigning_ = true;
    resigned_at_ = now;
    LogLine("lease_resigned", Severity::kWarning)
        .With("epoch", lease_.Epoch())
        .With("mean_lag_ms", lag_.Mean().count())
        .With("reaches_endpoints", cut_off_since_ ? "no" : "yes");
  }
  if (placement_.HasOrdersInFlight()) {
    return;
  }
  if (stopping_) {
    lease_.Stop();
  }
  if (resigning_) {
    lease_.HandOver();
  }
}

// How long this node lets others take a free lease first.
Duration FleetState::LeaseYield(TimePoint now) const {
  const bool cooling_down = resigned_at_ && now - *resigned_at_ < kResignationCooldown;
  if (cooling_down || lag_.Overloaded() || cut_off_since_) {
    return kOverloadedYield;
  }
  return received_ && !received_->digest.standby ? kStandbyYield : Duration(0);
}

// After a restart clients may be waiting for orders that only a holder can send, so nodes do not
// spread out their reads.
Duration FleetState::FirstFreshReadDelay() const {
  const Duration yield_time = kStaleOnlyYieldTimes * YieldTime(settings_.processor_share);
  if (!settings_.first_start) {
    return yield_time;
  }
  return yield_time +
         std::chrono::duration_cast<Duration>(StableFraction(settings_.name) * kFirstStartSpread);
}

// If all nodes of a starting fleet read the object freshly, tried to create it and read it again,
// 295 nodes would make 880 calls. Most of them learn who holds the lease from a stale read, at a
// tenth of the cost: nodes with little processor time make fresh reads only when nobody holds it by
// then.
std::optional<LeaseRead> FleetState::LeaseReadDue(TimePoint now) {
  if (lease_read_pending_) {
    return std::nullopt;
  }
  if (!lease_.Known() && now - started_at_ < FirstFreshReadDelay()) {
    return now - lease_read_at_ >= kStartupReadInterval ? std::optional(LeaseRead::kMayBeStale)
                                                        : std::nullopt;
  }
  if (lease_.NeedsRead() && now - lease_read_at_ >= kFreshReadInterval) {
    return LeaseRead::kFresh;
  }
  if (!lease_.Holds(now) && now - lease_read_at_ >= LeaseCheckInterval(now)) {
    return LeaseRead::kMayBeStale;
  }
  return std::nullopt;
}

// Reads and writes the lease object when due, and applies a change of the holder.
void FleetState::UpdateLease(FleetEffects& effects, TimePoint now) {
  UpdateResignation(now);
  lease_.SetExtraYield(LeaseYield(now));
  if (holds_lease_) {
    // Every write lists all orders sent so far.
    const OrderAnnouncements& announcements = placement_.Announcements();
    lease_.Announce(announcements.Own(now), announcements.Inherited(now),
                    announcements.InheritedAll(now));
  }
  effects.lease_read = LeaseReadDue(now);
  if (effects.lease_read) {
    lease_read_pending_ = true;
    lease_read_at_ = now;
  }
  effects.lease_write = lease_.NextWrite(now);
  effects.released = stopping_ && lease_.Released();
  if (lease_.HolderAddress() != lease_holder_) {
    lease_holder_ = lease_.HolderAddress();
    upstream_.ObserveHolder(lease_holder_, lease_.Epoch());
    LogLine("holder_seen").With("holder", lease_holder_).With("epoch", lease_.Epoch());
  }
  resigning_ = resigning_ && !lease_.Released();
  const bool holds = lease_.Holds(now) && !resigning_ && !stopping_;
  if (holds && holds_lease_ && lease_.Epoch() != held_epoch_) {
    ContinueHolding(effects, now);
  }
  if (holds == holds_lease_) {
    return;
  }
  holds_lease_ = holds;
  MarkViewUrgent();
  if (!holds) {
    limits_.End();
  } else {
    FormerLease former = lease_.Former();
    if (lease_.Epoch() == held_epoch_) {
      former.former_holder = FormerHolder::kThisProcess;
    }
    placement_.Reset(former, now);
    held_epoch_ = lease_.Epoch();
    held_since_ = now;
    roster_.reset();
    RestoreBalances(lease_.Former(), now);
    RestoreQuarantine(lease_.Former(), now);
    RestoreVersions(lease_.Former(), now);
    limits_.Begin(held_epoch_);
  }
  effects.statement = MakeStatement(now);
  LogLine(holds ? "lease_taken" : "lease_lost").With("epoch", lease_.Epoch());
}

// Called when the store was restored from an older backup and this holder has taken its lease
// again.
void FleetState::ContinueHolding(FleetEffects& effects, TimePoint now) {
  placement_.ContinueLease(lease_.Former(), now);
  unrecorded_versions_.ExcludeAll();
  held_epoch_ = lease_.Epoch();
  limits_.Begin(held_epoch_);
  effects.statement = MakeStatement(now);
  LogLine("lease_taken_anew").With("epoch", lease_.Epoch());
}

// Orders are sent only to endpoints listed in the lease record, so they are written there first.
void FleetState::AnnounceOrders(FleetEffects& effects, TimePoint now) {
  if (!holds_lease_ || effects.lease_write) {
    return;
  }
  const OrderAnnouncements& announcements = placement_.Announcements();
  lease_.Announce(announcements.Own(now), announcements.Inherited(now),
                  announcements.InheritedAll(now));
  effects.lease_write = lease_.NextWrite(now);
}

void FleetState::On(const fleet_message::LeaseSeen& seen, TimePoint now) {
  lease_read_pending_ = false;
  NoteEra(seen.version.Era());
  const bool taken = lease_.ApplyRead(seen.record, seen.version, seen.fresh, now);
  if (taken || !seen.record || now - lease_ignored_logged_at_ < kIgnoredLogInterval) {
    return;
  }
  lease_ignored_logged_at_ = now;
  LogLine("lease_record_ignored", Severity::kWarning)
      .With("holder", seen.record->holder)
      .With("epoch", seen.record->epoch)
      .With("renewals", seen.record->renewals)
      .With("version", TextOf(seen.version))
      .With("known_epoch", lease_.Epoch());
}

void FleetState::On(const fleet_message::LeaseReadFailed&, TimePoint now) {
  lease_read_pending_ = false;
  lease_.OnReadFailed(now);
}

void FleetState::On(const fleet_message::LeaseWritten& written, TimePoint now) {
  if (written.version) {
    lease_.OnWriteSucceeded(*written.version, now);
  } else {
    lease_.WriteFailed();
  }
}

// A node that lacks processor time makes all its decisions late, which no other log line shows.
void FleetState::LogLag(TimePoint now) {
  if (lag_.Mean() < kLagLogThreshold || now - lag_logged_at_ < kLagLogInterval) {
    return;
  }
  lag_logged_at_ = now;
  LogLine("control_late", Severity::kWarning)
      .With("mean_ms", lag_.Mean().count())
      .With("holds_lease", holds_lease_ ? "yes" : "no");
}

}  // namespace rudderloom
