#include "rudderloom/fleet/endpoint_directory.hpp"

#include <algorithm>  // for find_if
#include <charconv>   // for to_chars

namespace rudderloom {

std::string LifeName(const std::string& id, std::uint64_t born) {
  if (born == 0) {
    return id;
  }
  constexpr int kBase = 36;
  char digits[16];
  const auto written = std::to_chars(digits, digits + sizeof(digits), born, kBase);
  return id + "@" + std::string(digits, written.ptr);
}

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

// Its earlier lives are over: what they held, and whether they were leaving, says nothing of it.
void EndpointDirectory::ForgetEarlierLives(const EndpointRecord& record) {
  std::erase_if(endpoints_, [&](const auto& entry) {
    const EndpointRecord& known = entry.second.record;
    return known.id == record.id && known.born < record.born;
  });
}

void EndpointDirectory::Put(const EndpointRecord& record) {
  if (record.born != 0 && !endpoints_.contains(record.instance)) {
    ForgetEarlierLives(record);
  }
  KnownEndpoint& known = endpoints_[record.instance];
  const bool was_leaving = known.record.leaving;
  // A count lower than the entry's own before is that of a process that started again without
  // saying so; one that is lower only than a report's is older than that.
  const bool fell = record.tells_models && record.orders_taken < known.listed_orders;
  const bool older =
      !record.tells_models || (record.orders_taken < known.record.orders_taken && !fell);
  known.listed_orders = record.tells_models ? record.orders_taken : known.listed_orders;
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
