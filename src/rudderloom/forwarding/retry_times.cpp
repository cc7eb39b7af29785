#include "rudderloom/forwarding/retry_times.hpp"

#include <algorithm>  // for clamp, max, min

namespace rudderloom {

namespace {

Duration RandomPart(Duration interval, std::uint64_t random) {
  const auto length = static_cast<std::uint64_t>(interval.count());
  return Duration(static_cast<Duration::rep>(random % (length + 1)));
}

}  // namespace

Duration RetryInterval(const RetryCapacity& capacity) {
  const Duration spacing = std::clamp(capacity.spacing, Duration(0), kMaxRetryDelay);
  const Duration::rep endpoints = std::max(1U, capacity.endpoints);
  const Duration::rep nodes = std::max(1U, capacity.live_nodes);
  return std::min(kMaxRetryDelay, spacing * nodes / endpoints);
}

Duration RetryTimes::Take(const HeldFor& target,
                          const RetryRoom& room,
                          std::uint64_t random,
                          TimePoint now) {
  std::erase_if(next_free_, [&](const auto& entry) { return entry.second <= now; });
  const TimePoint latest = now + kMaxRetryDelay;
  const TimePoint has_room = now + std::clamp(room.first, Duration(0), kMaxRetryDelay);
  const Duration step = std::clamp(room.interval, Duration(0), kMaxRetryDelay);
  const auto found = next_free_.find(target);
  const TimePoint next =
      found == next_free_.end() ? has_room + RandomPart(step, random) : found->second;
  const TimePoint told = std::clamp(next, has_room, latest);
  next_free_.insert_or_assign(target, std::min(latest, told + step));
  return Between(now, told);
}

}  // namespace rudderloom
