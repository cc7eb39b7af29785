#include "rudderloom/endpoint_limits/limit_book.hpp"

#include <algorithm>  // for max

namespace rudderloom {

namespace {

// After this time every connected node has received the end of a limit.
constexpr Duration kEndedLimitRetention{10'000};

}  // namespace

LimitChange LimitBook::Take(EndpointKey endpoint, const EndpointLimit& limit) {
  const auto known = limits_.find(endpoint);
  if (known == limits_.end()) {
    if (!limit.Any()) {
      return LimitChange::kNone;
    }
    limits_.emplace(endpoint, limit);
    return LimitChange::kChanged;
  }
  EndpointLimit& stored = known->second;
  const bool end_at_same_time = limit.observed_at == stored.observed_at && !limit.Any();
  if (limit.observed_at < stored.observed_at || end_at_same_time) {
    return LimitChange::kNone;
  }
  const bool changed = limit.requests_per_second != stored.requests_per_second ||
                       limit.rejections_per_second != stored.rejections_per_second;
  stored = limit;
  return changed ? LimitChange::kChanged : LimitChange::kRefreshed;
}

LimitChange LimitBook::Take(const EndpointLimits& limits) {
  LimitChange largest = LimitChange::kNone;
  for (const auto& [endpoint, limit] : limits) {
    largest = std::max(largest, Take(endpoint, limit));
  }
  return largest;
}

EndpointLimits LimitBook::Since(TimePoint moment) const {
  EndpointLimits recent;
  for (const auto& [endpoint, limit] : limits_) {
    if (limit.observed_at >= moment) {
      recent.emplace(endpoint, limit);
    }
  }
  return recent;
}

void LimitBook::Expire(const std::function<bool(EndpointKey)>& listed, TimePoint now) {
  std::erase_if(limits_, [&](const auto& entry) {
    const bool ended = !entry.second.Any();
    return !listed(entry.first) || (ended && now - entry.second.observed_at > kEndedLimitRetention);
  });
}

}  // namespace rudderloom
