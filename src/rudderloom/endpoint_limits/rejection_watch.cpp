#include "rudderloom/endpoint_limits/rejection_watch.hpp"

#include <algorithm>  // for clamp, max
#include <utility>    // for exchange

namespace rudderloom {

namespace {

// An announcement without a later answer is forgotten.
constexpr Duration kToleranceLifetime{10'000};
constexpr Duration kRejectionRetention{60'000};
constexpr Duration kMinPause{1'000};
constexpr Duration kMaxPause{8'000};
constexpr double kMinTolerance = 0.25;  // rejections per second
constexpr double kMillisecondsPerSecond = 1'000.0;

}  // namespace

void RejectionWatch::Answered(const std::string& service,
                              const LimitAnnouncement& tolerated,
                              bool is_signed,
                              TimePoint sent_at,
                              TimePoint now) {
  switch (tolerated.kind) {
    case LimitAnnouncement::Kind::kLimited:
      tolerances_[service] = {tolerated.requests_per_second, now};
      break;
    case LimitAnnouncement::Kind::kNone: {
      const auto known = tolerances_.find(service);
      if (is_signed && known != tolerances_.end() && sent_at > known->second.announced_at) {
        tolerances_.erase(known);
      }
      break;
    }
    case LimitAnnouncement::Kind::kUnreadable:
      break;
  }
}

bool RejectionWatch::NeedsFreeSlot(const std::string& service, TimePoint now) const {
  const auto known = tolerances_.find(service);
  return known != tolerances_.end() && now - known->second.announced_at < kToleranceLifetime;
}

Duration RejectionWatch::PauseAfterRejection(const std::string& service,
                                             std::uint32_t live_nodes,
                                             TimePoint now) const {
  if (!NeedsFreeSlot(service, now)) {
    return Duration(0);
  }
  const double tolerated = std::max(kMinTolerance, tolerances_.at(service).rejections_per_second);
  const Duration pause(static_cast<Duration::rep>(kMillisecondsPerSecond * live_nodes / tolerated));
  return std::clamp(pause, kMinPause, kMaxPause);
}

std::optional<Duration> RejectionWatch::RecordRejection(EndpointKey endpoint, TimePoint now) {
  const auto [last, is_first] = rejected_at_.try_emplace(endpoint, now);
  if (is_first) {
    return std::nullopt;
  }
  return Between(std::exchange(last->second, now), now);
}

void RejectionWatch::Trim(TimePoint now) {
  std::erase_if(rejected_at_,
                [&](const auto& entry) { return now - entry.second >= kRejectionRetention; });
  std::erase_if(tolerances_, [&](const auto& entry) {
    return now - entry.second.announced_at >= kToleranceLifetime;
  });
}

}  // namespace rudderloom
