/// @file
/// Assigns the positions in which nodes take turns, see `TurnAt`.
#ifndef RUDDERLOOM_QUOTA_TURN_TABLE_HPP
#define RUDDERLOOM_QUOTA_TURN_TABLE_HPP

#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <string>   // for string
#include <vector>   // for vector

#include "rudderloom/base/clock.hpp"  // for TimePoint

namespace rudderloom {

/// @brief Successive positions of a node and of the nodes that report through it.
/// @ingroup quota
struct TurnSpan {
  std::uint32_t first = 0;  ///< Of the node itself, from 1; 0: none.
  std::uint32_t count = 0;
  bool operator==(const TurnSpan&) const = default;
};

/// @brief Positions by node name.
/// @ingroup quota
using TurnSpans = std::map<std::string, TurnSpan>;

/// @brief Time for which a silent node keeps its positions and its part of the rate. It may be
/// alive and take turns; a holder with an eighth of its CPU was slow for 12 s.
/// @ingroup quota
constexpr Duration kTurnReserveTime{12'000};

/// @brief Time after which a node without reports counts as silent: two report intervals. What its
/// turns spend until then is not covered by the balance: with 750 ms this is more than the bound
/// leaves for a small customer.
/// @ingroup quota
constexpr Duration kSilentAfter{500};

/// @brief A time in which a silent node may have taken its turns.
/// @ingroup quota
struct SilentTurns {
  TurnSpan span;
  std::uint32_t positions = 0;  ///< Of all nodes, when the node was last heard.
  TimePoint after;
  TimePoint until;  ///< Inclusive.
  bool operator==(const SilentTurns&) const = default;
};

/// @brief Assigns positions that do not change while a node is known: nodes with an older digest
/// rely on theirs. Does no I/O; time is passed in.
/// @ingroup quota
class TurnTable {
 public:
  /// @brief Restricts positions to this range, as a relay that received its group's. A changed
  /// range discards all positions.
  void SetRange(const TurnSpan& range);

  /// @brief Records a node that was heard at this time, for itself and the nodes it reports for. A
  /// node for which the range has no free positions gets none.
  void Heard(const std::string& node, std::uint32_t count, TimePoint heard_at);

  /// @brief Removes nodes that were silent for `kTurnReserveTime`.
  void Expire(TimePoint now);

  const TurnSpans& Spans() const { return spans_; }

  /// @brief Returns the last position in use.
  std::uint32_t Positions() const;

  /// @brief Returns the times since the last call in which silent nodes may have taken turns. For a
  /// node that became silent since then, this begins when it was last heard.
  std::vector<SilentTurns> TakeSilent(TimePoint now);

  /// @brief Returns the fraction of the positions that belong to nodes for which others reported
  /// within `kTurnReserveTime`, but do not any more.
  double MissingFraction() const;

 private:
  struct Known {
    TimePoint heard_at;
    TimePoint reserved_until;     // end of the times that `TakeSilent` returned
    std::uint32_t reported = 0;   // nodes it reports for
    std::uint32_t most = 0;       // the same, within `kTurnReserveTime`
    TimePoint most_at;            // last time of this number
    std::uint32_t positions = 0;  // of all nodes, when it was heard
  };

  std::uint32_t FirstFree(std::uint32_t count) const;

  TurnSpan range_{1, 0};  // a count of 0: not restricted
  TurnSpans spans_;
  std::map<std::string, Known> known_;
};

}  // namespace rudderloom

#endif
