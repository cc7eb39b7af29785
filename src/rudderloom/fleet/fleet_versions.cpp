// Software versions that have served lately, which streams may have begun at.
#include <algorithm>  // for any_of
#include <utility>    // for exchange, move

#include "rudderloom/base/log_line.hpp"                  // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"              // for FleetState
#include "rudderloom/stream_versions/moved_streams.hpp"  // for FindMovedStreams

namespace rudderloom {

namespace {

// Also how often others learn that this node still holds its lease.
constexpr Duration kObserveInterval{200};
// A process that did not run for longer may have missed a version.
constexpr Duration kMaxUnobserved{2'000};
// After this time a node has seen by itself all versions that streams may have begun at.
constexpr Duration kFullHistory{60'000};
// A version at which no stream could begin for longer is settled anew by the lease holder. Longer
// than a holder that can't reach the store keeps its lease, as its list of endpoints may be old.
constexpr Duration kMaxAbsence{3'000};

// Stands for versions of a service that may have served unseen.
constexpr const char* kUnknownVersion = "?";

// Where what no node knows speaks for one version, starts at the others must be known.
VersionsByService SettledVersions(VersionsByService recorded, const VersionOfService& unrecorded) {
  for (const auto& [service, version] : unrecorded) {
    recorded[service] = {version};
  }
  return recorded;
}

VersionsByService SettledVersionsOf(const LeaseRecord& record) {
  return SettledVersions(record.software_versions.value_or(VersionsByService()),
                         record.unrecorded_versions.value_or(VersionOfService()));
}

}  // namespace

// A stream that began before the first lease record was written would look to a later holder as if
// it had never been.
void FleetState::UpdateStreamsMayBegin() {
  if (!streams_may_begin_ && (lease_.EverHeld() || told_settled_)) {
    streams_may_begin_ = true;
    MarkViewUrgent();
    LogLine("streams_may_begin").With("known_by", lease_.EverHeld() ? "lease_record" : "holder");
  }
}

void FleetState::UpdateVersions(FleetEffects& effects, TimePoint now) {
  UpdateStreamsMayBegin();
  AdoptRecordedVersions(now);
  if (!endpoints_known_ || (!ViewDue(now) && now - versions_observed_at_ < kObserveInterval)) {
    return;
  }
  // Nobody else has held the lease meanwhile if this node still holds it.
  const bool missed = now - versions_observed_at_ > kMaxUnobserved && !lease_.Holds(now);
  if (!versions_watched_since_) {
    versions_watched_since_ = now;
  } else if (missed) {
    versions_watched_since_ = now;
    knows_version_history_ = false;
    told_settled_ = false;
    read_settled_ = false;
    settled_versions_.clear();
  }
  versions_observed_at_ = now;
  VersionsByService present;
  VersionsByService beginning;
  for (const auto& [instance, known] : directory_.Endpoints()) {
    present[known.record.service].insert(known.record.software_version);
    if (!known.record.leaving) {
      beginning[known.record.service].insert(known.record.software_version);
    }
  }
  CountUnlistedServices(present, now);
  versions_.Observe(present, now);
  beginning_versions_.Observe(beginning, now);
  knows_version_history_ = knows_version_history_ || now - *versions_watched_since_ >= kFullHistory;
  VersionKnowledge knowledge;
  knowledge.lately = versions_.Lately();
  for (const auto& [service, versions] : adopted_versions_) {
    knowledge.lately[service].insert(versions.begin(), versions.end());
  }
  knowledge.knows_history = knows_version_history_;
  if (holds_lease_) {
    knowledge.held_until = lease_.ExclusiveUntil();
    knowledge.epoch = lease_.Epoch();
  }
  UpdateUnrecordedVersions(beginning, now);
  UpdateSettledVersions(beginning, now);
  knowledge.recorded = RecordedVersions();
  knowledge.unrecorded = unrecorded_versions_.Current();
  knowledge.settled = settled_versions_;
  knowledge.saves_while_stopping = stopping_ && !holds_lease_ && held_epoch_ != 0 &&
                                   lease_.HolderAddress() == settings_.listen.peers;
  if (knowledge.lately != version_knowledge_.lately ||
      knowledge.knows_history != version_knowledge_.knows_history ||
      knowledge.settled != version_knowledge_.settled) {
    MarkViewUrgent();
  }
  if (holds_lease_ && knows_version_history_) {
    lease_.SetSoftwareVersions(knowledge.lately);
  }
  version_knowledge_ = knowledge;
  effects.versions = std::move(knowledge);
}

// A node that has heard of no holder goes by the lease record: a version that has gone may have
// served until the node started. The record tells no times, so this lasts until a holder tells
// them.
void FleetState::AdoptRecordedVersions(TimePoint now) {
  const LeaseRecord* record = lease_.Record();
  if (knows_version_history_) {
    adopted_versions_.clear();
    return;
  }
  if (told_settled_ || holds_lease_ || record == nullptr || record->holder.empty()) {
    return;
  }
  if (!std::exchange(read_settled_, true)) {
    beginning_versions_.Restore(SettledVersionsOf(*record), now);
  }
  adopted_versions_ = record->software_versions.value_or(VersionsByService());
}

// Streams may have begun at a service that the former holder did not list, at any version, also if
// none of its endpoints serves when the lease is taken.
void FleetState::CountUnlistedServices(const VersionsByService& present, TimePoint now) {
  if (!inherited_versions_) {
    return;
  }
  for (const auto& [service, versions] : present) {
    const bool is_unlisted = inherited_versions_->try_emplace(service).second;
    if (is_unlisted) {
      versions_.Restore({{service, {kUnknownVersion}}}, now);
    }
  }
  if (now - held_since_ >= kFullHistory) {
    inherited_versions_.reset();
  }
}

VersionsByService FleetState::RecordedVersions() const {
  const LeaseRecord* record = holds_lease_ ? lease_.Record() : nullptr;
  return record != nullptr ? record->software_versions.value_or(VersionsByService())
                           : VersionsByService();
}

bool FleetState::AllConfirmStarts(TimePoint now) {
  const auto nodes = board_.ReportingNodes(settings_.name, now);
  if (std::any_of(nodes.begin(), nodes.end(),
                  [](const ReportingNode& node) { return !node.confirms_starts; })) {
    unconfirming_seen_at_ = now;
  }
  return !unconfirming_seen_at_ || now - *unconfirming_seen_at_ >= kFullHistory;
}

void FleetState::UpdateUnrecordedVersions(const VersionsByService& beginning, TimePoint now) {
  if (!holds_lease_ || !lease_.Holds(now)) {
    unrecorded_versions_.Clear();
    return;
  }
  const bool all_confirm = AllConfirmStarts(now);
  if (!all_confirm || !knows_version_history_) {
    unrecorded_versions_.Clear();
  } else {
    unrecorded_versions_.Update({RecordedVersions(), beginning, versions_.Lately()}, now);
  }
  lease_.SetUnrecordedVersions(all_confirm ? std::optional(unrecorded_versions_.Current())
                                           : std::nullopt);
}

// What a lease holder has told stays valid for a version as long as streams may begin at it, and
// some time longer. A node that has heard of no holder goes by the lease record.
void FleetState::UpdateSettledVersions(const VersionsByService& beginning, TimePoint now) {
  const LeaseRecord* record = lease_.Record();
  if (holds_lease_ && knows_version_history_ && record == nullptr) {
    // The versions told so far stay valid until this holder has written its record again.
    told_settled_ = true;
  } else if (holds_lease_) {
    // Without a history, what no node knows proves nothing, and nothing needs to be known.
    settled_versions_ = knows_version_history_
                            ? SettledVersions(RecordedVersions(), unrecorded_versions_.Current())
                            : beginning;
    told_settled_ = true;
  } else if (!told_settled_ && record != nullptr) {
    settled_versions_ = record->holder.empty() ? beginning : SettledVersionsOf(*record);
  }
  settled_versions_ =
      CommonVersions(settled_versions_, beginning_versions_.Within(kMaxAbsence, now));
}

// Called when the lease is taken.
void FleetState::RestoreVersions(const FormerLease& lease, TimePoint now) {
  adopted_versions_.clear();
  unrecorded_versions_.Begin(lease.software_versions.value_or(VersionsByService()), now);
  if (!lease.confirms_starts) {
    unconfirming_seen_at_ = now;
  }
  if (lease.software_versions) {
    if (!lease.never_held) {
      inherited_versions_ = lease.software_versions;
    }
    versions_.Restore(*lease.software_versions, now);
    knows_version_history_ = true;
  }
  LogLine("versions_restored")
      .With("known_by", lease.software_versions ? "lease_record" : "own")
      .With("complete", knows_version_history_ ? "yes" : "no");
}

void FleetState::ApplyVersions(const HolderDigest& digest, TimePoint now) {
  if (digest.settled_versions) {
    settled_versions_ = *digest.settled_versions;
    beginning_versions_.Restore(settled_versions_, now - digest.age);
    told_settled_ = true;
  } else if (digest.is_authoritative) {
    // A holder of an earlier version confirms nothing.
    settled_versions_ = beginning_versions_.Within(kMaxAbsence, now);
    told_settled_ = true;
  }
  if (!digest.software_versions) {
    return;
  }
  versions_.Merge(*digest.software_versions, now - digest.age);
  adopted_versions_.clear();
  knows_version_history_ = true;
}

// Streams that began at a service may be taken up at the one that their route names now.
void FleetState::AddVersionsOfMovedStreams(const RouteTable& former, TimePoint now) {
  const VersionsByService lately = versions_.Lately();
  for (const MovedStreams& moved : FindMovedStreams(former, *routes_.Get().Current())) {
    if (const auto found = lately.find(moved.from); found != lately.end()) {
      versions_.Restore({{moved.to, found->second}}, now);
      unrecorded_versions_.Exclude(moved.to);
    }
  }
}

}  // namespace rudderloom
