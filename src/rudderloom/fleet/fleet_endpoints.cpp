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
  if (!(endpoints_known_ || changes.whole) ||
      !endpoint_log_.Change().Apply(WithoutModels(changes))) {
    return;
  }
  if (changes.whole) {
    std::vector<EndpointRecord> records;
    for (const auto& [instance, record] : changes.values) {
      records.push_back(record);
    }
    TakeList(records, teller, now);
    return;
  }
  for (const auto& [instance, record] : changes.values) {
    TakeRecord(record, teller);
  }
  for (const std::string& instance : changes.gone) {
    TakeGone(instance, teller, now);
  }
}

void FleetState::TakeList(const std::vector<EndpointRecord>& records,
                          EndpointTeller teller,
                          TimePoint now) {
  directory_.Listed(records, now);
  endpoints_known_ = true;
  ChangedForTraffic();
  LogLine("endpoints_listed").With("count", records.size()).With("source", NameOf(teller));
}

void FleetState::On(const fleet_message::EndpointsChanged& changed, TimePoint now) {
  endpoint_source_.Confirmed(now);
  if (changed.changes.version < endpoint_log_.Get().Version()) {
    LogEndpointsIgnored(changed.changes.version, now);
  }
  TakeEndpoints(changed.changes, EndpointTeller::kStore, now);
}

// The store's answer is older than what this node has heard from it or from the holder since.
void FleetState::LogEndpointsIgnored(std::uint64_t revision, TimePoint now) {
  if (now - endpoints_ignored_logged_at_ < kLogIgnoredEvery) {
    return;
  }
  endpoints_ignored_logged_at_ = now;
  LogLine("endpoints_ignored", Severity::kWarning)
      .With("revision", revision)
      .With("known_revision", endpoint_log_.Get().Version());
}

void FleetState::On(const fleet_message::EndpointsListed& listed, TimePoint now) {
  endpoint_source_.Confirmed(now);
  if (listed.revision < endpoint_log_.Get().Version()) {
    LogEndpointsIgnored(listed.revision, now);
    return;
  }
  std::map<std::string, EndpointRecord> by_instance;
  for (const EndpointRecord& record : listed.records) {
    by_instance.emplace(record.instance, WithoutModels(record));
  }
  endpoint_log_.Change().Replace(by_instance, listed.revision);
  TakeList(listed.records, EndpointTeller::kStore, now);
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
