#include "rudderloom/quota/grant_book.hpp"

#include <algorithm>  // for max, min
#include <cmath>      // for ceil

namespace rudderloom {

std::string_view NameOf(SpendVerdict verdict) {
  switch (verdict) {
    case SpendVerdict::kUndecided:
      return "cant_say";
    case SpendVerdict::kGranted:
      return "granted";
    case SpendVerdict::kRefused:
      return "refused";
  }
  return "unknown";
}

double GrantBook::LevelOf(CustomerKey customer, const GrantBasis& basis, TimePoint now) const {
  const QuotaLimit& limit = basis.limits.at(customer);
  const auto reported = basis.balances.find(customer);
  if (reported == basis.balances.end()) {
    return AssumedLevel(basis.assumed, limit, bounds_, basis.unknown_since, now);
  }
  const double age = std::chrono::duration<double>(now - basis.made_at).count();
  const double level = static_cast<double>(reported->second.level) +
                       static_cast<double>(limit.per_second) * std::max(0.0, age);
  return std::min(level, static_cast<double>(MaxBalance(limit, bounds_)));
}

double GrantBook::Available(CustomerKey customer, const GrantBasis& basis, TimePoint now) const {
  const double level = basis.fraction * LevelOf(customer, basis, now);
  const auto granted = outstanding_sums_.find(customer);
  const double outstanding =
      granted == outstanding_sums_.end() ? 0.0 : static_cast<double>(granted->second);
  return level - kSharedFraction * std::max(0.0, level) - outstanding;
}

SpendAnswer GrantBook::Ask(const SpendRequest& ask, const GrantBasis& basis, TimePoint now) {
  while (!outstanding_.empty() && outstanding_.front().number <= basis.counted) {
    const SpendRequest& counted = outstanding_.front().ask;
    outstanding_sums_[counted.customer] -= counted.amount;
    outstanding_.pop_front();
  }
  const bool valid = now >= basis.valid_from && now < basis.valid_until;
  if (!valid || !basis.limits.contains(ask.customer)) {
    return {};
  }
  const double available = Available(ask.customer, basis, now);
  if (available < 0.0) {
    constexpr double kMillisecondsPerSecond = 1'000.0;
    const double rate =
        basis.fraction * static_cast<double>(basis.limits.at(ask.customer).per_second);
    const double wait = std::ceil(-available / rate * kMillisecondsPerSecond);
    return {SpendVerdict::kRefused, Duration(static_cast<Duration::rep>(wait))};
  }
  outstanding_.push_back({next_number_++, ask});
  outstanding_sums_[ask.customer] += ask.amount;
  return {SpendVerdict::kGranted, Duration(0)};
}

}  // namespace rudderloom
