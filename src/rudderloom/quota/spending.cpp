#include "rudderloom/quota/spending.hpp"

#include <algorithm>  // for max, min
#include <cmath>      // for exp

namespace rudderloom {

namespace {

// Part of what the bounds let a customer go over its limit that it may spend ahead.
constexpr double kAheadPart = 0.25;
// Long enough for a customer that sends a request a second to be seen as steady.
constexpr double kFadeSeconds = 5.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::int64_t MostAhead(const QuotaLimit& limit, const QuotaBounds& bounds) {
  const auto burst = static_cast<double>(limit.burst);
  const double allowed = static_cast<double>(limit.per_second) * Seconds(bounds.window) + burst;
  return static_cast<std::int64_t>(burst +
                                   kAheadPart * (bounds.overshoot * allowed + bounds.slack));
}

double UnknownLevel(UnknownBalance unknown,
                    const QuotaLimit& limit,
                    const QuotaBounds& bounds,
                    TimePoint since,
                    TimePoint now) {
  constexpr double kQuarter = 0.25;
  const auto most = static_cast<double>(MostAhead(limit, bounds));
  if (unknown == UnknownBalance::kWhole) {
    return most;
  }
  const double seconds = std::max(0.0, std::chrono::duration<double>(now - since).count());
  const double level = unknown == UnknownBalance::kQuarter ? kQuarter * most : 0.0;
  return std::min(most, level + static_cast<double>(limit.per_second) * seconds);
}

void AddUntold(const SpendingTable& earlier, SpendingTable& newer) {
  for (const auto& [customer, spending] : earlier) {
    Spending& sum = newer[customer];
    sum.spent += spending.spent;
    sum.asked += spending.asked;
  }
}

void FadingRate::Add(std::uint64_t amount, TimePoint now) {
  sum_ = PerSecond(now) * kFadeSeconds + static_cast<double>(amount);
  faded_at_ = now;
}

double FadingRate::PerSecond(TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - faded_at_).count();
  return sum_ / kFadeSeconds * std::exp(-seconds / kFadeSeconds);
}

}  // namespace rudderloom
