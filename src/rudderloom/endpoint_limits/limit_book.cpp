#include "rudderloom/endpoint_limits/limit_book.hpp"

#include <algorithm>  // for max

namespace rudderloom {

namespace {

// By then every node that hears others has received the end of a limit.
constexpr Duration kEndedKept{10'000};

}  // namespace

LimitChange LimitBook::Take(EndpointKey endpoint, const EndpointLimit& limit) {
  const auto known = limits_.find(endpoint);
  if (known == limits_.end()) {
    if (!limit.requests_per_second) {
      return LimitChange::kNone;
    }
    limits_.emplace(endpoint, limit);
    return LimitChange::kChanged;
  }
  EndpointLimit& kept = known->second;
  const bool ends_as_observed = limit.observed_at == kept.observed_at && !limit.requests_per_second;
  if (limit.observed_at < kept.observed_at || ends_as_observed) {
    return LimitChange::kNone;
  }
  const bool changed = limit.requests_per_second != kept.requests_per_second;
  kept = limit;
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
  EndpointLimits since;
  for (const auto& [endpoint, limit] : limits_) {
    if (limit.observed_at >= moment) {
      since.emplace(endpoint, limit);
    }
  }
  return since;
}

void LimitBook::Expire(const std::function<bool(EndpointKey)>& listed, TimePoint now) {
  std::erase_if(limits_, [&](const auto& entry) {
    const bool ended = !entry.second.requests_per_second;
    return !listed(entry.first) || (ended && now - entry.second.observed_at > kEndedKept);
  });
}

}  // namespace rudderloom
