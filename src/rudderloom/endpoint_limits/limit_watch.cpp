#include "rudderloom/endpoint_limits/limit_watch.hpp"

namespace rudderloom {

LimitChange LimitWatch::Answered(EndpointKey endpoint,
                                 const LimitAnnouncement& announcement,
                                 TimePoint sent_at,
                                 TimePoint now) {
  switch (announcement.kind) {
    case LimitAnnouncement::Kind::kLimited:
      return book_.Take(endpoint, {announcement.requests_per_second, now});
    case LimitAnnouncement::Kind::kNone:
      return book_.Take(endpoint, {std::nullopt, sent_at});
    case LimitAnnouncement::Kind::kUnreadable:
      break;
  }
  return LimitChange::kNone;
}

std::optional<double> LimitWatch::LimitOf(EndpointKey endpoint) const {
  const auto known = book_.All().find(endpoint);
  return known == book_.All().end() ? std::nullopt : known->second.requests_per_second;
}

}  // namespace rudderloom
