/// @file
/// Turns in which a node that can ask no granting node runs requests beyond its share of a quota.
#ifndef RUDDERLOOM_QUOTA_TURN_SCHEDULE_HPP
#define RUDDERLOOM_QUOTA_TURN_SCHEDULE_HPP

#include <cstdint>   // for uint64_t
#include <optional>  // for optional

#include "rudderloom/quota/spending.hpp"    // for QuotaBounds, TurnPlan
#include "rudderloom/quota/turn_table.hpp"  // for SilentTurns

namespace rudderloom {

/// @brief What a customer's turns add up to over all nodes.
///
/// Budgets are one, two or four units, on average two. Where the bounds allow an excess H over the
/// limit, turns use three quarters of the rate, and the largest budget is H/5: with the open time
/// they exceed that part of the rate by three tenths of H within a window.
///
/// Where they allow none, turns use half of the rate. The quarter that is left unused over a window
/// then covers the largest budget, which is the burst or, for a burst that is too large for this,
/// an eighth of what the rate gives within a window.
/// @ingroup quota
struct TurnTerms {
  double unit = 0.0;         ///< In the limit's unit.
  double per_second = 0.0;   ///< Spent by all turns.
  double start_level = 0.0;  ///< Turns begin when the last known balance has recovered to this.
  double LargestBudget() const;
};

/// @brief Returns the terms of the turns under a limit.
/// @ingroup quota
TurnTerms TurnTermsOf(const QuotaLimit& limit, const QuotaBounds& bounds);

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
/// Turns begin one after the other, spaced so that their budgets add up to `TurnTerms::per_second`.
/// What a turn leaves unused expires. Within any window all nodes together therefore spend at most
/// that rate plus six units, for any number of nodes.
/// @ingroup quota
Turn TurnAt(const TurnPlan& plan, const TurnTerms& terms, TimePoint now);

/// @brief Returns the budgets of all turns that begin in the times of silent nodes.
/// @param origin Start of the turns' clock.
/// @ingroup quota
double TurnBudgets(const SilentTurns& silent, const TurnTerms& terms, TimePoint origin);

/// @brief Returns the time until the node's next turn whose budget admits a request of this amount.
/// Empty if no turn of the node does.
/// @param not_before The turn begins at this time or later.
/// @ingroup quota
std::optional<Duration> WaitForTurn(const TurnPlan& plan,
                                    const TurnTerms& terms,
                                    std::uint64_t amount,
                                    TimePoint not_before,
                                    TimePoint now);

}  // namespace rudderloom

#endif
