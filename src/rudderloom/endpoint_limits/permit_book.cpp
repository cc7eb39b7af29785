#include "rudderloom/endpoint_limits/permit_book.hpp"

#include <algorithm>  // for max, min

namespace rudderloom {

namespace {

// An endpoint that announces less still gets occasional requests, whose answers show the end of the
// limit.
constexpr double kMinRequestsPerSecond = 0.05;
constexpr Duration kTrimInterval{10'000};

TimePoint::duration Interval(double requests_per_second) {
  const double seconds = 1.0 / std::max(kMinRequestsPerSecond, requests_per_second);
  return std::chrono::ceil<TimePoint::duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

std::string_view NameOf(PermitVerdict verdict) {
  switch (verdict) {
    case PermitVerdict::kNotGranting:
      return "not_granting";
    case PermitVerdict::kGranted:
      return "granted";
    case PermitVerdict::kRefused:
      return "refused";
  }
  return "unknown";
}

PermitAnswer PermitBook::Ask(const PermitRequest& ask, const PermitBasis& basis, TimePoint now) {
  if (now < basis.valid_from || now >= basis.valid_until) {
    return {};
  }
  Trim(now);
  TimePoint& next_at = next_at_[ask.endpoint];
  const TimePoint start = std::max(now, next_at);
  const auto wait = std::chrono::ceil<Duration>(start - now);
  if (wait > std::min(ask.max_wait, kMaxPermitWait) || start >= basis.valid_until) {
    return {PermitVerdict::kRefused, wait};
  }
  next_at = start + Interval(ask.requests_per_second * basis.fraction);
  return {PermitVerdict::kGranted, wait};
}

void PermitBook::Trim(TimePoint now) {
  if (now - trimmed_at_ < kTrimInterval) {
    return;
  }
  trimmed_at_ = now;
  std::erase_if(next_at_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace rudderloom
