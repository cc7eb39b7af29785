#include "rudderloom/stream_versions/unrecorded_versions.hpp"

namespace rudderloom {

namespace {

// Starts are remembered for ten seconds longer. A stream of the first version is taken up by then.
constexpr Duration kInForce{50'000};
// Nodes see endpoints of a new service at different times. One that sees only its second version
// may have begun streams at it before this holder has listed the first one for so long.
constexpr Duration kSettled{5'000};

std::set<std::string> VersionsOf(const VersionsByService& versions, const std::string& service) {
  const auto found = versions.find(service);
  return found == versions.end() ? std::set<std::string>() : found->second;
}

}  // namespace

void UnrecordedVersions::Begin(const VersionsByService& recorded, TimePoint now) {
  Clear();
  for (const auto& [name, versions] : recorded) {
    if (versions.size() == 1) {
      services_[name] = {*versions.begin(), now - kSettled, {}, false, false};
    }
  }
}

void UnrecordedVersions::Update(const VersionEvidence& evidence, TimePoint now) {
  std::erase_if(services_,
                [&](const auto& entry) { return !evidence.lately.contains(entry.first); });
  for (const auto& [name, lately] : evidence.lately) {
    const std::set<std::string> recorded = VersionsOf(evidence.recorded, name);
    Service& service = services_[name];
    if (lately.size() > 1) {
      UpdateService(service, recorded, VersionsOf(evidence.beginning, name), now);
    } else if (recorded != lately) {
      service = {};
    } else if (service.only != *recorded.begin() || service.in_force || service.ended) {
      service = {*recorded.begin(), now, {}, false, false};
    }
  }
}

// Of a service with several versions.
void UnrecordedVersions::UpdateService(Service& service,
                                       const std::set<std::string>& recorded,
                                       const std::set<std::string>& beginning,
                                       TimePoint now) {
  const bool serves = beginning.contains(service.only);
  if (service.in_force) {
    service.ended = !serves || now - service.began_at >= kInForce;
    service.in_force = !service.ended;
    return;
  }
  const bool was_only = !service.only.empty() && recorded == std::set<std::string>{service.only};
  service.in_force = !service.ended && was_only && serves && now - service.only_since >= kSettled;
  service.ended = !service.in_force;
  service.began_at = now;
}

void UnrecordedVersions::Exclude(const std::string& service) {
  Service& excluded = services_[service];
  excluded.in_force = false;
  excluded.ended = true;
}

void UnrecordedVersions::ExcludeAll() {
  for (auto& [name, service] : services_) {
    service.in_force = false;
    service.ended = true;
  }
}

VersionOfService UnrecordedVersions::Current() const {
  VersionOfService current;
  for (const auto& [name, service] : services_) {
    if (service.in_force) {
      current[name] = service.only;
    }
  }
  return current;
}

}  // namespace rudderloom
