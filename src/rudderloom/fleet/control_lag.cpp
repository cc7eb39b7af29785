#include "rudderloom/fleet/control_lag.hpp"

#include <cmath>  // for exp

namespace rudderloom {

namespace {

// Long enough that a stall of a second, as of a frozen process, is no overload.
constexpr double kMeanOverMilliseconds = 2'000.0;
constexpr Duration kOverloadedFrom{400};

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
