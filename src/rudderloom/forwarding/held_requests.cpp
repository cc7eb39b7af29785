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

void HeldRequests::Add(const HeldRequest& request) {
  priorities_[request.target].insert(request.priority);
}

void HeldRequests::Remove(const HeldRequest& request) {
  const auto found = priorities_.find(request.target);
  if (found == priorities_.end()) {
    return;
  }
  auto& priorities = found->second;
  if (const auto one = priorities.find(request.priority); one != priorities.end()) {
    priorities.erase(one);
  }
  if (priorities.empty()) {
    priorities_.erase(found);
  }
}

bool HeldRequests::AnyBefore(const HeldRequest& request) const {
  const auto found = priorities_.find(request.target);
  return found != priorities_.end() && *found->second.begin() < request.priority;
}

std::size_t HeldRequests::CountUpTo(const HeldRequest& request) const {
  const auto found = priorities_.find(request.target);
  if (found == priorities_.end()) {
    return 0;
  }
  const auto& priorities = found->second;
  return static_cast<std::size_t>(
      std::distance(priorities.begin(), priorities.upper_bound(request.priority)));
}

std::size_t HeldRequests::Size() const {
  std::size_t size = 0;
  for (const auto& [target, priorities] : priorities_) {
    size += priorities.size();
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
