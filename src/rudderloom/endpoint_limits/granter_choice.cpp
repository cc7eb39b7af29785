#include "rudderloom/endpoint_limits/granter_choice.hpp"

#include <algorithm>  // for max
#include <cstdint>    // for uint64_t

namespace rudderloom {

namespace {

// More addresses than any fleet has holders and standbys within `kSilentGranterTime`.
constexpr std::size_t kMaxContacts = 256;

// The finalizer of SplitMix64, https://prng.di.unimi.it/splitmix64.c: all nodes, of any build,
// compute the same.
std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

std::uint64_t Rank(const std::string& address, EndpointKey endpoint) {
  constexpr unsigned kKeyBits = 32;
  return Mix((static_cast<std::uint64_t>(KeyOf(address)) << kKeyBits) | endpoint);
}

}  // namespace

std::string ChooseGranter(const std::vector<std::string>& addresses, EndpointKey endpoint) {
  const std::string* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const std::string& address : addresses) {
    const std::uint64_t rank = Rank(address, endpoint);
    if (!address.empty() && (best == nullptr || rank > best_rank)) {
      best = &address;
      best_rank = rank;
    }
  }
  return best == nullptr ? std::string() : *best;
}

void SilentGranters::NoAnswer(const std::string& address, TimePoint asked_at, TimePoint now) {
  std::erase_if(contacts_, [&](const auto& entry) {
    return contacts_.size() >= kMaxContacts && entry.second.silent_until <= now;
  });
  Contact& contact = contacts_[address];
  if (asked_at >= contact.answered_ask_at) {
    contact.silent_until = now + kSilentGranterTime;
  }
}

void SilentGranters::Answered(const std::string& address, TimePoint asked_at) {
  Contact& contact = contacts_[address];
  contact.answered_ask_at = std::max(contact.answered_ask_at, asked_at);
  contact.silent_until = TimePoint();
}

bool SilentGranters::PassedOver(const std::string& address, TimePoint now) const {
  const auto found = contacts_.find(address);
  return found != contacts_.end() && now < found->second.silent_until;
}

}  // namespace rudderloom
