#include "rudderloom/quarantine/crash_book.hpp"

#include <algorithm>  // for count_if, equal, max, min_element, sort
#include <string>     // for to_string
#include <tuple>      // for make_tuple

namespace rudderloom {

namespace {

// Entries of some 150 bytes each; the failure of a rack adds some hundreds.
constexpr std::size_t kMaxSuspects = 2'048;
// Some 40 bytes each: at most 10 KB per node when the list changes.
constexpr std::size_t kMaxPublished = 256;
// Crashes that one request explains: enough for all endpoints that ran it at the same time.
constexpr std::size_t kMaxEndpointsPerRequest = 64;
// After this time a request is tried again: its endpoints may have been fixed, or it was
// quarantined wrongly. One more crash quarantines it again, so it costs at most one endpoint per
// hour.
constexpr Duration kQuarantineTime{3'600'000};
constexpr Duration kSuspectRetention{3'600'000};
// Longer than nodes repeat the report of a crash.
constexpr Duration kClearedRetention{10'000};

// Placeholder for a crash whose endpoint is no longer known; no other request explains it.
EndpointKey PlaceholderEndpoint(const RequestDigest& request, std::size_t number) {
  return KeyOf(TextOf(request) + "#" + std::to_string(number));
}

}  // namespace

bool CrashBook::Take(const CrashNews& news, TimePoint now) {
  bool changed = false;
  for (const RequestDigest& request : news.cleared) {
    changed = Clear(request, now) || changed;
  }
  for (const RequestCrash& crash : news.crashes) {
    if (!news.cleared.contains(crash.request)) {
      changed = Add(crash, now) || changed;
    }
  }
  if (changed) {
    UpdateQuarantine();
    EvictSuspects();
  }
  return changed;
}

bool CrashBook::Clear(const RequestDigest& request, TimePoint now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return false;
  }
  for (const EndpointKey endpoint : found->second.endpoints) {
    cleared_[{request, endpoint}] = now;
  }
  suspects_.erase(found);
  return true;
}

bool CrashBook::Add(const RequestCrash& crash, TimePoint now) {
  const auto cleared = cleared_.find(crash);
  if (cleared != cleared_.end() && now - cleared->second < kClearedRetention) {
    return false;
  }
  Suspect& suspect = suspects_[crash.request];
  if (suspect.endpoints.size() >= kMaxEndpointsPerRequest) {
    return false;
  }
  const bool is_new = suspect.endpoints.insert(crash.endpoint).second;
  suspect.last_crash_at = is_new ? now : suspect.last_crash_at;
  return is_new;
}

// Updates the unexplained crashes of all suspects. Returns the largest number that reaches its
// threshold for quarantine, or 0 if there is none.
std::size_t CrashBook::MaxUnexplained(const std::set<EndpointKey>& explained) {
  std::size_t max_count = 0;
  for (auto& [request, suspect] : suspects_) {
    if (suspect.quarantined) {
      continue;
    }
    suspect.unexplained = static_cast<std::size_t>(
        std::count_if(suspect.endpoints.begin(), suspect.endpoints.end(),
                      [&](EndpointKey endpoint) { return !explained.contains(endpoint); }));
    if (suspect.unexplained >= suspect.Threshold()) {
      max_count = std::max(max_count, suspect.unexplained);
    }
  }
  return max_count;
}

// Recomputes the quarantine greedily: the suspects with the most unexplained crashes come first,
// and their crashes no longer count against the others.
void CrashBook::UpdateQuarantine() {
  std::set<EndpointKey> explained;
  for (auto& [request, suspect] : suspects_) {
    suspect.quarantined = false;
  }
  while (const std::size_t max_count = MaxUnexplained(explained)) {
    for (auto& [request, suspect] : suspects_) {
      if (!suspect.quarantined && suspect.unexplained == max_count &&
          suspect.unexplained >= suspect.Threshold()) {
        suspect.quarantined = true;
        suspect.quarantined_before = true;
        explained.insert(suspect.endpoints.begin(), suspect.endpoints.end());
      }
    }
  }
}

// Evicts the least significant suspects first: not quarantined, fewest crashes, oldest.
void CrashBook::EvictSuspects() {
  while (suspects_.size() > kMaxSuspects) {
    const auto victim =
        std::min_element(suspects_.begin(), suspects_.end(), [](const Entry& a, const Entry& b) {
          const auto significance = [](const Suspect& suspect) {
            return std::make_tuple(suspect.quarantined, suspect.endpoints.size(),
                                   suspect.last_crash_at);
          };
          return significance(a.second) < significance(b.second);
        });
    suspects_.erase(victim);
  }
}

bool CrashBook::Replace(const std::vector<SuspectEntry>& entries, TimePoint now) {
  std::map<RequestDigest, Suspect> before;
  before.swap(suspects_);
  for (const SuspectEntry& entry : entries) {
    Suspect& suspect = suspects_[entry.request];
    suspect.endpoints = entry.endpoints;
    suspect.quarantined_before = entry.quarantined_before;
    suspect.last_crash_at = now - entry.age;
  }
  UpdateQuarantine();
  return !std::equal(before.begin(), before.end(), suspects_.begin(), suspects_.end(),
                     [](const Entry& a, const Entry& b) {
                       return a.first == b.first &&
                              a.second.quarantined_before == b.second.quarantined_before &&
                              a.second.endpoints == b.second.endpoints;
                     });
}

void CrashBook::Restore(const std::set<RequestDigest>& quarantined, TimePoint now) {
  for (const RequestDigest& request : quarantined) {
    Suspect& suspect = suspects_[request];
    if (!suspect.quarantined_before) {
      suspect.last_crash_at = now;
      suspect.quarantined_before = true;
      suspect.endpoints.insert(PlaceholderEndpoint(request, 0));
    }
  }
  UpdateQuarantine();
}

bool CrashBook::Expire(TimePoint now) {
  std::erase_if(cleared_,
                [&](const auto& entry) { return now - entry.second >= kClearedRetention; });
  bool changed = false;
  for (auto& [request, suspect] : suspects_) {
    if (suspect.quarantined_before && now - suspect.last_crash_at >= kQuarantineTime) {
      suspect.quarantined_before = false;
      suspect.last_crash_at = now;
      suspect.endpoints.clear();
      for (std::size_t i = 0; i + 1 < kCrashesToQuarantine; ++i) {
        suspect.endpoints.insert(PlaceholderEndpoint(request, i));
      }
      changed = true;
    }
  }
  const std::size_t removed = std::erase_if(suspects_, [&](const Entry& entry) {
    return !entry.second.quarantined_before &&
           now - entry.second.last_crash_at >= kSuspectRetention;
  });
  if (changed || removed > 0) {
    UpdateQuarantine();
  }
  return changed || removed > 0;
}

// Quarantined requests come before the others, the latest first.
std::vector<const CrashBook::Entry*> CrashBook::LatestEntries(std::size_t max_count) const {
  std::vector<const Entry*> published;
  for (const Entry& entry : suspects_) {
    if (entry.second.quarantined || entry.second.NearThreshold()) {
      published.push_back(&entry);
    }
  }
  std::sort(published.begin(), published.end(), [](const Entry* a, const Entry* b) {
    return a->second.quarantined != b->second.quarantined
               ? a->second.quarantined
               : a->second.last_crash_at > b->second.last_crash_at;
  });
  published.resize(std::min(published.size(), max_count));
  return published;
}

std::vector<SuspectEntry> CrashBook::PublishedEntries(TimePoint now) const {
  std::vector<SuspectEntry> entries;
  for (const Entry* entry : LatestEntries(kMaxPublished)) {
    const auto& [request, suspect] = *entry;
    entries.push_back({request, suspect.endpoints, suspect.quarantined_before,
                       Between(suspect.last_crash_at, now)});
  }
  return entries;
}

QuarantineList CrashBook::List() const {
  QuarantineList list;
  for (const Entry* entry : LatestEntries(kMaxPublished)) {
    (entry->second.quarantined ? list.quarantined : list.suspects).insert(entry->first);
  }
  return list;
}

std::set<RequestDigest> CrashBook::Quarantined(std::size_t max_count) const {
  std::set<RequestDigest> quarantined;
  for (const Entry* entry : LatestEntries(max_count)) {
    if (entry->second.quarantined) {
      quarantined.insert(entry->first);
    }
  }
  return quarantined;
}

}  // namespace rudderloom
