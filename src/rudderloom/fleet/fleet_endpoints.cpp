// The control state's view of the endpoints, from the store or from the lease holder.
#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

constexpr Duration kIgnoredLogInterval{1'000};

std::string_view NameOf(EndpointOrigin origin) {
  return origin == EndpointOrigin::kStore ? "store" : "holder";
}

EndpointRecord WithoutModels(EndpointRecord record) {
  record.includes_models = false;
  record.orders_taken = 0;
  record.models.clear();
  return record;
}

// Each order changes the models of an entry. When such entries were sent to every other node in
// addition to the changes of the models to serve, they made up a large part of the holder's answers
// while models were moved.
EndpointChanges WithoutModels(EndpointChanges changes) {
  for (auto& [instance, record] : changes.values) {
    record = WithoutModels(std::move(record));
  }
  return changes;
}

}  // namespace

// A log that is already at a later revision ignores the changes.
void FleetState::ApplyEndpointChanges(const EndpointChanges& changes,
                                      EndpointOrigin origin,
                                      TimePoint now) {
  if (changes.version != StoreRevision()) {
    NoteEra(changes.version.Era());
  }
  const ListKind kind = ListKindOf(changes.version);
  if (!(endpoints_known_ || changes.whole) ||
      !endpoint_log_.Change().Apply(WithoutModels(changes))) {
    return;
  }
  if (changes.whole) {
    std::vector<EndpointRecord> records;
    for (const auto& [instance, record] : changes.values) {
      records.push_back(record);
    }
    ApplyEndpointList(records, kind, origin, now);
    return;
  }
  for (const auto& [instance, record] : changes.values) {
    ApplyEndpointRecord(record, origin);
  }
  for (const std::string& instance : changes.gone) {
    ApplyEndpointRemoval(instance, origin, now);
  }
}

// The first list of a later era comes from the backup that the store was restored from.
ListKind FleetState::ListKindOf(const StoreRevision& revision) const {
  const bool later = revision.Era() > endpoint_log_.Get().Version().Era();
  return endpoints_known_ && later ? ListKind::kFromBackup : ListKind::kUpToDate;
}

// Another node may learn of a later era first: this node's pending watches may never report it.
void FleetState::NoteEra(std::uint64_t era) {
  era_advanced_ = era_advanced_ || (store_era_ && era > *store_era_);
  if (!store_era_ || era > *store_era_) {
    store_era_ = era;
    era_unannounced_ = true;
  }
}

void FleetState::ApplyEndpointList(const std::vector<EndpointRecord>& records,
                                   ListKind kind,
                                   EndpointOrigin origin,
                                   TimePoint now) {
  directory_.ApplyList(records, kind, now);
  endpoints_known_ = true;
  MarkViewUrgent();
  LogLine("endpoints_listed")
      .With("count", records.size())
      .With("source", NameOf(origin))
      .With("restored", kind == ListKind::kFromBackup ? "yes" : "no")
      .With("revision", TextOf(endpoint_log_.Get().Version()));
}

void FleetState::On(const fleet_message::EndpointsChanged& changed, TimePoint now) {
  const StoreRevision& known = endpoint_log_.Get().Version();
  if (changed.changes.version < known) {
    LogEndpointsIgnored(changed.changes.version, now);
  }
  if (changed.changes.version.Era() == known.Era()) {
    endpoint_source_.Confirmed(now);
  }
  ApplyEndpointChanges(changed.changes, EndpointOrigin::kStore, now);
}

// The store's answer is older than what this node has since received from the store or the holder.
void FleetState::LogEndpointsIgnored(const StoreRevision& revision, TimePoint now) {
  if (now - endpoints_ignored_logged_at_ < kIgnoredLogInterval) {
    return;
  }
  endpoints_ignored_logged_at_ = now;
  LogLine("endpoints_ignored", Severity::kWarning)
      .With("revision", TextOf(revision))
      .With("known_revision", TextOf(endpoint_log_.Get().Version()));
}

void FleetState::On(const fleet_message::EndpointsListed& listed, TimePoint now) {
  const StoreRevision known = endpoint_log_.Get().Version();
  if (listed.revision.Era() >= known.Era()) {
    endpoint_source_.Confirmed(now);
  }
  if (listed.revision < known) {
    LogEndpointsIgnored(listed.revision, now);
    return;
  }
  NoteEra(listed.revision.Era());
  const ListKind kind = ListKindOf(listed.revision);
  std::map<std::string, EndpointRecord> by_instance;
  for (const EndpointRecord& record : listed.records) {
    by_instance.emplace(record.instance, WithoutModels(record));
  }
  endpoint_log_.Change().Replace(by_instance, listed.revision);
  ApplyEndpointList(listed.records, kind, EndpointOrigin::kStore, now);
}

void FleetState::ApplyEndpointRecord(const EndpointRecord& record, EndpointOrigin origin) {
  const auto found = directory_.Endpoints().find(record.instance);
  const bool news =
      found == directory_.Endpoints().end() || found->second.record.leaving != record.leaving;
  directory_.Put(record);
  view_changed_ = true;
  if (news) {
    MarkViewUrgent();
    LogLine("endpoint_changed")
        .With("endpoint", record.instance)
        .With("service", record.service)
        .With("address", record.address)
        .With("leaving", record.leaving ? "yes" : "no")
        .With("source", NameOf(origin));
  }
}

void FleetState::ApplyEndpointRemoval(const std::string& instance,
                                      EndpointOrigin origin,
                                      TimePoint now) {
  directory_.MarkUnlisted(instance, now);
  MarkViewUrgent();
  LogLine("endpoint_gone").With("endpoint", instance).With("source", NameOf(origin));
}

}  // namespace rudderloom
