#include "rudderloom/fleet/endpoint_source.hpp"

namespace rudderloom {

namespace {

// The holder must have been fresh for so long before a node gives up its own watch.
constexpr Duration kTrustAfter{1'500};
// A list is some 600 ms old on the way through the holder: where it must be younger, nodes would go
// to and fro between the holder and the store.
constexpr Duration kLeastUseful{700};

}  // namespace

void EndpointSource::Heard(Duration age, TimePoint now) {
  if (!HolderIsFresh(now)) {
    fresh_since_.reset();
  }
  holder_confirmed_at_ = now - age;
  if (!HolderIsFresh(now)) {
    fresh_since_.reset();
  } else if (!fresh_since_) {
    fresh_since_ = now;
  }
}

bool EndpointSource::HolderIsFresh(TimePoint now) const {
  return holder_confirmed_at_ && now - *holder_confirmed_at_ <= oldest_;
}

EndpointFollowing EndpointSource::Choose(bool holds, TimePoint now) {
  if (oldest_ < kLeastUseful) {
    return EndpointFollowing::kStore;
  }
  if (holds) {
    fresh_since_.reset();
    return EndpointFollowing::kForOthers;
  }
  if (!HolderIsFresh(now)) {
    fresh_since_.reset();
  }
  const bool trusted = fresh_since_ && now - *fresh_since_ >= kTrustAfter;
  return trusted ? EndpointFollowing::kHolder : EndpointFollowing::kStore;
}

}  // namespace rudderloom
