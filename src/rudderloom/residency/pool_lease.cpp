// Lease handling of the pool keeper: reading, acquiring, renewing and losing the lease.
#include <algorithm>  // for min
#include <utility>    // for move

#include "rudderloom/base/log_line.hpp"          // for LogLine
#include "rudderloom/residency/pool_keeper.hpp"  // for PoolKeeper

namespace rudderloom {

namespace {

// The holder considers its lease expired this much earlier than all other nodes do.
constexpr Duration kLeaseMargin{500};

}  // namespace

void PoolKeeper::ApplyRead(const PoolRecord& record,
                           const std::optional<StoreRevision>& version,
                           PoolReadKind sight,
                           TimePoint now) {
  reading_ = false;
  // An outdated watch must not undo a known write.
  const bool older = IsOlder(record);
  if (older && sight == PoolReadKind::kWatched) {
    return;
  }
  const bool first = !version_;
  const bool changed = first || record.epoch != stored_.epoch ||
                       record.renewals != stored_.renewals || version != version_;
  must_read_ = false;
  exists_ = version.has_value();
  version_ = version.value_or(StoreRevision());
  if (older) {
    HandleRestoredCopy(now);
    return;
  }
  if (!changed) {
    return;
  }
  changed_at_ = now;
  stored_ = record;
  if (!ConfirmOwnRecord(record) && holding_) {
    LoseLease();
  }
}

bool PoolKeeper::IsOlder(const PoolRecord& record) const {
  return record.epoch < stored_.epoch ||
         (record.epoch == stored_.epoch && record.renewals < stored_.renewals);
}

// The written state remains valid, and the next write, conditional on the copy's revision, restores
// it; otherwise no write would ever succeed. A holder whose lease has expired may have had a
// successor whose record is lost, so it waits like every other node.
void PoolKeeper::HandleRestoredCopy(TimePoint now) {
  changed_at_ = now;
  if (holding_ && !Holds(now)) {
    LoseLease();
  }
  LogLine("pool_record_lost", Severity::kWarning)
      .With("pool", pool_)
      .With("epoch", stored_.epoch)
      .With("renewals", stored_.renewals);
}

// True if the record is this holder's own. A write whose answer was lost is treated as successful
// here.
bool PoolKeeper::ConfirmOwnRecord(const PoolRecord& record) {
  const bool is_own_record =
      record.incarnation == incarnation_ && !record.holder.empty() && record.epoch == draft_.epoch;
  if (is_own_record && record.renewals == draft_.renewals) {
    holding_ = true;
    renewed_at_ = write_started_;
    lease_until_ = write_started_ + settings_.lease - kLeaseMargin;
  }
  return is_own_record;
}

void PoolKeeper::LoseLease() {
  holding_ = false;
  send_states_.clear();
}

void PoolKeeper::OnWriteSucceeded(const StoreRevision& version, TimePoint now) {
  if (!pending_write_) {
    return;
  }
  stored_ = std::move(*pending_write_);
  pending_write_.reset();
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
  pending_write_.reset();
  must_read_ = true;
}

void PoolKeeper::ReadFailed() {
  reading_ = false;
  must_read_ = true;
}

std::uint64_t PoolKeeper::OldestOrderEpoch() const {
  std::uint64_t quiet = stored_.epoch;
  for (const auto& [key, order] : orders_in_flight_) {
    quiet = std::min(quiet, order.epoch);
  }
  return quiet;
}

void PoolKeeper::TryTakeOver(PoolEffects& effects, TimePoint now) {
  const bool free = !exists_ || stored_.holder.empty();
  const Duration takeover_delay =
      free ? takeover_jitter_ / 4 : settings_.lease + kLeaseMargin + takeover_jitter_;
  if (stopping_ || now - changed_at_ < takeover_delay) {
    return;
  }
  PrepareTakeover();
  WriteDraft(effects, now);
}

void PoolKeeper::PrepareTakeover() {
  draft_ = stored_;
  draft_.holder = node_;
  draft_.incarnation = incarnation_;
  ++draft_.epoch;
  // Orders recorded by the former holder are reissued under the new epoch. Its own orders may still
  // arrive, so it remains among the senders.
  for (auto& [key, reservation] : draft_.reservations) {
    if (reservation.state == UnitState::kLoading || reservation.state == UnitState::kUnloading) {
      RecordIntent(reservation, reservation.state);
    }
  }
}

void PoolKeeper::WriteDraft(PoolEffects& effects, TimePoint now) {
  ++draft_.renewals;
  pending_write_ = draft_;
  write_started_ = now;
  effects.push_back(WritePool{pool_, draft_, *version_});
}

}  // namespace rudderloom
