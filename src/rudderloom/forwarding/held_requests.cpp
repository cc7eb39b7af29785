#include "rudderloom/forwarding/held_requests.hpp"

#include <algorithm>  // for clamp
#include <iterator>   // for distance
#include <utility>    // for move

namespace rudderloom {

namespace {

constexpr Duration kMinHoldInterval{30};
constexpr Duration kMaxHoldInterval{400};
// Part of the time waited so far that passes before the next decision.
constexpr int kHoldIntervalDivisor = 4;

}  // namespace

HeldRequests::Position HeldRequests::PositionOf(const HeldRequest& request) {
  return {request.priority, !request.retried};
}

void HeldRequests::Add(const HeldRequest& request) {
  positions_[request.target].insert(PositionOf(request));
}

void HeldRequests::Remove(const HeldRequest& request) {
  const auto found = positions_.find(request.target);
  if (found == positions_.end()) {
    return;
  }
  auto& positions = found->second;
  if (const auto one = positions.find(PositionOf(request)); one != positions.end()) {
    positions.erase(one);
  }
  if (positions.empty()) {
    positions_.erase(found);
  }
}

bool HeldRequests::AnyBefore(const HeldRequest& request) const {
  const auto found = positions_.find(request.target);
  return found != positions_.end() && *found->second.begin() < PositionOf(request);
}

std::size_t HeldRequests::CountUpTo(const HeldRequest& request) const {
  const auto found = positions_.find(request.target);
  if (found == positions_.end()) {
    return 0;
  }
  const auto& positions = found->second;
  return static_cast<std::size_t>(
      std::distance(positions.begin(), positions.upper_bound(PositionOf(request))));
}

std::size_t HeldRequests::Size() const {
  std::size_t size = 0;
  for (const auto& [target, positions] : positions_) {
    size += positions.size();
  }
  return size;
}

ScopedHold::ScopedHold(HeldRequests& held, HeldRequest request)
    : held_(held), request_(std::move(request)) {
  held_.Add(request_);
}

ScopedHold::~ScopedHold() {
  held_.Remove(request_);
}

bool GetsTurnBehind(std::size_t ahead, Duration interval, Duration left) {
  return ahead == 0 || interval * (ahead + 1) <= left;
}

Duration HoldInterval(Duration waited, std::uint64_t random) {
  const Duration longest =
      std::clamp(waited / kHoldIntervalDivisor, kMinHoldInterval, kMaxHoldInterval);
  const auto half = static_cast<std::uint64_t>(longest.count()) / 2;
  return longest - Duration(static_cast<Duration::rep>(random % (half + 1)));
}

}  // namespace rudderloom
