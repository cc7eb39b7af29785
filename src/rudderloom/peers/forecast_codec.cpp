#include "peers/forecast_codec.hpp"

#include <algorithm>  // for clamp, min

namespace rudderloom {

namespace {

// Keeps the time within the 32-bit field.
constexpr Duration kMaxTimeLeft{std::chrono::hours(1)};
constexpr std::uint32_t kMaxWaiting = 1'000'000;

}  // namespace

void WriteLoadsDue(const LoadsDue& due, capnp::List<rpc::LoadDue>::Builder out) {
  unsigned index = 0;
  for (const auto& [unit, load] : due) {
    const Duration bounded = std::clamp(load.time_left, Duration(0), kMaxTimeLeft);
    auto entry = out[index++];
    entry.setService(unit.service);
    entry.setModel(unit.model);
    entry.setAdapter(unit.adapter);
    entry.setTimeLeftMs(static_cast<std::uint32_t>(bounded.count()));
    entry.setWaiting(load.waiting);
  }
}

LoadsDue ReadLoadsDue(capnp::List<rpc::LoadDue>::Reader in) {
  LoadsDue due;
  for (const auto entry : in) {
    const UnitName unit{entry.getService().cStr(), entry.getModel().cStr(),
                        entry.getAdapter().cStr()};
    due[unit] = {Duration(entry.getTimeLeftMs()), std::min(entry.getWaiting(), kMaxWaiting)};
  }
  return due;
}

}  // namespace rudderloom
