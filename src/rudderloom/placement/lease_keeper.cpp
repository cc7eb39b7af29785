#include "rudderloom/placement/lease_keeper.hpp"

#include <algorithm>   // for includes, max, min
#include <functional>  // for hash
#include <tuple>       // for tie

namespace rudderloom {

namespace {

constexpr std::size_t kWriteStartsKept = 16;
// So that not all nodes try at one moment.
constexpr Duration::rep kSpreadMilliseconds = 200;
// A node with a whole core lets nobody go first; one with less waits this many milliseconds for
// each core's worth of time by which its work takes longer. Chosen so that the times of nodes with
// 0.5 and with 0.12 of a core (40 and 293) do not meet, spread included.
constexpr double kYieldOfOneCore = 40.0;
constexpr Duration kYieldMost{400};
// An order may still be connecting when its holder's time is over.
constexpr Duration kMargin{500};
// How much later than usual a renewal may come before its holder is given up.
constexpr Duration kRenewalSlack{500};
constexpr Duration kBetweenAnnouncements{30};
// The era of the store makes up the upper digits of an epoch: in a later era none is given out that
// was before, whatever the store has forgotten. Leaves room for as many holders in an era, and for
// 4,096 eras where epochs are shifted by another 32 bits.
constexpr unsigned kEraShift = 20;
// A renewal takes some milliseconds; after so long something is wrong with it.
constexpr Duration kRenewalLate{250};

bool IsOlder(const LeaseRecord& left, const LeaseRecord& right) {
  return std::tie(left.epoch, left.renewals) < std::tie(right.epoch, right.renewals);
}

}  // namespace

Duration YieldTime(double processor_share) {
  const double slowness = std::max(0.0, 1.0 / processor_share - 1.0);
  return std::min(kYieldMost, Duration(static_cast<Duration::rep>(kYieldOfOneCore * slowness)));
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
      store_is_new_(start == LeaseStart::kFirst) {
  const auto spread = static_cast<Duration::rep>(std::hash<std::string>{}(address_) %
                                                 static_cast<std::size_t>(kSpreadMilliseconds));
  suspect_after_ = renew_every_ + kRenewalSlack + yield + Duration(spread);
  lost_after_ = valid_for_ + yield + Duration(spread);
}

bool LeaseKeeper::IsMine(const LeaseRecord& record) const {
  return record.holder == address_ && record.incarnation == incarnation_;
}

// An answer may be older than what this process has read or written since it asked. That a fresh
// read finds no object is believed: somebody has deleted it.
bool LeaseKeeper::IsLate(const std::optional<LeaseRecord>& record,
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

bool LeaseKeeper::Seen(const std::optional<LeaseRecord>& record,
                       const StoreRevision& version,
                       bool fresh,
                       TimePoint now) {
  if (!record && !fresh && version_ != version) {
    MissedByStaleRead(version, now);
    return true;
  }
  if (IsLate(record, version, fresh)) {
    return false;
  }
  // Who holds the lease may be learned from any read: it is taken only after a fresh one.
  const bool first_sight = !version_ && record.has_value();
  needs_read_ = needs_read_ && !fresh && !first_sight;
  if (version_ == version) {
    last_seen_ = now;
    read_fresh_at_ = fresh ? now : read_fresh_at_;
    version_certain_ = version_certain_ || fresh;
    return true;
  }
  const bool same_era = version_ && version_->Era() == version.Era();
  const bool changed_in_era = same_era && version > *version_;
  store_is_new_ = store_is_new_ && (same_era || !version_);
  // A holder writes on what it has read freshly.
  needs_read_ = needs_read_ || (holding_ && !same_era && !fresh);
  version_ = version;
  version_certain_ = fresh;
  first_seen_ = now;
  last_seen_ = now;
  read_fresh_at_ = fresh ? now : TimePoint();
  Take(record.value_or(LeaseRecord()), changed_in_era);
  handing_over_ = handing_over_ && holding_;
  return true;
}

// It may just be older than the object; of a later era it tells that what is known may be gone.
void LeaseKeeper::MissedByStaleRead(const StoreRevision& version, TimePoint now) {
  needs_read_ = needs_read_ || (version_ && version.Era() > version_->Era());
  if (!holding_) {
    first_seen_ = now;
    last_seen_ = now;
  }
}

void LeaseKeeper::Take(const LeaseRecord& record, bool changed_in_era) {
  const std::uint64_t era = version_->Era();
  const bool none_yet = record.holder.empty() && store_is_new_;
  // A program that tells no era has written the record in this one if it was seen to change.
  const bool written_in_era =
      era == 0 || none_yet || (record.era ? *record.era == era : changed_in_era);
  may_lack_ = !written_in_era;
  if (may_lack_) {
    TakeCopy(record);
    return;
  }
  record_ = record;
  holding_ = IsMine(record) && !record.released;
  if (!holding_) {
    return;
  }
  // A write whose answer was lost took effect: its time counts from when it was begun.
  const auto started = write_starts_.find(record_.renewals);
  holding_ = started != write_starts_.end();
  if (holding_) {
    valid_until_ = started->second + valid_for_;
  }
}

// What this process knows of later writes is still so. Its own lease neither begins nor lasts
// longer for what a copy says.
void LeaseKeeper::TakeCopy(const LeaseRecord& record) {
  if (IsOlder(record, record_)) {
    return;
  }
  record_ = record;
  holding_ = holding_ && IsMine(record) && !record.released;
}

void LeaseKeeper::Unread(TimePoint now) {
  store_is_new_ = store_is_new_ && Known();
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
  // What a write under way leaves out may be ordered no more: it may have taken effect.
  return writing_ ? Common(record_.own, writing_->record.own) : record_.own;
}

Duration LeaseKeeper::Patience() const {
  return (may_lack_ ? std::max(lost_after_, suspect_after_) : suspect_after_) + more_yield_;
}

bool LeaseKeeper::IsFree() const {
  // An earlier process on this machine counts as the same holder.
  return !may_lack_ && (record_.holder.empty() || record_.holder == address_ || record_.released);
}

bool LeaseKeeper::Suspects() const {
  if (holding_ || !version_) {
    return false;
  }
  return IsFree() || last_seen_ - first_seen_ >= Patience();
}

bool LeaseKeeper::Confirmed() const {
  if (IsFree()) {
    return read_fresh_at_ != TimePoint();
  }
  return read_fresh_at_ >= first_seen_ + Patience();
}

bool LeaseKeeper::FreeForThisNode(TimePoint now) const {
  if (record_.holder.empty()) {
    return now - first_seen_ >= yield_;
  }
  return !record_.released || now - first_seen_ >= yield_ + more_yield_;
}

bool LeaseKeeper::MustWrite(TimePoint now) const {
  if (may_lack_ || GivesUp() || now >= valid_until_ - valid_for_ + renew_every_) {
    return true;
  }
  const bool tells_all = CoversAll(record_.own, wanted_own_) &&
                         std::includes(record_.quarantined.begin(), record_.quarantined.end(),
                                       quarantined_.begin(), quarantined_.end());
  return now - write_started_at_ >= kBetweenAnnouncements && !tells_all;
}

bool LeaseKeeper::RenewalsFail(TimePoint now) const {
  return Holds(now) && now >= valid_until_ - valid_for_ + renew_every_ + kRenewalLate;
}

std::uint64_t LeaseKeeper::NextEpoch() const {
  const std::uint64_t first_of_era = (version_->Era() << kEraShift) + 1;
  return std::max(record_.epoch + 1, first_of_era);
}

FormerLease LeaseKeeper::FormerOf(const LeaseRecord& record) const {
  FormerLease former;
  // Whose record may be gone has been waited for until its time was over; a holder that kept off
  // all endpoints may have given the lease up before.
  const bool time_is_over = may_lack_ || (record.released && !record.inherited_all);
  former.rest = bound_ + kMargin + (time_is_over ? Duration(0) : valid_for_);
  former.inherited = record.inherited;
  former.inherited_all = record.inherited_all || may_lack_ || (!record.era && version_->Era() > 0);
  former.low_balances = record.low_balances;
  former.quarantined = record.quarantined;
  if (record.holder.empty()) {
    return former;
  }
  // Others may have held the lease after this machine did, and ordered what it had announced.
  if (record.holder == address_ && !may_lack_) {
    former.who = FormerHolder::kThisNode;
    former.own = record.own;
    return former;
  }
  former.who = FormerHolder::kOtherNode;
  former.inherited = Union(record.inherited, record.own);
  return former;
}

LeaseWrite LeaseKeeper::Renewal() const {
  LeaseWrite write{record_, *version_};
  ++write.record.renewals;
  write.record.released = GivesUp();
  write.record.own = wanted_own_;
  write.record.inherited = wanted_inherited_;
  write.record.low_balances = low_balances_;
  write.record.quarantined = quarantined_;
  write.record.era = version_->Era();
  write.record.inherited_all = wanted_inherited_all_;
  return write;
}

// The holder goes on under a token of the new era. Another one, of which it had not heard yet, may
// have ordered any endpoint but those that it had announced itself, and be sure of its lease for as
// long as a lease lasts.
LeaseWrite LeaseKeeper::TakeAnew() {
  former_ = FormerLease();
  former_.who = FormerHolder::kThisProcess;
  former_.inherited_all = true;
  former_.rest = valid_for_ + bound_ + kMargin;
  wanted_inherited_all_ = true;
  LeaseWrite write = Renewal();
  write.record.epoch = NextEpoch();
  return write;
}

LeaseWrite LeaseKeeper::TakeOver() {
  former_ = FormerOf(record_);
  wanted_own_ = former_.own;
  wanted_inherited_ = former_.inherited;
  wanted_inherited_all_ = former_.inherited_all;
  low_balances_ = former_.low_balances;
  quarantined_ = former_.quarantined;
  LeaseRecord record;
  record.holder = address_;
  record.incarnation = incarnation_;
  record.epoch = NextEpoch();
  record.renewals = 1;
  record.own = wanted_own_;
  record.inherited = wanted_inherited_;
  record.low_balances = low_balances_;
  record.quarantined = quarantined_;
  record.era = version_->Era();
  record.inherited_all = wanted_inherited_all_;
  write_starts_.clear();
  return {std::move(record), *version_};
}

std::optional<LeaseWrite> LeaseKeeper::NextWrite(TimePoint now) {
  if (writing_ || needs_read_ || !version_) {
    return std::nullopt;
  }
  // Its condition tells nothing of what happened before the store came back.
  if (holding_ && may_lack_ && now >= valid_until_) {
    holding_ = false;
    handing_over_ = false;
  }
  if (holding_ && !MustWrite(now)) {
    return std::nullopt;
  }
  if (!holding_ && (stopping_ || !Suspects() || !Confirmed() || !FreeForThisNode(now))) {
    return std::nullopt;
  }
  if (holding_) {
    writing_ = may_lack_ ? TakeAnew() : Renewal();
  } else {
    writing_ = TakeOver();
  }
  write_started_at_ = now;
  write_starts_[writing_->record.renewals] = now;
  while (write_starts_.size() > kWriteStartsKept) {
    write_starts_.erase(write_starts_.begin());
  }
  return writing_;
}

void LeaseKeeper::Written(const StoreRevision& version, TimePoint now) {
  if (!writing_) {
    return;
  }
  // The store has come back in between and holds the object at a revision that it has given out
  // twice: the condition was one on something else.
  const bool same_era =
      version.Era() == writing_->version.Era() && version.Era() == version_->Era();
  if (!same_era) {
    WriteFailed();
    return;
  }
  record_ = writing_->record;
  version_ = version;
  version_certain_ = true;
  may_lack_ = false;
  first_seen_ = now;
  writing_.reset();
  holding_ = !record_.released;
  handing_over_ = handing_over_ && holding_;
  valid_until_ = write_starts_[record_.renewals] + valid_for_;
}

void LeaseKeeper::WriteFailed() {
  // It may have taken effect: only what both versions name may be ordered until that is known.
  if (writing_ && holding_) {
    record_.own = Common(record_.own, writing_->record.own);
  }
  writing_.reset();
  needs_read_ = true;
}

}  // namespace rudderloom
