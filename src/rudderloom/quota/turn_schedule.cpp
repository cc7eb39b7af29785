#include "rudderloom/quota/turn_schedule.hpp"

#include <algorithm>  // for max, min

namespace rudderloom {

namespace {

// Part of the allowed excess. The largest budget adds a fifth of it to a window, and the open time
// a tenth: with spending that is not booked yet they stay within the three quarters that
// `MaxBalance` leaves.
constexpr double kUnitFraction = 0.05;
constexpr double kTurnFraction = 0.75;
// Without an allowed excess. Shares spend a quarter of the rate, and turns half of it. The largest
// budget and the open time then add at most three sixteenths of the rate over a window, which
// leaves a sixteenth for clocks that differ and for spending that is not booked yet.
constexpr double kTurnFractionWithoutExcess = 0.5;
constexpr double kLargestFractionOfWindow = 0.125;
// With the quarter of the rate that turns do not use, a window recovers three quarters of the level
// before turns begin: the six units of the largest budget and the open time.
constexpr double kStartLevelInUnits = 8.0;

constexpr double kMeanUnits = 2.0;
constexpr double kOpenUnits = 2.0;
constexpr int kLargestUnits = 4;

using Seconds = std::chrono::duration<double>;

// Of four successive turns one has four units, one has two and two have one, so that requests of
// different sizes run without the nodes agreeing on a size.
int UnitsOf(std::int64_t turn) {
  constexpr int kMediumUnits = 2;
  if (turn % kLargestUnits == 0) {
    return kLargestUnits;
  }
  return turn % kMediumUnits == 0 ? kMediumUnits : 1;
}

// An odd number of turns in a cycle gives each node turns of all sizes.
std::int64_t TurnsPerCycle(const TurnPlan& plan) {
  return plan.positions | 1U;
}

}  // namespace

double TurnTerms::LargestBudget() const {
  return kLargestUnits * unit;
}

TurnTerms TurnTermsOf(const QuotaLimit& limit, const QuotaBounds& bounds) {
  const auto rate = static_cast<double>(limit.per_second);
  const double excess = AllowedExcess(limit, bounds);
  if (excess > 0.0) {
    return {kUnitFraction * excess, kTurnFraction * rate, 0.0};
  }
  const double within_window = rate * Seconds(bounds.window).count();
  const double largest =
      std::min(static_cast<double>(limit.burst), kLargestFractionOfWindow * within_window);
  const double unit = largest / kLargestUnits;
  return {unit, kTurnFractionWithoutExcess * rate, kStartLevelInUnits * unit};
}

double TurnBudgets(const SilentTurns& silent, const TurnTerms& terms, TimePoint origin) {
  double budgets = 0.0;
  for (std::uint32_t i = 0; i < silent.span.count; ++i) {
    const TurnPlan plan{silent.span.first + i, silent.positions, origin};
    TimePoint until = silent.until;
    for (Turn turn = TurnAt(plan, terms, until);
         turn.cycle > Duration(0) && turn.budget > 0.0 && turn.began_at > silent.after;
         turn = TurnAt(plan, terms, until)) {
      budgets += turn.budget;
      until = turn.began_at - Duration(1);
    }
  }
  return budgets;
}

Turn TurnAt(const TurnPlan& plan, const TurnTerms& terms, TimePoint now) {
  Turn turn;
  const bool has_position = plan.position > 0 && plan.position <= plan.positions;
  if (!has_position || terms.per_second <= 0.0 || terms.unit <= 0.0) {
    return turn;
  }
  const auto spacing =
      std::chrono::ceil<Duration>(Seconds(kMeanUnits * terms.unit / terms.per_second));
  const auto open = std::max(Duration(1), std::chrono::duration_cast<Duration>(
                                              Seconds(kOpenUnits * terms.unit / terms.per_second)));
  const std::int64_t turns = TurnsPerCycle(plan);
  const auto offset = spacing * (plan.position - 1);
  const auto since_first = std::chrono::duration_cast<Duration>(now - plan.origin) - offset;
  turn.cycle = spacing * turns;
  if (since_first < Duration(0)) {
    turn.wait = -since_first;
    return turn;
  }
  const std::int64_t cycle = since_first / turn.cycle;
  const Duration into_cycle = since_first % turn.cycle;
  turn.budget = terms.unit * UnitsOf(cycle * turns + plan.position - 1);
  turn.began_at = now - into_cycle;
  turn.open = into_cycle < open;
  turn.wait = turn.cycle - into_cycle;
  return turn;
}

std::optional<Duration> WaitForTurn(const TurnPlan& plan,
                                    const TurnTerms& terms,
                                    std::uint64_t amount,
                                    TimePoint not_before,
                                    TimePoint now) {
  if (terms.LargestBudget() < static_cast<double>(amount)) {
    return std::nullopt;
  }
  const TimePoint from = std::max(now, not_before);
  const Turn first = TurnAt(plan, terms, from);
  // Four successive turns of a node have all sizes.
  for (int i = 0; first.cycle > Duration(0) && i < kLargestUnits; ++i) {
    const TimePoint begin = from + first.wait + i * first.cycle;
    if (TurnAt(plan, terms, begin).budget >= static_cast<double>(amount)) {
      return Between(now, begin);
    }
  }
  return std::nullopt;
}

}  // namespace rudderloom
