// What the control state does about the lease: looks at it, takes, renews and gives it up.
#include <algorithm>  // for max

#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/base/spread.hpp"        // for SpreadOf
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

// Between two fresh reads, which cost ten times a stale one.
constexpr Duration kLeaseReadPause{150};
// Between two stale reads at the start, before anything is known.
constexpr Duration kLeaseFirstLooks{250};
// In times of what a node lets others take the lease first; only then it reads freshly. A node with
// 0.12 of a core waits 1.2 s, by which nodes with more have taken the lease and a stale read shows
// it.
constexpr int kStaleFirstYields = 4;
// At the first start of the whole system nodes with the same processor time begin to read freshly
// over this time: in a fleet of 295 alike, all of them tried to create the object.
constexpr Duration kStartSpread{1'000};
// Others than the holder look at the lease this often, at the price of a stale read.
constexpr Duration kLeaseLookEvery{1'000};
// So many nodes look at the lease at the full rate; more of them share it.
constexpr std::uint32_t kLookingNodes = 8;
// Without a word of the holder for so long, the lease is looked at more often.
constexpr Duration kDoubtAfter{700};
constexpr Duration kLeaseDoubtEvery{300};
// Standbys see each renewal, which comes each second, soon enough to be ahead of all others.
constexpr Duration kStandbyLookEvery{500};
// Nodes that know of standbys let these go first for so long.
constexpr Duration kYieldToStandbys{1'000};
// Nodes that are too slow for the lease let all others go first: even those that know of standbys
// have taken it by then, 0.5 to 0.7 s after it was given up as measured, 1.5 s at the most
// expected.
constexpr Duration kYieldOverloaded{2'000};
// Not measured: what slows a node down lasts for seconds, and nobody needs it back soon.
constexpr Duration kRestAfterResigning{10'000};
// Taking the lease over is more work than holding it: all engines' reports and all nodes' counts
// come at once. Also the least time between two handovers in a fleet that is short of time as a
// whole. Not measured.
constexpr Duration kHoldAtLeast{4'000};
// Half of what makes a holder resign.
constexpr Duration kLagLoggedFrom{100};
constexpr Duration kLogLagEvery{1'000};
constexpr Duration kLogIgnoredEvery{1'000};

}  // namespace

// The holder has not answered lately, or says that it can't renew its lease: whether it still does
// is looked at more often.
bool FleetState::DoubtsHolder(TimePoint now) const {
  return !holds_ && heard_ &&
         (heard_->digest.renewals_fail || now - heard_->made_at >= kDoubtAfter);
}

// Each look has its price: a few standbys look often, and all other nodes together about as often
// as a few would. Without standbys a fleet of 63 nodes took 5 s to find that its holder was cut off
// from the store; the ceiling of loads then left its models 10 s behind the demand.
Duration FleetState::LeaseLookPause(TimePoint now) const {
  const bool doubts = DoubtsHolder(now);
  if (heard_ && heard_->digest.standby) {
    return doubts ? kLeaseDoubtEvery : kStandbyLookEvery;
  }
  const Duration pause = doubts ? kLeaseDoubtEvery : kLeaseLookEvery;
  return pause * std::max(1U, live_nodes_ / kLookingNodes);
}

// A holder is judged by whether it renews, which a node does long after its other work is too late
// to be of use. One that was slowed 8 times beside 85 nodes ordered nothing for up to 10 s at a
// time, and took its own lapsed lease back before others were sure that they might have it.
bool FleetState::ShouldResign(TimePoint now) const {
  return holds_ && lag_.Overloaded() && now - held_since_ >= kHoldAtLeast &&
         !board_.Reporting(settings_.name, now).empty();
}

// No order may reach an endpoint after the lease was given up: the next holder waits only as long
// as an order may take that was sent in time.
void FleetState::MoveResignation(TimePoint now) {
  if (!resigning_ && ShouldResign(now)) {
    resigning_ = true;
    resigned_at_ = now;
    LogLine("lease_resigned", Severity::kWarning)
        .With("epoch", lease_.Epoch())
        .With("mean_lag_ms", lag_.Mean().count());
  }
  if (placement_.OrdersUnderWay()) {
    return;
  }
  if (stopping_) {
    lease_.Stop();
  }
  if (resigning_) {
    lease_.HandOver();
  }
}

// How long others may take a free lease before this node does.
Duration FleetState::LeaseYield(TimePoint now) const {
  const bool rests = resigned_at_ && now - *resigned_at_ < kRestAfterResigning;
  if (rests || lag_.Overloaded()) {
    return kYieldOverloaded;
  }
  return heard_ && !heard_->digest.standby ? kYieldToStandbys : Duration(0);
}

// After a restart clients may be waiting for what only a holder can order: no time is lost then.
Duration FleetState::FirstFreshRead() const {
  const Duration yields = kStaleFirstYields * YieldTime(settings_.processor_share);
  if (!settings_.first_start) {
    return yields;
  }
  return yields + std::chrono::duration_cast<Duration>(SpreadOf(settings_.name) * kStartSpread);
}

// At a start of the whole fleet all nodes would read the object freshly, try to create it and read
// it once more: 295 nodes made 880 calls. Most of them learn from a stale read, at a tenth of the
// price, who holds the lease: those with little processor time ask for more only when by then
// nobody does.
std::optional<LeaseRead> FleetState::LeaseReadDue(TimePoint now) {
  if (lease_reading_) {
    return std::nullopt;
  }
  if (!lease_.Known() && now - started_at_ < FirstFreshRead()) {
    return now - lease_read_at_ >= kLeaseFirstLooks ? std::optional(LeaseRead::kMayBeStale)
                                                    : std::nullopt;
  }
  if (lease_.NeedsRead() && now - lease_read_at_ >= kLeaseReadPause) {
    return LeaseRead::kFresh;
  }
  if (!lease_.Holds(now) && now - lease_read_at_ >= LeaseLookPause(now)) {
    return LeaseRead::kMayBeStale;
  }
  return std::nullopt;
}

// Reads and writes the lease's object when it is time to.
void FleetState::MoveLease(FleetEffects& effects, TimePoint now) {
  MoveResignation(now);
  lease_.YieldFor(LeaseYield(now));
  if (holds_) {
    // Every write names all that was ordered up to now.
    const OrderAnnouncements& announcements = placement_.Announcements();
    lease_.Announce(announcements.Own(now), announcements.Inherited(now),
                    announcements.InheritedAll(now));
  }
  effects.lease_read = LeaseReadDue(now);
  if (effects.lease_read) {
    lease_reading_ = true;
    lease_read_at_ = now;
  }
  effects.lease_write = lease_.NextWrite(now);
  effects.released = stopping_ && lease_.Released();
  if (lease_.HolderAddress() != known_holder_) {
    known_holder_ = lease_.HolderAddress();
    upstream_.HolderSeen(known_holder_, lease_.Epoch());
    LogLine("holder_seen").With("holder", known_holder_).With("epoch", lease_.Epoch());
  }
  resigning_ = resigning_ && !lease_.Released();
  const bool holds = lease_.Holds(now) && !resigning_ && !stopping_;
  if (holds && holds_ && lease_.Epoch() != held_epoch_) {
    GoOnHolding(effects, now);
  }
  if (holds == holds_) {
    return;
  }
  holds_ = holds;
  ChangedForTraffic();
  if (!holds) {
    limits_.End();
  } else {
    FormerLease former = lease_.Former();
    if (lease_.Epoch() == held_epoch_) {
      former.who = FormerHolder::kThisProcess;
    }
    placement_.Reset(former, now);
    held_epoch_ = lease_.Epoch();
    held_since_ = now;
    roster_.reset();
    BeginBalances(lease_.Former(), now);
    BeginQuarantine(lease_.Former(), now);
    limits_.Begin(held_epoch_);
  }
  effects.statement = MakeStatement(now);
  LogLine(holds ? "lease_taken" : "lease_lost").With("epoch", lease_.Epoch());
}

// The store has come back from an older copy, and this holder has taken its lease anew.
void FleetState::GoOnHolding(FleetEffects& effects, TimePoint now) {
  placement_.GoOn(lease_.Former(), now);
  held_epoch_ = lease_.Epoch();
  limits_.Begin(held_epoch_);
  effects.statement = MakeStatement(now);
  LogLine("lease_taken_anew").With("epoch", lease_.Epoch());
}

// Orders are sent only to endpoints that the lease's record names, so it must name them first.
void FleetState::AnnounceOrders(FleetEffects& effects, TimePoint now) {
  if (!holds_ || effects.lease_write) {
    return;
  }
  const OrderAnnouncements& announcements = placement_.Announcements();
  lease_.Announce(announcements.Own(now), announcements.Inherited(now),
                  announcements.InheritedAll(now));
  effects.lease_write = lease_.NextWrite(now);
}

void FleetState::On(const fleet_message::LeaseSeen& seen, TimePoint now) {
  lease_reading_ = false;
  NoteEra(seen.version.Era());
  const bool taken = lease_.Seen(seen.record, seen.version, seen.fresh, now);
  if (taken || !seen.record || now - lease_ignored_logged_at_ < kLogIgnoredEvery) {
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

void FleetState::On(const fleet_message::LeaseUnread&, TimePoint now) {
  lease_reading_ = false;
  lease_.Unread(now);
}

void FleetState::On(const fleet_message::LeaseWritten& written, TimePoint now) {
  if (written.version) {
    lease_.Written(*written.version, now);
  } else {
    lease_.WriteFailed();
  }
}

// A node that is short of processor time decides late on everything, which no other line shows.
void FleetState::LogLag(TimePoint now) {
  if (lag_.Mean() < kLagLoggedFrom || now - lag_logged_at_ < kLogLagEvery) {
    return;
  }
  lag_logged_at_ = now;
  LogLine("control_late", Severity::kWarning)
      .With("mean_ms", lag_.Mean().count())
      .With("holds_lease", holds_ ? "yes" : "no");
}

}  // namespace rudderloom
