#include "rudderloom/routing/router.hpp"

#include <algorithm>                      // for find, min
#include <boost/container_hash/hash.hpp>  // for hash_combine

namespace rudderloom {

namespace {

constexpr std::size_t kPrefixBytes = 256;
constexpr double kSmoothing = 0.2;
// The prefix's own endpoint is kept while it costs at most this much more than another.
constexpr double kAffinityBound = 1.5;
// Beyond its even share a node uses an endpoint only up to this much of its slots, since it hears
// of the others' requests late; see docs/design/routing.md for the figures.
constexpr double kBorrowShare = 0.75;
constexpr double kFillsShare = 0.5;
constexpr std::uint32_t kProbes = 16;
constexpr std::uint32_t kFailuresToClose = 3;
constexpr Duration kClosedFor{2'000};

}  // namespace

namespace {

void Smooth(double& value, double sample) {
  value = value == 0.0 ? sample : value + kSmoothing * (sample - value);
}

}  // namespace

std::uint64_t PrefixHash(std::string_view model, std::string_view prompt) {
  std::size_t seed = boost::hash_range(model.begin(), model.end());
  const std::string_view prefix = prompt.substr(0, kPrefixBytes);
  boost::hash_combine(seed, boost::hash_range(prefix.begin(), prefix.end()));
  return seed;
}

Router::Load& Router::At(std::uint32_t id) {
  if (loads_.size() <= id) {
    loads_.resize(id + 1);
  }
  return loads_[id];
}

std::uint32_t Router::InFlight(std::uint32_t id) const {
  return id < loads_.size() ? loads_[id].in_flight : 0;
}

std::uint32_t Router::Draw(std::uint32_t count) {
  return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(random_);
}

namespace {

// This node's even share of an endpoint; what the others leave comes on top.
std::uint32_t EvenShare(const Snapshot& snapshot, const EndpointView& endpoint) {
  return std::max(1U, endpoint.slots / snapshot.live_nodes);
}

}  // namespace

bool Router::MayTake(const Snapshot& snapshot,
                     std::uint32_t index,
                     const RouteAsk& ask,
                     TimePoint now) {
  const EndpointView& endpoint = snapshot.endpoints[index];
  Load& load = At(endpoint.id);
  if (load.closed_until) {
    if (now < *load.closed_until) {
      return false;
    }
    if (load.in_flight > 0) {
      return false;  // one request at a time tries a closed endpoint
    }
  }
  if (std::find(ask.excluded.begin(), ask.excluded.end(), endpoint.id) != ask.excluded.end()) {
    return false;
  }
  const std::uint32_t all = load.in_flight + endpoint.others_in_flight;
  if (ask.fills) {
    return all < std::max(1.0, endpoint.slots * kFillsShare);
  }
  return all < endpoint.slots * kBorrowShare || load.in_flight < EvenShare(snapshot, endpoint);
}

// Expected wait, up to a factor common to all: how full it is, times how much slower than usual
// it has been. One that was never tried counts as usual.
double Router::Cost(const Snapshot& snapshot, std::uint32_t index) {
  const EndpointView& endpoint = snapshot.endpoints[index];
  const Load& load = At(endpoint.id);
  const double all = load.in_flight + endpoint.others_in_flight + 1.0;
  const double slowness = usual_ms_ > 0.0 ? load.first_byte_ms / usual_ms_ : 1.0;
  return all / endpoint.slots * std::max(1.0, slowness);
}

std::optional<std::uint32_t> Router::Choose(const Snapshot& snapshot,
                                            const ServingSet& set,
                                            const RouteAsk& ask,
                                            TimePoint now) {
  const auto count = static_cast<std::uint32_t>(set.endpoints.size());
  if (count == 0) {
    return std::nullopt;
  }
  // The better of two random ones.
  std::optional<std::uint32_t> best;
  for (int i = 0; i < 2; ++i) {
    const std::uint32_t index = set.endpoints[Draw(count)];
    if (MayTake(snapshot, index, ask, now) &&
        (!best || Cost(snapshot, index) < Cost(snapshot, *best))) {
      best = index;
    }
  }
  // The prefix's own, unless it is clearly the worse.
  const std::uint32_t own = set.endpoints[set.affinity[ask.prefix % set.affinity.size()]];
  if (MayTake(snapshot, own, ask, now) &&
      (!best || Cost(snapshot, own) <= Cost(snapshot, *best) * kAffinityBound)) {
    return own;
  }
  if (best) {
    return best;
  }
  // Nearly all are full: look at a few in a row.
  const std::uint32_t start = Draw(count);
  for (std::uint32_t i = 0; i < std::min(count, kProbes); ++i) {
    const std::uint32_t index = set.endpoints[(start + i) % count];
    if (MayTake(snapshot, index, ask, now)) {
      return index;
    }
  }
  return std::nullopt;
}

void Router::Started(std::uint32_t id) {
  ++At(id).in_flight;
}

void Router::Ended(std::uint32_t id, RouteResult result, Duration first_byte, TimePoint now) {
  Load& load = At(id);
  load.in_flight -= std::min(1U, load.in_flight);
  if (result == RouteResult::kFailed) {
    ++load.failures;
    if (load.failures >= kFailuresToClose) {
      load.closed_until = now + kClosedFor;
    }
    return;
  }
  load.failures = 0;
  load.closed_until.reset();
  if (result == RouteResult::kServed) {
    const auto sample = static_cast<double>(first_byte.count());
    Smooth(load.first_byte_ms, sample);
    Smooth(usual_ms_, sample);
  }
}

std::uint32_t Router::Room(const Snapshot& snapshot, const ServingSet& set) const {
  std::uint32_t room = 0;
  for (const std::uint32_t index : set.endpoints) {
    const EndpointView& endpoint = snapshot.endpoints[index];
    room += EvenShare(snapshot, endpoint);
  }
  return room;
}

}  // namespace rudderloom
