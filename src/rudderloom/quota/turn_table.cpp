#include "rudderloom/quota/turn_table.hpp"

#include <algorithm>  // for max, sort
#include <vector>     // for vector

namespace rudderloom {

void TurnTable::SetRange(const TurnSpan& range) {
  if (range == range_) {
    return;
  }
  range_ = range;
  spans_.clear();
  known_.clear();
}

void TurnTable::Heard(const std::string& node, std::uint32_t count, TimePoint heard_at) {
  const auto span = spans_.find(node);
  if (span == spans_.end() || span->second.count < count) {
    spans_.erase(node);
    const std::uint32_t first = FirstFree(count);
    if (range_.count > 0 && first + count > range_.first + range_.count) {
      known_.erase(node);
      return;
    }
    spans_[node] = {first, count};
  }
  Known& known = known_[node];
  known.heard_at = std::max(known.heard_at, heard_at);
  known.reported = count;
  if (count >= known.most || heard_at - known.most_at > kTurnReserveTime) {
    known.most = count;
    known.most_at = heard_at;
  }
  known.positions = Positions();
}

void TurnTable::Expire(TimePoint now) {
  std::erase_if(known_,
                [&](const auto& entry) { return now - entry.second.heard_at > kTurnReserveTime; });
  std::erase_if(spans_, [&](const auto& entry) { return !known_.contains(entry.first); });
}

std::uint32_t TurnTable::Positions() const {
  std::uint32_t positions = 0;
  for (const auto& [node, span] : spans_) {
    positions = std::max(positions, span.first + span.count - 1);
  }
  return positions;
}

std::vector<SilentTurns> TurnTable::TakeSilent(TimePoint now) {
  std::vector<SilentTurns> silent;
  const std::uint32_t positions = Positions();
  for (auto& [node, known] : known_) {
    if (now - known.heard_at <= kSilentAfter) {
      known.positions = positions;
      continue;
    }
    const TimePoint after = std::max(known.heard_at, known.reserved_until);
    silent.push_back({spans_.at(node), known.positions, after, now});
    known.reserved_until = now;
  }
  return silent;
}

double TurnTable::MissingFraction() const {
  double missing = 0.0;
  double all = 0.0;
  for (const auto& [node, span] : spans_) {
    all += span.count;
    const Known& known = known_.at(node);
    missing += known.most - known.reported;
  }
  return all > 0.0 ? missing / all : 0.0;
}

std::uint32_t TurnTable::FirstFree(std::uint32_t count) const {
  std::vector<TurnSpan> used;
  for (const auto& [node, span] : spans_) {
    used.push_back(span);
  }
  std::sort(used.begin(), used.end(),
            [](const TurnSpan& a, const TurnSpan& b) { return a.first < b.first; });
  std::uint32_t first = range_.first;
  for (const TurnSpan& span : used) {
    if (span.first >= first + count) {
      break;
    }
    first = std::max(first, span.first + span.count);
  }
  return first;
}

}  // namespace rudderloom
