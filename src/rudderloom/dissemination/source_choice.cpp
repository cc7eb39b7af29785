#include "rudderloom/dissemination/source_choice.hpp"

#include <algorithm>  // for max

namespace rudderloom {

namespace {

// Digests must have been fresh for this long before a node gives up its own watch.
constexpr Duration kMinFreshTime{1'500};
// Digest contents are some 600 ms old on arrival. With a lower maximum age, nodes would alternate
// between the digests and the store.
constexpr Duration kMinUsefulMaxAge{700};
// Fractions of the maximum age at which nodes that others rely on call the store themselves. The
// remainder is the time for the answer to reach those others: of 1.6 s, each step has more than the
// 0.25 s between two reports plus a store call. The digest of a healthy holder is younger than half
// the maximum age.
constexpr double kStandbyAgeFraction = 0.6;
constexpr double kRelayAgeFraction = 0.8;
// Fraction of the maximum age over which nodes spread the end of their wait for a first digest.
constexpr double kInitialWaitSpread = 0.5;

Duration ScaleDuration(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

Duration MaxAgeFor(NodeRole duty, Duration max_age) {
  switch (duty) {
    case NodeRole::kStandby:
      return ScaleDuration(max_age, kStandbyAgeFraction);
    case NodeRole::kRelay:
      return ScaleDuration(max_age, kRelayAgeFraction);
    case NodeRole::kNone:
    case NodeRole::kHolder:
      return max_age;
  }
  return max_age;
}

}  // namespace

std::string_view NameOf(FollowMode following) {
  switch (following) {
    case FollowMode::kStore:
      return "store";
    case FollowMode::kStoreOnce:
      return "store_once";
    case FollowMode::kStoreForOthers:
      return "store_for_others";
    case FollowMode::kHolder:
      return "holder";
  }
  return "unknown";
}

SourceSelector::SourceSelector(Duration max_age, StartKind start, double spread)
    : max_age_(max_age),
      start_(start),
      initial_wait_(max_age + ScaleDuration(max_age, spread * kInitialWaitSpread)) {}

std::optional<TimePoint> SourceSelector::ConfirmedAt() const {
  if (!confirmed_at_ || !digest_confirmed_at_) {
    return confirmed_at_ ? confirmed_at_ : digest_confirmed_at_;
  }
  return std::max(*confirmed_at_, *digest_confirmed_at_);
}

void SourceSelector::NotInDigest() {
  may_wait_ = false;
  fresh_since_.reset();
  digest_confirmed_at_.reset();
}

void SourceSelector::RecordDigest(Duration age, TimePoint now) {
  if (!DigestIsFresh(max_age_, now)) {
    fresh_since_.reset();
  }
  digest_confirmed_at_ = now - age;
  if (!fresh_since_ && DigestIsFresh(max_age_, now)) {
    fresh_since_ = now;
  }
}

bool SourceSelector::DigestIsFresh(Duration max_age, TimePoint now) const {
  return digest_confirmed_at_ && now - *digest_confirmed_at_ <= max_age;
}

// True from the start until digests have been fresh for long enough or failed to arrive in time.
bool SourceSelector::WaitsForFirstDigest(TimePoint now) {
  started_at_ = started_at_.value_or(now);
  const bool fresh = DigestIsFresh(max_age_, now);
  may_wait_ = may_wait_ && (fresh || now - *started_at_ < initial_wait_);
  return may_wait_;
}

FollowMode SourceSelector::Choose(NodeRole duty, TimePoint now) {
  if (max_age_ < kMinUsefulMaxAge) {
    return FollowMode::kStore;
  }
  if (duty == NodeRole::kHolder) {
    fresh_since_.reset();
    may_wait_ = false;
    return FollowMode::kStoreForOthers;
  }
  if (!DigestIsFresh(MaxAgeFor(duty, max_age_), now)) {
    fresh_since_.reset();
  }
  if (fresh_since_ && now - *fresh_since_ >= kMinFreshTime) {
    may_wait_ = false;
    return FollowMode::kHolder;
  }
  if (WaitsForFirstDigest(now)) {
    return start_ == StartKind::kFirst ? FollowMode::kHolder : FollowMode::kStoreOnce;
  }
  return duty == NodeRole::kNone ? FollowMode::kStore : FollowMode::kStoreForOthers;
}

}  // namespace rudderloom
