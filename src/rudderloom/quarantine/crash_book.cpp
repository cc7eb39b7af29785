#include "rudderloom/quarantine/crash_book.hpp"

#include <algorithm>  // for count_if, equal, max, min_element, sort
#include <cstring>    // for memcpy
#include <tuple>      // for make_tuple

namespace rudderloom {

namespace {

// Entries of some 150 bytes each; a rack's end brings some hundreds.
constexpr std::size_t kMostSuspects = 2'048;
// Some 40 bytes each: 10 KB to a node when the list changes, at the very most.
constexpr std::size_t kMostTold = 256;
// Ends that one request explains: enough for all that ran it at the same moment.
constexpr std::size_t kMostEndpoints = 64;
// A request whose endpoints were mended, or that was held back for what it did not do, is tried
// again after this time. One more end brings it back, so it costs an endpoint an hour at most.
constexpr Duration kQuarantineTime{3'600'000};
constexpr Duration kSuspectTime{3'600'000};
// Longer than nodes go on telling of a crash.
constexpr Duration kClearedTime{10'000};

// Stands for an end that nobody remembers, and that no other request explains.
EndpointKey MadeUpEnd(const RequestDigest& request, std::size_t number) {
  EndpointKey key = 0;
  std::memcpy(&key, request.bytes.data() + number * sizeof(key), sizeof(key));
  return key;
}
static_assert((kCrashesToQuarantine - 1) * sizeof(EndpointKey) <= kRequestDigestBytes);

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
    Settle();
    MakeRoom();
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
  if (cleared != cleared_.end() && now - cleared->second < kClearedTime) {
    return false;
  }
  Suspect& suspect = suspects_[crash.request];
  if (suspect.endpoints.size() >= kMostEndpoints) {
    return false;
  }
  const bool is_new = suspect.endpoints.insert(crash.endpoint).second;
  suspect.last_end = is_new ? now : suspect.last_end;
  return is_new;
}

// Counts what is left to explain; gives the largest count that is enough for quarantine, 0 for
// none.
std::size_t CrashBook::MostUnexplained(const std::set<EndpointKey>& explained) {
  std::size_t most = 0;
  for (auto& [request, suspect] : suspects_) {
    if (suspect.quarantined) {
      continue;
    }
    suspect.unexplained = static_cast<std::size_t>(
        std::count_if(suspect.endpoints.begin(), suspect.endpoints.end(),
                      [&](EndpointKey endpoint) { return !explained.contains(endpoint); }));
    if (suspect.unexplained >= suspect.Needed()) {
      most = std::max(most, suspect.unexplained);
    }
  }
  return most;
}

// Works out anew who is in quarantine: those under which most endpoints have ended come first, and
// each leaves less for the others to explain.
void CrashBook::Settle() {
  std::set<EndpointKey> explained;
  for (auto& [request, suspect] : suspects_) {
    suspect.quarantined = false;
  }
  while (const std::size_t most = MostUnexplained(explained)) {
    for (auto& [request, suspect] : suspects_) {
      if (!suspect.quarantined && suspect.unexplained == most &&
          suspect.unexplained >= suspect.Needed()) {
        suspect.quarantined = true;
        suspect.held_before = true;
        explained.insert(suspect.endpoints.begin(), suspect.endpoints.end());
      }
    }
  }
}

// Those that say least go first: not in quarantine, fewest ends, longest ago.
void CrashBook::MakeRoom() {
  while (suspects_.size() > kMostSuspects) {
    const auto least =
        std::min_element(suspects_.begin(), suspects_.end(), [](const Entry& a, const Entry& b) {
          const auto weight = [](const Suspect& suspect) {
            return std::make_tuple(suspect.quarantined, suspect.endpoints.size(), suspect.last_end);
          };
          return weight(a.second) < weight(b.second);
        });
    suspects_.erase(least);
  }
}

bool CrashBook::Replace(const std::vector<SuspectEntry>& entries, TimePoint now) {
  std::map<RequestDigest, Suspect> before;
  before.swap(suspects_);
  for (const SuspectEntry& entry : entries) {
    Suspect& suspect = suspects_[entry.request];
    suspect.endpoints = entry.endpoints;
    suspect.held_before = entry.held_before;
    suspect.last_end = now - entry.age;
  }
  Settle();
  return !std::equal(before.begin(), before.end(), suspects_.begin(), suspects_.end(),
                     [](const Entry& a, const Entry& b) {
                       return a.first == b.first && a.second.held_before == b.second.held_before &&
                              a.second.endpoints == b.second.endpoints;
                     });
}

void CrashBook::Restore(const std::set<RequestDigest>& quarantined, TimePoint now) {
  for (const RequestDigest& request : quarantined) {
    Suspect& suspect = suspects_[request];
    if (!suspect.held_before) {
      suspect.last_end = now;
      suspect.held_before = true;
      suspect.endpoints.insert(MadeUpEnd(request, 0));
    }
  }
  Settle();
}

bool CrashBook::Expire(TimePoint now) {
  std::erase_if(cleared_, [&](const auto& entry) { return now - entry.second >= kClearedTime; });
  bool changed = false;
  for (auto& [request, suspect] : suspects_) {
    if (suspect.held_before && now - suspect.last_end >= kQuarantineTime) {
      suspect.held_before = false;
      suspect.last_end = now;
      suspect.endpoints.clear();
      for (std::size_t i = 0; i + 1 < kCrashesToQuarantine; ++i) {
        suspect.endpoints.insert(MadeUpEnd(request, i));
      }
      changed = true;
    }
  }
  const std::size_t forgotten = std::erase_if(suspects_, [&](const Entry& entry) {
    return !entry.second.held_before && now - entry.second.last_end >= kSuspectTime;
  });
  if (changed || forgotten > 0) {
    Settle();
  }
  return changed || forgotten > 0;
}

// Those in quarantine before the others, the latest first.
std::vector<const CrashBook::Entry*> CrashBook::LatestTold(std::size_t most) const {
  std::vector<const Entry*> told;
  for (const Entry& entry : suspects_) {
    if (entry.second.quarantined || entry.second.Close()) {
      told.push_back(&entry);
    }
  }
  std::sort(told.begin(), told.end(), [](const Entry* a, const Entry* b) {
    return a->second.quarantined != b->second.quarantined ? a->second.quarantined
                                                          : a->second.last_end > b->second.last_end;
  });
  told.resize(std::min(told.size(), most));
  return told;
}

std::vector<SuspectEntry> CrashBook::Told(TimePoint now) const {
  std::vector<SuspectEntry> entries;
  for (const Entry* entry : LatestTold(kMostTold)) {
    const auto& [request, suspect] = *entry;
    entries.push_back(
        {request, suspect.endpoints, suspect.held_before, Between(suspect.last_end, now)});
  }
  return entries;
}

QuarantineList CrashBook::List() const {
  QuarantineList list;
  for (const Entry* entry : LatestTold(kMostTold)) {
    (entry->second.quarantined ? list.quarantined : list.suspects).insert(entry->first);
  }
  return list;
}

std::set<RequestDigest> CrashBook::Quarantined(std::size_t most) const {
  std::set<RequestDigest> quarantined;
  for (const Entry* entry : LatestTold(most)) {
    if (entry->second.quarantined) {
      quarantined.insert(entry->first);
    }
  }
  return quarantined;
}

}  // namespace rudderloom
