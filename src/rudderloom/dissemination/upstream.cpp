#include "rudderloom/dissemination/upstream.hpp"

namespace rudderloom {

namespace {

// What ails a relay lasts for seconds.
constexpr Duration kAvoidFor{10'000};

}  // namespace

void Upstream::TakeHolder(const std::string& address, std::uint64_t epoch) {
  if (address.empty() || epoch < epoch_) {
    return;
  }
  if (address != holder_ || epoch > epoch_) {
    tried_.clear();
  }
  holder_ = address;
  epoch_ = epoch;
  if (holder_ == self_) {
    relay_.clear();
  }
}

void Upstream::HolderSeen(const std::string& address, std::uint64_t epoch) {
  TakeHolder(address, epoch);
}

bool Upstream::Answered(const std::string& from, const HolderDigest& digest, TimePoint now) {
  const bool asked = !from.empty() && from == Address();
  const std::uint64_t known = epoch_;
  TakeHolder(digest.holder, digest.epoch);
  const bool counts = digest.holds && digest.age <= kOldestWord &&
                      (from == digest.holder || (!relay_.empty() && from == relay_));
  if (!asked) {
    return counts;
  }
  if (counts) {
    TakeWord(from, digest);
  } else if (from == relay_) {
    LeaveRelay(now);
  } else if (epoch_ == known) {
    TryNext();
  }
  return counts;
}

void Upstream::TakeWord(const std::string& from, const HolderDigest& digest) {
  standbys_ = digest.standby_addresses;
  if (from == tried_) {
    tried_.clear();
  }
  if (!digest.relay.empty() && digest.relay != self_) {
    relay_ = digest.relay;
  }
}

void Upstream::Failed(const std::string& from, TimePoint now) {
  if (!relay_.empty() && from == relay_) {
    LeaveRelay(now);
  } else if (from == Address()) {
    TryNext();
  }
}

void Upstream::LeaveRelay(TimePoint now) {
  avoided_[relay_] = now + kAvoidFor;
  relay_.clear();
}

// The holder and the standbys by turns, whoever is asked now left out.
void Upstream::TryNext() {
  const std::size_t turns = standbys_.size() + 1;
  for (std::size_t i = 0; i < turns; ++i) {
    const std::size_t turn = next_standby_++ % turns;
    tried_ = turn < standbys_.size() ? standbys_[turn] : "";
    if (tried_ != self_) {
      return;
    }
  }
  tried_.clear();
}

std::string Upstream::Address() const {
  const std::string& holder = tried_.empty() ? holder_ : tried_;
  const std::string& address = relay_.empty() ? holder : relay_;
  return address == self_ ? "" : address;
}

std::vector<std::string> Upstream::AvoidedRelays(TimePoint now) {
  std::erase_if(avoided_, [&](const auto& entry) { return entry.second <= now; });
  std::vector<std::string> relays;
  for (const auto& [relay, until] : avoided_) {
    relays.push_back(relay);
  }
  return relays;
}

}  // namespace rudderloom
