#include "rudderloom/quota/turn_table.hpp"

#include <algorithm>  // for max, sort
#include <utility>    // for move
#include <vector>     // for vector

namespace rudderloom {

void TurnTable::Heard(const std::string& node, std::uint32_t count, TimePoint heard_at) {
  TimePoint& last = heard_at_[node];
  last = std::max(last, heard_at);
  const auto known = spans_.find(node);
  if (known != spans_.end() && known->second.count >= count) {
    return;
  }
  spans_.erase(node);
  spans_[node] = {FirstFree(count), count};
}

void TurnTable::Assign(TurnSpans spans) {
  spans_ = std::move(spans);
  heard_at_.clear();
}

void TurnTable::Expire(TimePoint now) {
  std::erase_if(spans_,
                [&](const auto& entry) { return now - heard_at_[entry.first] > kTurnReserveTime; });
  std::erase_if(heard_at_, [&](const auto& entry) { return !spans_.contains(entry.first); });
}

std::uint32_t TurnTable::Positions() const {
  std::uint32_t positions = 0;
  for (const auto& [node, span] : spans_) {
    positions = std::max(positions, span.first + span.count - 1);
  }
  return positions;
}

double TurnTable::SilentFraction(TimePoint now) const {
  double silent = 0.0;
  double all = 0.0;
  for (const auto& [node, span] : spans_) {
    all += span.count;
    silent += now - heard_at_.at(node) > kSilentAfter ? span.count : 0.0;
  }
  return all > 0.0 ? silent / all : 0.0;
}

std::uint32_t TurnTable::FirstFree(std::uint32_t count) const {
  std::vector<TurnSpan> used;
  for (const auto& [node, span] : spans_) {
    used.push_back(span);
  }
  std::sort(used.begin(), used.end(),
            [](const TurnSpan& a, const TurnSpan& b) { return a.first < b.first; });
  std::uint32_t first = 1;
  for (const TurnSpan& span : used) {
    if (span.first >= first + count) {
      break;
    }
    first = std::max(first, span.first + span.count);
  }
  return first;
}

}  // namespace rudderloom
