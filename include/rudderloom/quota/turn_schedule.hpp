/// @file
/// Turns in which a node that can ask no granting node runs requests beyond its share of a quota.
#ifndef RUDDERLOOM_QUOTA_TURN_SCHEDULE_HPP
#define RUDDERLOOM_QUOTA_TURN_SCHEDULE_HPP

#include "rudderloom/quota/spending.hpp"  // for QuotaBounds, TurnPlan

namespace rudderloom {

/// @brief Fraction of a customer's rate that turns use. The rest is spent by shares, which nodes
/// keep during turns.
/// @ingroup quota
constexpr double kTurnFraction = 0.75;

/// @brief A node's turns under one limit.
/// @ingroup quota
struct Turn {
  bool open = false;    ///< Requests may run now.
  double budget = 0.0;  ///< For all requests of one turn together, in the limit's unit.
  TimePoint began_at;   ///< Of the open or the previous turn.
  Duration cycle{0};    ///< Between two turns of a node; zero if it has none.
  Duration wait{0};     ///< Until the next turn opens.
};

/// @brief Returns the node's turn at `now`. A node without a position has no turns.
///
/// Turns begin one after the other, spaced so that their budgets add up to kTurnFraction * rate.
/// What a turn leaves unused expires. Within any window W all nodes together therefore spend at
/// most kTurnFraction * rate * W plus three eighths of the allowed overshoot, for any number of
/// nodes.
/// @ingroup quota
Turn TurnAt(const TurnPlan& plan,
            const QuotaLimit& limit,
            const QuotaBounds& bounds,
            TimePoint now);

}  // namespace rudderloom

#endif
