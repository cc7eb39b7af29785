// What the control state believes of the endpoints, from the store or from the holder of the lease.
#include "rudderloom/base/log_line.hpp"      // for LogLine
#include "rudderloom/fleet/fleet_state.hpp"  // for FleetState

namespace rudderloom {

namespace {

constexpr Duration kLogIgnoredEvery{1'000};

std::string_view NameOf(EndpointTeller teller) {
  return teller == EndpointTeller::kStore ? "store" : "holder";
}

EndpointRecord WithoutModels(EndpointRecord record) {
  record.tells_models = false;
  record.orders_taken = 0;
  record.models.clear();
  return record;
}

// Each order changes an entry's models. Told to every other node beside the change of what may be
// served, such entries made up a good part of the holder's answers while models moved.
EndpointChanges WithoutModels(EndpointChanges changes) {
  for (auto& [instance, record] : changes.values) {
    record = WithoutModels(std::move(record));
  }
  return changes;
}

}  // namespace

// A log that is already further knows better than whoever told these changes.
void FleetState::TakeEndpoints(const EndpointChanges& changes,
                               EndpointTeller teller,
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
    TakeList(records, kind, teller, now);
    return;
  }
  for (const auto& [instance, record] : changes.values) {
    TakeRecord(record, teller);
  }
  for (const std::string& instance : changes.gone) {
    TakeGone(instance, teller, now);
  }
}

// The first list of a later era is of the copy that the store came back from.
ListKind FleetState::ListKindOf(const StoreRevision& revision) const {
  const bool later = revision.Era() > endpoint_log_.Get().Version().Era();
  return endpoints_known_ && later ? ListKind::kCopy : ListKind::kPresent;
}

// Another node may hear of a later era sooner: calls of this one that wait may not tell it.
void FleetState::NoteEra(std::uint64_t era) {
  era_rose_ = era_rose_ || (store_era_ && era > *store_era_);
  if (!store_era_ || era > *store_era_) {
    store_era_ = era;
    era_is_news_ = true;
  }
}

void FleetState::TakeList(const std::vector<EndpointRecord>& records,
                          ListKind kind,
                          EndpointTeller teller,
                          TimePoint now) {
  directory_.Listed(records, kind, now);
  endpoints_known_ = true;
  ChangedForTraffic();
  LogLine("endpoints_listed")
      .With("count", records.size())
      .With("source", NameOf(teller))
      .With("of_copy", kind == ListKind::kCopy ? "yes" : "no")
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
  TakeEndpoints(changed.changes, EndpointTeller::kStore, now);
}

// The store's answer is older than what this node has heard from it or from the holder since.
void FleetState::LogEndpointsIgnored(const StoreRevision& revision, TimePoint now) {
  if (now - endpoints_ignored_logged_at_ < kLogIgnoredEvery) {
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
  TakeList(listed.records, kind, EndpointTeller::kStore, now);
}

void FleetState::TakeRecord(const EndpointRecord& record, EndpointTeller teller) {
  const auto found = directory_.Endpoints().find(record.instance);
  const bool news =
      found == directory_.Endpoints().end() || found->second.record.leaving != record.leaving;
  directory_.Put(record);
  changed_ = true;
  if (news) {
    ChangedForTraffic();
    LogLine("endpoint_changed")
        .With("endpoint", record.instance)
        .With("service", record.service)
        .With("address", record.address)
        .With("leaving", record.leaving ? "yes" : "no")
        .With("source", NameOf(teller));
  }
}

void FleetState::TakeGone(const std::string& instance, EndpointTeller teller, TimePoint now) {
  directory_.Gone(instance, now);
  ChangedForTraffic();
  LogLine("endpoint_gone").With("endpoint", instance).With("source", NameOf(teller));
}

}  // namespace rudderloom
