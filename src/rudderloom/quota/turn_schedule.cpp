#include "rudderloom/quota/turn_schedule.hpp"

namespace rudderloom {

namespace {

// Parts of the allowed overshoot. Budgets are 1, 2 or 4 units, on average 2. The largest budget
// adds a quarter of the overshoot to a window, and the open time an eighth: with spending that is
// not booked yet they stay within the three quarters that `MaxBalance` leaves.
constexpr double kUnitFraction = 0.0625;
constexpr double kMeanUnits = 2.0;
constexpr double kOpenFraction = 0.125;

// Of four successive turns one has four units, one has two and two have one, so that requests of
// different sizes run without the nodes agreeing on a size.
double UnitsOf(std::int64_t turn) {
  constexpr std::int64_t kLarge = 4;
  constexpr std::int64_t kMedium = 2;
  if (turn % kLarge == 0) {
    return kLarge;
  }
  return turn % kMedium == 0 ? kMedium : 1;
}

// An odd number of turns in a cycle gives each node turns of all sizes.
std::int64_t TurnsPerCycle(const TurnPlan& plan) {
  return plan.positions | 1U;
}

double Headroom(const QuotaLimit& limit, const QuotaBounds& bounds) {
  const double seconds = std::chrono::duration<double>(bounds.window).count();
  const double allowed =
      static_cast<double>(limit.per_second) * seconds + static_cast<double>(limit.burst);
  return bounds.overshoot * allowed + bounds.slack;
}

}  // namespace

Turn TurnAt(const TurnPlan& plan,
            const QuotaLimit& limit,
            const QuotaBounds& bounds,
            TimePoint now) {
  Turn turn;
  const double headroom = Headroom(limit, bounds);
  const double rate = kTurnFraction * static_cast<double>(limit.per_second);
  const bool has_position = plan.position > 0 && plan.position <= plan.positions;
  if (!has_position || rate <= 0.0 || headroom <= 0.0) {
    return turn;
  }
  using Seconds = std::chrono::duration<double>;
  const double unit = kUnitFraction * headroom;
  const auto spacing = std::chrono::ceil<Duration>(Seconds(kMeanUnits * unit / rate));
  const auto open = std::chrono::duration_cast<Duration>(Seconds(kOpenFraction * headroom / rate));
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
  turn.budget = unit * UnitsOf(cycle * turns + plan.position - 1);
  turn.began_at = now - into_cycle;
  turn.open = into_cycle < open;
  turn.wait = turn.cycle - into_cycle;
  return turn;
}

}  // namespace rudderloom
