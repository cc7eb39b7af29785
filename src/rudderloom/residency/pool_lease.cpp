// How the keeper of a pool reads, takes, renews and loses the pool's lease.
#include <algorithm>  // for min
#include <utility>    // for move

#include "rudderloom/base/log_line.hpp"          // for LogLine
#include "rudderloom/residency/pool_keeper.hpp"  // for PoolKeeper

namespace rudderloom {

namespace {

// The lease ends this much earlier for its holder than for everyone else.
constexpr Duration kLeaseMargin{500};

}  // namespace

void PoolKeeper::Seen(const PoolRecord& record,
                      const std::optional<StoreRevision>& version,
                      PoolSight sight,
                      TimePoint now) {
  reading_ = false;
  // A watch that is behind must not undo what is known to be written.
  const bool older = IsOlder(record);
  if (older && sight == PoolSight::kWatched) {
    return;
  }
  const bool first = !version_;
  const bool changed = first || record.epoch != stored_.epoch ||
                       record.renewals != stored_.renewals || version != version_;
  must_read_ = false;
  exists_ = version.has_value();
  version_ = version.value_or(StoreRevision());
  if (older) {
    TakeCopy(now);
    return;
  }
  if (!changed) {
    return;
  }
  changed_at_ = now;
  stored_ = record;
  if (!HeardBack(record) && holding_) {
    LoseLease();
  }
}

bool PoolKeeper::IsOlder(const PoolRecord& record) const {
  return record.epoch < stored_.epoch ||
         (record.epoch == stored_.epoch && record.renewals < stored_.renewals);
}

// What was written is still so, and the next write on the copy's version tells it again: else no
// write would ever succeed. A holder whose time is over may have had a successor whose record is
// gone, so it waits like everybody else.
void PoolKeeper::TakeCopy(TimePoint now) {
  changed_at_ = now;
  if (holding_ && !Holds(now)) {
    LoseLease();
  }
  LogLine("pool_record_lost", Severity::kWarning)
      .With("pool", pool_)
      .With("epoch", stored_.epoch)
      .With("renewals", stored_.renewals);
}

// True when the record is this holder's own; a write whose answer was lost is taken as done here.
bool PoolKeeper::HeardBack(const PoolRecord& record) {
  const bool ours =
      record.incarnation == incarnation_ && !record.holder.empty() && record.epoch == draft_.epoch;
  if (ours && record.renewals == draft_.renewals) {
    holding_ = true;
    renewed_at_ = write_started_;
    lease_until_ = write_started_ + settings_.lease - kLeaseMargin;
  }
  return ours;
}

void PoolKeeper::LoseLease() {
  holding_ = false;
  memories_.clear();
}

void PoolKeeper::Written(const StoreRevision& version, TimePoint now) {
  if (!writing_) {
    return;
  }
  stored_ = std::move(*writing_);
  writing_.reset();
  version_ = version;
  exists_ = true;
  changed_at_ = now;
  if (stored_.holder.empty()) {
    holding_ = false;
    return;
  }
  holding_ = true;
  renewed_at_ = write_started_;
  lease_until_ = write_started_ + settings_.lease - kLeaseMargin;
}

void PoolKeeper::WriteFailed(TimePoint) {
  writing_.reset();
  must_read_ = true;
}

void PoolKeeper::ReadFailed() {
  reading_ = false;
  must_read_ = true;
}

std::uint64_t PoolKeeper::QuietEpoch() const {
  std::uint64_t quiet = stored_.epoch;
  for (const auto& [key, order] : flights_) {
    quiet = std::min(quiet, order.epoch);
  }
  return quiet;
}

void PoolKeeper::TryTakeOver(PoolEffects& effects, TimePoint now) {
  const bool free = !exists_ || stored_.holder.empty();
  const Duration patience =
      free ? takeover_spread_ / 4 : settings_.lease + kLeaseMargin + takeover_spread_;
  if (stopping_ || now - changed_at_ < patience) {
    return;
  }
  TakeOverDraft();
  WriteDraft(effects, now);
}

void PoolKeeper::TakeOverDraft() {
  draft_ = stored_;
  draft_.holder = node_;
  draft_.incarnation = incarnation_;
  ++draft_.epoch;
  // Orders that the former holder intended are issued anew under the new epoch. Its own sends
  // may still arrive, so it stays among the senders.
  for (auto& [key, reservation] : draft_.reservations) {
    if (reservation.state == UnitState::kLoading || reservation.state == UnitState::kUnloading) {
      Intend(reservation, reservation.state);
    }
  }
}

void PoolKeeper::WriteDraft(PoolEffects& effects, TimePoint now) {
  ++draft_.renewals;
  writing_ = draft_;
  write_started_ = now;
  effects.push_back(WritePool{pool_, draft_, *version_});
}

}  // namespace rudderloom
