#include "rudderloom/fleet/control_lag.hpp"

#include <cmath>  // for exp

namespace rudderloom {

namespace {

// Long enough that one long task is no overload.
constexpr double kMeanOverMilliseconds = 1'000.0;
// Reports of engines and nodes are some 250 ms old: from here on, decisions rest on facts twice as
// old. Holders with 0.5 of a core beside 85 nodes stay below 100 ms; slowed 8 times, they reach 235
// to 713 ms.
constexpr Duration kOverloadedFrom{200};

}  // namespace

// A tick stands for the time since the one before it was due: of many ticks that wait behind one
// long task, each counts, and a pause of the whole process, in which none is due, does not.
void ControlLag::Handled(TimePoint due, TimePoint now) {
  const auto lag = static_cast<double>(Between(due, now).count());
  if (last_due_) {
    const auto stands_for = static_cast<double>(Between(*last_due_, due).count());
    const double weight = 1.0 - std::exp(-stands_for / kMeanOverMilliseconds);
    mean_milliseconds_ += (lag - mean_milliseconds_) * weight;
  }
  last_due_ = due;
}

Duration ControlLag::Mean() const {
  return Duration(static_cast<Duration::rep>(mean_milliseconds_));
}

bool ControlLag::Overloaded() const {
  return Mean() >= kOverloadedFrom;
}

}  // namespace rudderloom
