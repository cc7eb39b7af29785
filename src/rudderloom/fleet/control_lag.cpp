#include "rudderloom/fleet/control_lag.hpp"

#include <cmath>  // for exp

namespace rudderloom {

namespace {

// Averaging window, long enough that a single long task does not count as overload.
constexpr double kMeanWindowMilliseconds = 1'000.0;
// Reports of engines and nodes are about 250 ms old; from this lag on, decisions rest on data twice
// as old. Holders with 0.5 of a core beside 85 nodes stay below 100 ms; slowed down 8 times, they
// reach 235 to 713 ms.
constexpr Duration kOverloadThreshold{200};

}  // namespace

// A tick is weighted by the time since the previous tick was due: of many ticks queued behind one
// long task each counts, while a pause of the whole process, in which no tick is due, does not.
void ControlLag::RecordTick(TimePoint due, TimePoint now) {
  const auto lag = static_cast<double>(Between(due, now).count());
  if (last_due_) {
    const auto since_last_due = static_cast<double>(Between(*last_due_, due).count());
    const double weight = 1.0 - std::exp(-since_last_due / kMeanWindowMilliseconds);
    mean_milliseconds_ += (lag - mean_milliseconds_) * weight;
  }
  last_due_ = due;
}

Duration ControlLag::Mean() const {
  return Duration(static_cast<Duration::rep>(mean_milliseconds_));
}

bool ControlLag::Overloaded() const {
  return Mean() >= kOverloadThreshold;
}

}  // namespace rudderloom
