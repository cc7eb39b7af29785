#include "rudderloom/forwarding/missing_units.hpp"

namespace rudderloom {

namespace {

// Time from the first request until the load starts: the node's report to the lease holder, the
// plan, and the unloading of another model, which takes about 900 ms when reports are 200 ms old.
constexpr Duration kLoadStartDelay{1'000};
constexpr Duration kAdapterLoadTime{500};
constexpr Duration kForgetAfter{30'000};
// An overdue unit is expected after another fraction of the time it has been missing: one over this
// number.
constexpr int kOverdueDivisor = 4;

Duration LoadTimeOf(const UnitName& unit, const ServiceSpec* service) {
  if (!unit.adapter.empty()) {
    return kAdapterLoadTime;
  }
  const ModelSpec* model =
      service != nullptr && service->engine ? service->engine->Find(unit.model) : nullptr;
  return model == nullptr ? kForgetAfter : kLoadStartDelay + model->load_time;
}

}  // namespace

std::vector<UnitName> RequestedUnits(const std::string& service, const RequestMetadata& terms) {
  std::vector<UnitName> units;
  if (!terms.model.empty()) {
    units.push_back({service, terms.model, ""});
  }
  if (!terms.adapter.empty()) {
    units.push_back({service, terms.model, terms.adapter});
  }
  return units;
}

TimePoint MissingUnits::RecordMissing(const UnitName& unit,
                                      const ServiceSpec* service,
                                      TimePoint now) {
  Missing& missing = missing_.try_emplace(unit, Missing{now, now}).first->second;
  missing.last_asked = now;
  const TimePoint expected = missing.since + LoadTimeOf(unit, service);
  const TimePoint overdue = now + (now - missing.since) / kOverdueDivisor;
  return expected > now ? expected : overdue;
}

void MissingUnits::Trim(TimePoint now) {
  std::erase_if(missing_,
                [&](const auto& entry) { return now - entry.second.last_asked > kForgetAfter; });
}

}  // namespace rudderloom
