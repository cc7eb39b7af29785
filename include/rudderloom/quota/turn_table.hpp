/// @file
/// Assigns the positions in which nodes take turns, see `TurnAt`.
#ifndef RUDDERLOOM_QUOTA_TURN_TABLE_HPP
#define RUDDERLOOM_QUOTA_TURN_TABLE_HPP

#include <cstdint>  // for uint32_t
#include <map>      // for map
#include <string>   // for string

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

/// @brief Time after which a node without reports counts as silent: three report intervals, and
/// less than the age of a digest from which relays grant (`kMaxGrantDigestAge`).
/// @ingroup quota
constexpr Duration kSilentAfter{750};

/// @brief Assigns positions that do not change while a node is known: nodes with an older digest
/// rely on theirs. Does no I/O; time is passed in.
/// @ingroup quota
class TurnTable {
 public:
  /// @brief Records a node that was heard at this time, for itself and the nodes it reports for.
  void Heard(const std::string& node, std::uint32_t count, TimePoint heard_at);

  /// @brief Replaces all positions, as a relay that received its group's.
  void Assign(TurnSpans spans);

  /// @brief Removes nodes that were silent for `kTurnReserveTime`.
  void Expire(TimePoint now);

  const TurnSpans& Spans() const { return spans_; }

  /// @brief Returns the last position in use.
  std::uint32_t Positions() const;

  /// @brief Returns the fraction of the positions that belong to silent nodes.
  double SilentFraction(TimePoint now) const;

 private:
  std::uint32_t FirstFree(std::uint32_t count) const;

  TurnSpans spans_;
  std::map<std::string, TimePoint> heard_at_;
};

}  // namespace rudderloom

#endif
