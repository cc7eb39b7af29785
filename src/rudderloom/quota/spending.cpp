#include "rudderloom/quota/spending.hpp"

#include <algorithm>  // for max, min
#include <cmath>      // for exp

namespace rudderloom {

namespace {

// Long enough for a customer with one request per second to appear steady.
constexpr double kDecaySeconds = 5.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double AllowedExcess(const QuotaLimit& limit, const QuotaBounds& bounds) {
  const double allowed = static_cast<double>(limit.per_second) * Seconds(bounds.window) +
                         static_cast<double>(limit.burst);
  return bounds.overshoot * allowed + bounds.slack;
}

std::int64_t MaxBalance(const QuotaLimit& limit, const QuotaBounds& bounds) {
  return static_cast<std::int64_t>(static_cast<double>(limit.burst) +
                                   kBalanceFractionOfExcess * AllowedExcess(limit, bounds));
}

double AssumedLevel(AssumedBalance unknown,
                    const QuotaLimit& limit,
                    const QuotaBounds& bounds,
                    TimePoint since,
                    TimePoint now) {
  constexpr double kQuarter = 0.25;
  const auto max_level = static_cast<double>(MaxBalance(limit, bounds));
  if (unknown == AssumedBalance::kFull) {
    return max_level;
  }
  const double seconds = std::max(0.0, std::chrono::duration<double>(now - since).count());
  const double level = unknown == AssumedBalance::kQuarter ? kQuarter * max_level : 0.0;
  return std::min(max_level, level + static_cast<double>(limit.per_second) * seconds);
}

void MergeUnreported(const SpendingTable& earlier, SpendingTable& newer) {
  for (const auto& [customer, spending] : earlier) {
    Spending& sum = newer[customer];
    sum.spent += spending.spent;
    sum.asked += spending.asked;
  }
}

void DecayingRate::Add(std::uint64_t amount, TimePoint now) {
  sum_ = PerSecond(now) * kDecaySeconds + static_cast<double>(amount);
  decayed_at_ = now;
}

double DecayingRate::PerSecond(TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - decayed_at_).count();
  return sum_ / kDecaySeconds * std::exp(-seconds / kDecaySeconds);
}

}  // namespace rudderloom
