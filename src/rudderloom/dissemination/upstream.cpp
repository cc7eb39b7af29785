#include "rudderloom/dissemination/upstream.hpp"

namespace rudderloom {

namespace {

// Relay failures typically last for seconds.
constexpr Duration kRelayAvoidTime{10'000};

}  // namespace

void Upstream::UpdateHolder(const std::string& address, std::uint64_t epoch) {
  if (address.empty() || epoch < epoch_) {
    return;
  }
  if (address != holder_ || epoch > epoch_) {
    candidate_.clear();
  }
  holder_ = address;
  epoch_ = epoch;
  if (holder_ == self_) {
    relay_.clear();
  }
}

void Upstream::ObserveHolder(const std::string& address, std::uint64_t epoch) {
  UpdateHolder(address, epoch);
}

bool Upstream::HandleAnswer(const std::string& from, const HolderDigest& digest, TimePoint now) {
  const bool asked = !from.empty() && from == Address();
  const std::uint64_t known_epoch = epoch_;
  UpdateHolder(digest.holder, digest.epoch);
  const bool valid = digest.is_authoritative && digest.age <= kMaxDigestAge &&
                     (from == digest.holder || (!relay_.empty() && from == relay_));
  if (!asked) {
    return valid;
  }
  if (valid) {
    UseDigest(from, digest);
  } else if (from == relay_) {
    DropRelay(now);
  } else if (epoch_ == known_epoch) {
    TryNextCandidate();
  }
  return valid;
}

void Upstream::UseDigest(const std::string& from, const HolderDigest& digest) {
  standbys_ = digest.standby_addresses;
  if (from == candidate_) {
    candidate_.clear();
  }
  if (!digest.relay.empty() && digest.relay != self_) {
    relay_ = digest.relay;
  }
}

void Upstream::HandleFailure(const std::string& from, TimePoint now) {
  if (!relay_.empty() && from == relay_) {
    DropRelay(now);
  } else if (from == Address()) {
    TryNextCandidate();
  }
}

void Upstream::DropRelay(TimePoint now) {
  avoided_until_[relay_] = now + kRelayAvoidTime;
  relay_.clear();
}

// Rotates through the standbys and the holder, skipping this node.
void Upstream::TryNextCandidate() {
  const std::size_t turns = standbys_.size() + 1;
  for (std::size_t i = 0; i < turns; ++i) {
    const std::size_t turn = next_turn_++ % turns;
    candidate_ = turn < standbys_.size() ? standbys_[turn] : "";
    if (candidate_ != self_) {
      return;
    }
  }
  candidate_.clear();
}

std::string Upstream::Address() const {
  const std::string& holder = candidate_.empty() ? holder_ : candidate_;
  const std::string& address = relay_.empty() ? holder : relay_;
  return address == self_ ? "" : address;
}

std::vector<std::string> Upstream::AvoidedRelays(TimePoint now) {
  std::erase_if(avoided_until_, [&](const auto& entry) { return entry.second <= now; });
  std::vector<std::string> relays;
  for (const auto& [relay, until] : avoided_until_) {
    relays.push_back(relay);
  }
  return relays;
}

}  // namespace rudderloom
