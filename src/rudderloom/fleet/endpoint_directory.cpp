#include "rudderloom/fleet/endpoint_directory.hpp"

#include <algorithm>  // for find_if, min_element
#include <charconv>   // for to_chars

namespace rudderloom {

namespace {

// Endpoints write lost entries again within about two seconds.
constexpr Duration kRewriteTimeout{2'500};
// An entry that is not renewed lapses after three heartbeats, a few seconds at most.
constexpr Duration kEntryLapseTimeout{5'000};
// Restores from backups older than this are not expected.
constexpr Duration kTombstoneRetention{60'000};
constexpr std::size_t kMaxTombstones = 4'096;

}  // namespace

std::string InstanceName(const std::string& id, std::uint64_t born) {
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

void EndpointDirectory::ApplyList(const std::vector<EndpointRecord>& records,
                                  ListKind kind,
                                  TimePoint now) {
  std::set<std::string> listed;
  for (const EndpointRecord& record : records) {
    listed.insert(record.instance);
    if (kind == ListKind::kFromBackup) {
      PutFromBackup(record, now);
    } else if (!unconfirmed_.contains(record.instance)) {
      Put(record);
    }
  }
  std::erase_if(unconfirmed_, [&](const auto& entry) { return !listed.contains(entry.first); });
  for (auto& [instance, known] : endpoints_) {
    if (listed.contains(instance) || known.unlisted_since) {
      continue;
    }
    if (kind == ListKind::kFromBackup) {
      known.rewrite_awaited_until = now + kRewriteTimeout;
    } else if (!known.rewrite_awaited_until) {
      known.unlisted_since = now;
    }
  }
}

void EndpointDirectory::PutFromBackup(const EndpointRecord& record, TimePoint now) {
  const auto known = endpoints_.find(record.instance);
  const bool is_gone = known != endpoints_.end() && known->second.unlisted_since;
  if (is_gone || tombstones_.contains(record.instance)) {
    unconfirmed_[record.instance] = {record, now + kEntryLapseTimeout};
  } else {
    Put(record);
  }
}

// Earlier instances have ended: their models and whether they were leaving do not apply to the new
// one.
void EndpointDirectory::RemoveEarlierInstances(const EndpointRecord& record) {
  std::erase_if(endpoints_, [&](const auto& entry) {
    const EndpointRecord& known = entry.second.record;
    return known.id == record.id && known.born < record.born;
  });
}

void EndpointDirectory::Put(const EndpointRecord& record) {
  if (record.born != 0 && !endpoints_.contains(record.instance)) {
    RemoveEarlierInstances(record);
  }
  unconfirmed_.erase(record.instance);
  if (const auto tombstone = tombstones_.find(record.instance); tombstone != tombstones_.end()) {
    EndpointRecord restored = record;
    restored.leaving = restored.leaving || tombstone->second.leaving;
    tombstones_.erase(tombstone);
    Put(restored);
    return;
  }
  KnownEndpoint& known = endpoints_[record.instance];
  const bool was_leaving = known.record.leaving;
  // A count below that of the previous entry means that the process restarted without announcing
  // it; a count that is only below that of a report means that the entry is older than the report.
  const bool fell = record.includes_models && record.orders_taken < known.listed_orders;
  const bool older =
      !record.includes_models || (record.orders_taken < known.record.orders_taken && !fell);
  known.listed_orders = record.includes_models ? record.orders_taken : known.listed_orders;
  std::vector<ResidentModel> models = std::move(known.record.models);
  const std::uint64_t orders_taken = known.record.orders_taken;
  known.record = record;
  known.unlisted_since.reset();
  known.rewrite_awaited_until.reset();
  // An endpoint never returns from leaving, and an entry may be older than a report.
  known.record.leaving = known.record.leaving || was_leaving;
  if (older) {
    known.record.models = std::move(models);
    known.record.orders_taken = orders_taken;
  }
}

void EndpointDirectory::MarkUnlisted(const std::string& instance, TimePoint now) {
  unconfirmed_.erase(instance);
  const auto found = endpoints_.find(instance);
  if (found != endpoints_.end() && !found->second.unlisted_since) {
    found->second.unlisted_since = now;
  }
}

void EndpointDirectory::SetServedModels(const std::string& instance,
                                        const std::vector<ResidentModel>& models) {
  const auto found = endpoints_.find(instance);
  if (found != endpoints_.end()) {
    found->second.record.models = models;
  }
}

bool EndpointDirectory::ApplyReport(const std::string& instance, const EngineReport& report) {
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
  const bool awaited_expired = ExpireAwaitedRewrites(now);
  const bool unconfirmed_expired = ExpireUnconfirmed(now);
  const bool unlisted_expired = ExpireUnlisted(now);
  ExpireTombstones(now);
  return awaited_expired || unconfirmed_expired || unlisted_expired;
}

bool EndpointDirectory::ExpireUnlisted(TimePoint now) {
  return std::erase_if(endpoints_, [&](const auto& entry) {
           const KnownEndpoint& known = entry.second;
           if (!known.unlisted_since || now - *known.unlisted_since < unlisted_retention_) {
             return false;
           }
           tombstones_[entry.first] = {now, known.record.leaving};
           return true;
         }) > 0;
}

bool EndpointDirectory::ExpireAwaitedRewrites(TimePoint now) {
  bool any = false;
  for (auto& [instance, known] : endpoints_) {
    if (known.rewrite_awaited_until && now >= *known.rewrite_awaited_until) {
      known.rewrite_awaited_until.reset();
      known.unlisted_since = now;
      any = true;
    }
  }
  return any;
}

bool EndpointDirectory::ExpireUnconfirmed(TimePoint now) {
  std::vector<EndpointRecord> alive;
  for (const auto& [instance, unconfirmed] : unconfirmed_) {
    if (now >= unconfirmed.until) {
      alive.push_back(unconfirmed.record);
    }
  }
  for (const EndpointRecord& record : alive) {
    Put(record);
  }
  return !alive.empty();
}

void EndpointDirectory::ExpireTombstones(TimePoint now) {
  std::erase_if(tombstones_,
                [&](const auto& entry) { return now - entry.second.at >= kTombstoneRetention; });
  while (tombstones_.size() > kMaxTombstones) {
    tombstones_.erase(std::min_element(
        tombstones_.begin(), tombstones_.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
  }
}

}  // namespace rudderloom
