#include "rudderloom/placement/load_pacer.hpp"

#include <algorithm>  // for count_if, max

namespace rudderloom {

namespace {

// Leaves headroom because orders take time to arrive and a few are carried out late.
constexpr double kUsableFraction = 0.85;
// Fraction of the permitted starts available to models that are not being requested.
constexpr double kSpeculativeFraction = 0.4;
constexpr std::size_t kMaxRecordedStarts = 4'096;

}  // namespace

void LoadPacer::AssumeStarted(std::size_t count, TimePoint at) {
  for (std::size_t i = 0; i < count; ++i) {
    Started(at);
  }
}

bool LoadPacer::MayStart(double loads_per_second,
                         std::size_t pending,
                         LoadClass load_class,
                         TimePoint now) const {
  const double seconds = std::chrono::duration<double>(window_).count();
  const double fraction = load_class == LoadClass::kSpeculative ? kSpeculativeFraction : 1.0;
  const double max_starts =
      std::max(1.0, loads_per_second * seconds * overshoot_ * kUsableFraction * fraction);
  const auto recent_starts = std::count_if(starts_.begin(), starts_.end(),
                                           [&](TimePoint start) { return now - start < window_; });
  return static_cast<double>(recent_starts) + static_cast<double>(pending) + 1.0 <= max_starts;
}

void LoadPacer::Started(TimePoint now) {
  starts_.push_back(now);
  if (starts_.size() > kMaxRecordedStarts) {
    starts_.pop_front();
  }
}

}  // namespace rudderloom
