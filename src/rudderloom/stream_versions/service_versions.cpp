#include "rudderloom/stream_versions/service_versions.hpp"

#include <algorithm>  // for max

namespace rudderloom {

namespace {

// Longer than any stream and its client's attempts to take it up.
constexpr Duration kRetention{60'000};

}  // namespace

bool HasVersion(const VersionsByService& versions,
                const std::string& service,
                const std::string& version) {
  const auto found = versions.find(service);
  return found != versions.end() && found->second.contains(version);
}

VersionsByService CommonVersions(const VersionsByService& left, const VersionsByService& right) {
  VersionsByService common;
  for (const auto& [service, versions] : left) {
    for (const std::string& version : versions) {
      if (HasVersion(right, service, version)) {
        common[service].insert(version);
      }
    }
  }
  return common;
}

std::string VersionsText(const VersionsByService& versions, const std::string& service) {
  std::string text;
  const auto found = versions.find(service);
  if (found == versions.end()) {
    return text;
  }
  for (const std::string& version : found->second) {
    text += (text.empty() ? "" : ",") + version;
  }
  return text;
}

void ServiceVersions::Observe(const VersionsByService& present, TimePoint now) {
  Restore(present, now);
  for (auto& [service, seen] : seen_at_) {
    std::erase_if(seen, [&](const auto& entry) { return now - entry.second >= kRetention; });
  }
}

void ServiceVersions::Merge(const VersionAges& ages, TimePoint now) {
  for (const auto& [service, versions] : ages) {
    for (const auto& [version, age] : versions) {
      if (age < kRetention) {
        TimePoint& seen_at = seen_at_[service][version];
        seen_at = std::max(seen_at, now - age);
      }
    }
  }
}

void ServiceVersions::Restore(const VersionsByService& recorded, TimePoint now) {
  for (const auto& [service, versions] : recorded) {
    for (const std::string& version : versions) {
      seen_at_[service][version] = now;
    }
  }
}

VersionsByService ServiceVersions::Lately() const {
  VersionsByService lately;
  for (const auto& [service, seen] : seen_at_) {
    for (const auto& [version, at] : seen) {
      lately[service].insert(version);
    }
  }
  return lately;
}

VersionsByService ServiceVersions::Within(Duration limit, TimePoint now) const {
  VersionsByService within;
  for (const auto& [service, seen] : seen_at_) {
    for (const auto& [version, at] : seen) {
      if (now - at <= limit) {
        within[service].insert(version);
      }
    }
  }
  return within;
}

VersionAges ServiceVersions::Ages(TimePoint now) const {
  VersionAges ages;
  for (const auto& [service, seen] : seen_at_) {
    for (const auto& [version, at] : seen) {
      ages[service][version] = Between(at, now);
    }
  }
  return ages;
}

}  // namespace rudderloom
