#include "rudderloom/placement/lease_keeper.hpp"

#include <algorithm>   // for includes, max, min
#include <functional>  // for hash
#include <tuple>       // for tie

namespace rudderloom {

namespace {

constexpr std::size_t kMaxWriteStarts = 16;
// Maximum delay, derived from the address, so that nodes don't all try at the same time.
constexpr Duration::rep kMaxJitterMilliseconds = 200;
// A node with a whole core does not yield. A node with less waits this many milliseconds times (1 /
// processor share - 1). The value keeps the delays of nodes with 0.5 and 0.12 of a core (40 and 293
// ms) apart, including jitter.
constexpr double kYieldMillisecondsPerCore = 40.0;
constexpr Duration kMaxYield{400};
// An order may still be connecting when its holder's lease expires.
constexpr Duration kConnectMargin{500};
// How late a renewal may be before its holder is considered gone.
constexpr Duration kRenewalSlack{500};
constexpr Duration kMinAnnouncementInterval{30};
// The upper bits of an epoch are the store's era, so that a later era never reissues an epoch,
// whatever the store has lost. The shift allows 2^20 holders per era, and 4,096 eras where epochs
// are shifted by another 32 bits.
constexpr unsigned kEraShift = 20;
// A renewal normally takes a few milliseconds; after this delay it is considered failing.
constexpr Duration kRenewalOverdueAfter{250};

bool IsOlder(const LeaseRecord& left, const LeaseRecord& right) {
  return std::tie(left.epoch, left.renewals) < std::tie(right.epoch, right.renewals);
}

// True if `recorded` has all of `wanted`.
bool CoversVersions(const std::optional<VersionsByService>& recorded,
                    const std::optional<VersionsByService>& wanted) {
  if (!recorded || !wanted) {
    return !wanted;
  }
  return std::all_of(wanted->begin(), wanted->end(), [&](const auto& of_service) {
    const auto found = recorded->find(of_service.first);
    return found != recorded->end() &&
           std::includes(found->second.begin(), found->second.end(), of_service.second.begin(),
                         of_service.second.end());
  });
}

}  // namespace

Duration YieldTime(double processor_share) {
  const double slowness = std::max(0.0, 1.0 / processor_share - 1.0);
  return std::min(kMaxYield,
                  Duration(static_cast<Duration::rep>(kYieldMillisecondsPerCore * slowness)));
}

LeaseKeeper::LeaseKeeper(std::string address,
                         std::string incarnation,
                         Duration bound,
                         Duration yield,
                         LeaseStart start)
    : address_(std::move(address)),
      incarnation_(std::move(incarnation)),
      valid_for_(bound * 5 / 6),
      renew_every_(bound / 3),
      bound_(bound),
      yield_(yield),
      first_start_(start == LeaseStart::kFirst) {
  const auto jitter = static_cast<Duration::rep>(std::hash<std::string>{}(address_) %
                                                 static_cast<std::size_t>(kMaxJitterMilliseconds));
  renewal_timeout_ = renew_every_ + kRenewalSlack + yield + Duration(jitter);
  lost_record_timeout_ = valid_for_ + yield + Duration(jitter);
}

bool LeaseKeeper::IsOwnRecord(const LeaseRecord& record) const {
  return record.holder == address_ && record.incarnation == incarnation_;
}

// An answer may be older than what this process has since read or written. A fresh read that finds
// no object is trusted: the object was deleted.
bool LeaseKeeper::IsOutdated(const std::optional<LeaseRecord>& record,
                             const StoreRevision& version,
                             bool fresh) const {
  if (!version_ || version >= *version_) {
    return false;
  }
  if (version.Era() < version_->Era()) {
    return true;
  }
  return record ? version_certain_ || !fresh : !fresh;
}

bool LeaseKeeper::ApplyRead(const std::optional<LeaseRecord>& record,
                            const StoreRevision& version,
                            bool fresh,
                            TimePoint now) {
  if (!record && !fresh && version_ != version) {
    HandleStaleMiss(version, now);
    return true;
  }
  if (IsOutdated(record, version, fresh)) {
    return false;
  }
  // Any read may identify the holder; the lease is acquired only after a fresh read.
  const bool first_read = !version_ && record.has_value();
  needs_read_ = needs_read_ && !fresh && !first_read;
  if (version_ == version) {
    last_seen_ = now;
    read_fresh_at_ = fresh ? now : read_fresh_at_;
    version_certain_ = version_certain_ || fresh;
    return true;
  }
  const bool same_era = version_ && version_->Era() == version.Era();
  const bool changed_in_era = same_era && version > *version_;
  // A holder writes only on the basis of a fresh read.
  needs_read_ = needs_read_ || (holding_ && !same_era && !fresh);
  version_ = version;
  version_certain_ = fresh;
  first_seen_ = now;
  last_seen_ = now;
  read_fresh_at_ = fresh ? now : TimePoint();
  ApplyRecord(record.value_or(LeaseRecord()), changed_in_era);
  handing_over_ = handing_over_ && holding_;
  return true;
}

// The read may predate the object. If it is from a later era, known writes may be lost.
void LeaseKeeper::HandleStaleMiss(const StoreRevision& version, TimePoint now) {
  needs_read_ = needs_read_ || (version_ && version.Era() > version_->Era());
  if (!holding_) {
    first_seen_ = now;
    last_seen_ = now;
  }
}

void LeaseKeeper::ApplyRecord(const LeaseRecord& record, bool changed_in_era) {
  const std::uint64_t era = version_->Era();
  first_start_ = first_start_ && record.holder.empty();
  // A record without an era was written in the current one if it was seen to change in it.
  const bool written_in_era = era == 0 || (record.era ? *record.era == era : changed_in_era);
  writes_may_be_lost_ = !written_in_era;
  if (writes_may_be_lost_) {
    ApplyOldRecord(record);
    return;
  }
  record_ = record;
  holding_ = IsOwnRecord(record) && !record.released;
  if (!holding_) {
    return;
  }
  // The write took effect although its answer was lost; its lease counts from the start of the
  // write.
  const auto started = write_starts_.find(record_.renewals);
  holding_ = started != write_starts_.end();
  if (holding_) {
    valid_until_ = started->second + valid_for_;
  }
}

// What this process knows of later writes remains valid. A restored copy neither starts nor extends
// its own lease.
void LeaseKeeper::ApplyOldRecord(const LeaseRecord& record) {
  if (IsOlder(record, record_)) {
    return;
  }
  record_ = record;
  holding_ = holding_ && IsOwnRecord(record) && !record.released;
}

void LeaseKeeper::OnReadFailed(TimePoint now) {
  if (!holding_) {
    first_seen_ = now;
    last_seen_ = now;
  }
}

void LeaseKeeper::Announce(OrderScopes own, OrderScopes inherited, bool inherited_all) {
  wanted_own_ = std::move(own);
  wanted_inherited_ = std::move(inherited);
  wanted_inherited_all_ = inherited_all;
}

OrderScopes LeaseKeeper::Announced() const {
  if (!holding_) {
    return {};
  }
  // Endpoints omitted by a write in progress may receive no more orders, because the write may have
  // taken effect.
  return pending_write_ ? Common(record_.own, pending_write_->record.own) : record_.own;
}

Duration LeaseKeeper::TakeoverDelay() const {
  return (writes_may_be_lost_ ? std::max(lost_record_timeout_, renewal_timeout_)
                              : renewal_timeout_) +
         extra_yield_;
}

bool LeaseKeeper::IsFree() const {
  // An earlier process on this machine counts as the same holder.
  return !writes_may_be_lost_ &&
         (record_.holder.empty() || record_.holder == address_ || record_.released);
}

bool LeaseKeeper::LooksAvailable() const {
  if (holding_ || !version_) {
    return false;
  }
  return IsFree() || last_seen_ - first_seen_ >= TakeoverDelay();
}

bool LeaseKeeper::AvailabilityConfirmed() const {
  if (IsFree()) {
    return read_fresh_at_ != TimePoint();
  }
  return read_fresh_at_ >= first_seen_ + TakeoverDelay();
}

bool LeaseKeeper::YieldElapsed(TimePoint now) const {
  if (record_.holder.empty()) {
    return now - first_seen_ >= yield_;
  }
  return !record_.released || now - first_seen_ >= yield_ + extra_yield_;
}

bool LeaseKeeper::MustWrite(TimePoint now) const {
  if (writes_may_be_lost_ || IsReleasing() || now >= valid_until_ - valid_for_ + renew_every_) {
    return true;
  }
  return now - write_started_at_ >= kMinAnnouncementInterval && !RecordComplete();
}

bool LeaseKeeper::RecordComplete() const {
  return CoversAll(record_.own, wanted_own_) &&
         std::includes(record_.quarantined.begin(), record_.quarantined.end(), quarantined_.begin(),
                       quarantined_.end()) &&
         CoversVersions(record_.software_versions, software_versions_);
}

bool LeaseKeeper::IsRenewalOverdue(TimePoint now) const {
  return Holds(now) && now >= valid_until_ - valid_for_ + renew_every_ + kRenewalOverdueAfter;
}

TimePoint LeaseKeeper::ExclusiveUntil() const {
  return std::min(valid_until_, valid_until_ - valid_for_ + renew_every_ + kRenewalSlack);
}

std::uint64_t LeaseKeeper::NextEpoch() const {
  const std::uint64_t first_of_era = (version_->Era() << kEraShift) + 1;
  return std::max(record_.epoch + 1, first_of_era);
}

FormerLease LeaseKeeper::FormerLeaseOf(const LeaseRecord& record) const {
  FormerLease former;
  // If the record may be lost, this node has already waited until its lease expired. A holder that
  // avoided all endpoints may have released the lease early.
  const bool lease_expired = writes_may_be_lost_ || (record.released && !record.inherited_all);
  former.blocked_for = bound_ + kConnectMargin + (lease_expired ? Duration(0) : valid_for_);
  former.inherited = record.inherited;
  former.inherited_all =
      record.inherited_all || writes_may_be_lost_ || (!record.era && version_->Era() > 0);
  former.low_balances = record.low_balances;
  former.quarantined = record.quarantined;
  if (record.holder.empty()) {
    // A missing record alone proves nothing: the store may have lost it, or never taken a write.
    former.never_held = first_start_ && version_->Era() == 0;
    if (former.never_held) {
      former.software_versions.emplace();
      former.confirms_starts = true;
    }
    return former;
  }
  if (!writes_may_be_lost_) {
    former.software_versions = record.software_versions;
    former.confirms_starts = record.unrecorded_versions.has_value();
  }
  // If writes may be lost, others may have held the lease after this machine and sent orders to
  // endpoints it had announced.
  if (record.holder == address_ && !writes_may_be_lost_) {
    former.former_holder = FormerHolder::kThisNode;
    former.own = record.own;
    return former;
  }
  former.former_holder = FormerHolder::kOtherNode;
  former.inherited = Union(record.inherited, record.own);
  return former;
}

LeaseWrite LeaseKeeper::Renewal() const {
  LeaseWrite write{record_, *version_};
  ++write.record.renewals;
  write.record.released = IsReleasing();
  write.record.own = wanted_own_;
  write.record.inherited = wanted_inherited_;
  write.record.low_balances = low_balances_;
  write.record.quarantined = quarantined_;
  write.record.software_versions = software_versions_;
  write.record.unrecorded_versions = unrecorded_versions_;
  write.record.era = version_->Era();
  write.record.inherited_all = wanted_inherited_all_;
  return write;
}

// Continues to hold the lease under a token of the new era. An unknown later holder may have sent
// orders to any endpoint except those that this holder announced, and may hold its lease for a full
// lease duration.
LeaseWrite LeaseKeeper::Reacquire() {
  former_ = FormerLease();
  former_.former_holder = FormerHolder::kThisProcess;
  former_.inherited_all = true;
  former_.blocked_for = valid_for_ + bound_ + kConnectMargin;
  wanted_inherited_all_ = true;
  LeaseWrite write = Renewal();
  write.record.epoch = NextEpoch();
  return write;
}

LeaseWrite LeaseKeeper::TakeOver() {
  former_ = FormerLeaseOf(record_);
  wanted_own_ = former_.own;
  wanted_inherited_ = former_.inherited;
  wanted_inherited_all_ = former_.inherited_all;
  low_balances_ = former_.low_balances;
  quarantined_ = former_.quarantined;
  software_versions_ = former_.software_versions;
  unrecorded_versions_.reset();
  if (former_.confirms_starts) {
    unrecorded_versions_.emplace();
  }
  LeaseRecord record;
  record.holder = address_;
  record.incarnation = incarnation_;
  record.epoch = NextEpoch();
  record.renewals = 1;
  record.own = wanted_own_;
  record.inherited = wanted_inherited_;
  record.low_balances = low_balances_;
  record.quarantined = quarantined_;
  record.software_versions = software_versions_;
  record.unrecorded_versions = unrecorded_versions_;
  record.era = version_->Era();
  record.inherited_all = wanted_inherited_all_;
  write_starts_.clear();
  return {std::move(record), *version_};
}

std::optional<LeaseWrite> LeaseKeeper::NextWrite(TimePoint now) {
  if (pending_write_ || needs_read_ || !version_) {
    return std::nullopt;
  }
  // The write condition does not protect against writes lost in the restore, so an expired lease is
  // given up.
  if (holding_ && writes_may_be_lost_ && now >= valid_until_) {
    holding_ = false;
    handing_over_ = false;
  }
  if (holding_ && !MustWrite(now)) {
    return std::nullopt;
  }
  if (!holding_ &&
      (stopping_ || !LooksAvailable() || !AvailabilityConfirmed() || !YieldElapsed(now))) {
    return std::nullopt;
  }
  if (holding_) {
    pending_write_ = writes_may_be_lost_ ? Reacquire() : Renewal();
  } else {
    pending_write_ = TakeOver();
  }
  write_started_at_ = now;
  write_starts_[pending_write_->record.renewals] = now;
  while (write_starts_.size() > kMaxWriteStarts) {
    write_starts_.erase(write_starts_.begin());
  }
  return pending_write_;
}

void LeaseKeeper::OnWriteSucceeded(const StoreRevision& version, TimePoint now) {
  if (!pending_write_) {
    return;
  }
  // The store was restored in the meantime and has reissued the revision, so the write condition
  // matched a different object.
  const bool same_era =
      version.Era() == pending_write_->version.Era() && version.Era() == version_->Era();
  if (!same_era) {
    WriteFailed();
    return;
  }
  record_ = pending_write_->record;
  first_start_ = false;
  version_ = version;
  version_certain_ = true;
  writes_may_be_lost_ = false;
  first_seen_ = now;
  pending_write_.reset();
  holding_ = !record_.released;
  handing_over_ = handing_over_ && holding_;
  valid_until_ = write_starts_[record_.renewals] + valid_for_;
}

void LeaseKeeper::WriteFailed() {
  // The write may have taken effect: until that is known, only endpoints listed in both versions
  // may receive orders.
  if (pending_write_ && holding_) {
    record_.own = Common(record_.own, pending_write_->record.own);
  }
  pending_write_.reset();
  needs_read_ = true;
}

}  // namespace rudderloom
