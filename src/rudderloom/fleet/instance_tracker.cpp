#include "rudderloom/fleet/instance_tracker.hpp"

#include <utility>  // for exchange, move

namespace rudderloom {

void InstanceTracker::Reset(const std::vector<EndpointRecord>& records) {
  by_id_.clear();
  put_.clear();
  gone_.clear();
  for (const EndpointRecord& record : records) {
    by_id_[record.id] = {record.instance, record.born};
  }
}

void InstanceTracker::EndInstance(const std::string& instance) {
  put_.erase(instance);
  gone_.push_back(instance);
}

void InstanceTracker::Put(EndpointRecord record) {
  const auto known = by_id_.find(record.id);
  if (known != by_id_.end()) {
    if (record.born < known->second.born) {
      return;
    }
    if (record.instance != known->second.instance) {
      EndInstance(known->second.instance);
    }
  }
  by_id_[record.id] = {record.instance, record.born};
  std::erase(gone_, record.instance);
  std::string instance = record.instance;
  put_[std::move(instance)] = std::move(record);
}

void InstanceTracker::Remove(const std::string& id) {
  const auto known = by_id_.find(id);
  if (known != by_id_.end()) {
    EndInstance(known->second.instance);
    by_id_.erase(known);
  }
}

EndpointChanges InstanceTracker::TakeChanges() {
  EndpointChanges changes;
  for (auto& [instance, record] : std::exchange(put_, {})) {
    changes.values.emplace_back(instance, std::move(record));
  }
  changes.gone = std::exchange(gone_, {});
  return changes;
}

}  // namespace rudderloom
