#include "peers/forecast_codec.hpp"

#include <algorithm>  // for clamp

namespace rudderloom {

namespace {

// Keeps times within the 32 bits of the field.
constexpr Duration kMostTimeLeft{std::chrono::hours(1)};

}  // namespace

void WriteLoadsDue(const LoadTimesLeft& times_left, capnp::List<rpc::LoadDue>::Builder out) {
  unsigned index = 0;
  for (const auto& [unit, time_left] : times_left) {
    const Duration bounded = std::clamp(time_left, Duration(0), kMostTimeLeft);
    auto entry = out[index++];
    entry.setService(unit.service);
    entry.setModel(unit.model);
    entry.setAdapter(unit.adapter);
    entry.setTimeLeftMs(static_cast<std::uint32_t>(bounded.count()));
  }
}

LoadTimesLeft ReadLoadsDue(capnp::List<rpc::LoadDue>::Reader in) {
  LoadTimesLeft times_left;
  for (const auto entry : in) {
    const UnitName unit{entry.getService().cStr(), entry.getModel().cStr(),
                        entry.getAdapter().cStr()};
    times_left[unit] = Duration(entry.getTimeLeftMs());
  }
  return times_left;
}

}  // namespace rudderloom
