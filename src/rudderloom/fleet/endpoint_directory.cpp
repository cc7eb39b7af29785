#include "rudderloom/fleet/endpoint_directory.hpp"

#include <algorithm>  // for find_if

namespace rudderloom {

const ResidentModel* FindModel(const std::vector<ResidentModel>& models, const std::string& name) {
  const auto found = std::find_if(models.begin(), models.end(),
                                  [&](const ResidentModel& model) { return model.name == name; });
  return found == models.end() ? nullptr : &*found;
}

void EndpointDirectory::Listed(const std::vector<EndpointRecord>& records, TimePoint now) {
  std::set<std::string> listed;
  for (const EndpointRecord& record : records) {
    listed.insert(record.instance);
    Put(record);
  }
  for (auto& [instance, known] : endpoints_) {
    if (!listed.contains(instance) && !known.gone_at) {
      known.gone_at = now;
    }
  }
}

void EndpointDirectory::Put(const EndpointRecord& record) {
  KnownEndpoint& known = endpoints_[record.instance];
  const bool was_leaving = known.record.leaving;
  const bool older = !record.tells_models || record.orders_taken < known.record.orders_taken;
  std::vector<ResidentModel> models = std::move(known.record.models);
  const std::uint64_t orders_taken = known.record.orders_taken;
  known.record = record;
  known.gone_at.reset();
  // An endpoint never comes back from leaving, and an entry may be older than a report.
  known.record.leaving = known.record.leaving || was_leaving;
  if (older) {
    known.record.models = std::move(models);
    known.record.orders_taken = orders_taken;
  }
}

void EndpointDirectory::Gone(const std::string& instance, TimePoint now) {
  const auto found = endpoints_.find(instance);
  if (found != endpoints_.end() && !found->second.gone_at) {
    found->second.gone_at = now;
  }
}

void EndpointDirectory::Serves(const std::string& instance,
                               const std::vector<ResidentModel>& models) {
  const auto found = endpoints_.find(instance);
  if (found != endpoints_.end()) {
    found->second.record.models = models;
  }
}

bool EndpointDirectory::Reported(const std::string& instance, const EngineReport& report) {
  const auto found = endpoints_.find(instance);
  if (found == endpoints_.end()) {
    return false;
  }
  EndpointRecord& record = found->second.record;
  const bool older = report.orders_taken < record.orders_taken;
  if (older || record.models == report.models) {
    return false;
  }
  record.models = report.models;
  record.orders_taken = report.orders_taken;
  return true;
}

bool EndpointDirectory::Expire(TimePoint now) {
  return std::erase_if(endpoints_, [&](const auto& entry) {
           return entry.second.gone_at && now - *entry.second.gone_at >= keep_gone_;
         }) > 0;
}

}  // namespace rudderloom
