#include "rudderloom/endpoint_limits/limit_exchange.hpp"

#include <algorithm>  // for max
#include <utility>    // for exchange

namespace rudderloom {

namespace {

// Long enough to reach a holder that acquires the lease in the meantime.
constexpr Duration kReportTime{4'000};
// An unchanged limit is sent again at this interval: nodes need its latest observation time.
constexpr Duration kRefreshInterval{1'000};

EndpointLimits FromAges(const SentLimits& limits, TimePoint now) {
  EndpointLimits observed;
  for (const auto& [endpoint, limit] : limits) {
    observed[endpoint] = {limit.requests_per_second, now - limit.age, limit.rejections_per_second};
  }
  return observed;
}

}  // namespace

SentLimits ToSentLimits(const EndpointLimits& limits, TimePoint now) {
  SentLimits sent;
  for (const auto& [endpoint, limit] : limits) {
    const Duration age = std::max(Duration(0), Between(limit.observed_at, now));
    sent[endpoint] = {limit.requests_per_second, age, limit.rejections_per_second};
  }
  return sent;
}

bool LimitExchange::Observed(const SentLimits& limits, TimePoint now) {
  if (limits.empty()) {
    return false;
  }
  const EndpointLimits observed = FromAges(limits, now);
  const LimitChange change = observed_.Take(observed);
  Merge(observed, now);
  return change == LimitChange::kChanged;
}

SentLimits LimitExchange::ToReport(TimePoint now) const {
  return ToSentLimits(observed_.Since(now - kReportTime), now);
}

void LimitExchange::Received(const LimitTable& table, TimePoint sent_at) {
  version_ = table.version;
  Merge(FromAges(table.limits, sent_at), sent_at);
}

void LimitExchange::Begin(std::uint64_t epoch) {
  holding_epoch_ = epoch;
  changes_ = 0;
  if (!known_.All().empty()) {
    RaiseVersion(version_raised_at_);
  }
}

LimitTable LimitExchange::Table(TimePoint sent_at) const {
  if (known_.All().empty()) {
    return {};
  }
  return {version_, ToSentLimits(known_.All(), sent_at)};
}

void LimitExchange::Expire(const std::function<bool(EndpointKey)>& listed, TimePoint now) {
  if (known_.All().empty() && observed_.All().empty()) {
    return;
  }
  const std::size_t before = known_.All().size();
  known_.Expire(listed, now);
  observed_.Expire(listed, now);
  if (known_.All().size() != before) {
    Publish();
  }
}

bool LimitExchange::TakeChanged() {
  return std::exchange(changed_, false);
}

void LimitExchange::Merge(const EndpointLimits& limits, TimePoint now) {
  const LimitChange change = known_.Take(limits);
  if (change == LimitChange::kNone) {
    return;
  }
  const bool refresh = now - version_raised_at_ >= kRefreshInterval;
  if (holding_epoch_ && (change == LimitChange::kChanged || refresh)) {
    RaiseVersion(now);
  }
  Publish();
}

void LimitExchange::Publish() {
  for_traffic_ =
      known_.All().empty() ? nullptr : std::make_shared<const EndpointLimits>(known_.All());
  changed_ = true;
}

void LimitExchange::RaiseVersion(TimePoint now) {
  constexpr unsigned kEpochShift = 32;
  version_ = (*holding_epoch_ << kEpochShift) | (++changes_ & 0xffffffffU);
  version_raised_at_ = now;
}

}  // namespace rudderloom
