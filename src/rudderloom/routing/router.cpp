#include "rudderloom/routing/router.hpp"

#include <algorithm>                      // for find, min
#include <boost/container_hash/hash.hpp>  // for hash_combine

namespace rudderloom {

namespace {

constexpr std::size_t kPrefixBytes = 256;
constexpr double kSmoothing = 0.2;
// The prefix's preferred endpoint is used while its cost is at most this multiple of the
// alternative's.
constexpr double kMaxAffinityCostRatio = 1.5;
// Beyond its even share, a node uses an endpoint only up to this fraction of its slots, since other
// nodes' requests are known with a delay; see docs/design/routing.md for the figures.
constexpr double kBorrowShare = 0.75;
constexpr double kBackgroundShare = 0.5;
constexpr std::uint32_t kMaxProbes = 16;
constexpr std::uint32_t kFailuresToEject = 3;
constexpr Duration kEjectionTime{2'000};

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

Router::Load& Router::LoadOf(std::uint32_t id) {
  if (loads_.size() <= id) {
    loads_.resize(id + 1);
  }
  return loads_[id];
}

std::uint32_t Router::InFlight(std::uint32_t id) const {
  return id < loads_.size() ? loads_[id].in_flight : 0;
}

std::uint32_t Router::RandomIndex(std::uint32_t count) {
  return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(random_);
}

namespace {

// This node's even share of an endpoint's slots. Capacity that other nodes don't use comes on top.
std::uint32_t EvenShare(const Snapshot& snapshot, const EndpointView& endpoint) {
  return std::max(1U, endpoint.slots / snapshot.live_nodes);
}

}  // namespace

bool Router::CanAccept(const Snapshot& snapshot,
                       std::uint32_t index,
                       const RouteQuery& ask,
                       TimePoint now) {
  const EndpointView& endpoint = snapshot.endpoints[index];
  Load& load = LoadOf(endpoint.id);
  if (load.ejected_until) {
    if (now < *load.ejected_until) {
      return false;
    }
    if (load.in_flight > 0) {
      return false;  // one request at a time probes an ejected endpoint
    }
  }
  if (std::find(ask.excluded.begin(), ask.excluded.end(), endpoint.id) != ask.excluded.end()) {
    return false;
  }
  const std::uint32_t total_in_flight = load.in_flight + endpoint.others_in_flight;
  if (ask.is_background) {
    return total_in_flight < std::max(1.0, endpoint.slots * kBackgroundShare);
  }
  return total_in_flight < endpoint.slots * kBorrowShare ||
         load.in_flight < EvenShare(snapshot, endpoint);
}

// Expected wait up to a common factor: the endpoint's utilization times its slowness relative to
// the mean. An endpoint without samples counts as average.
double Router::Cost(const Snapshot& snapshot, std::uint32_t index) {
  const EndpointView& endpoint = snapshot.endpoints[index];
  const Load& load = LoadOf(endpoint.id);
  const double total_in_flight = load.in_flight + endpoint.others_in_flight + 1.0;
  const double slowness =
      mean_first_byte_ms_ > 0.0 ? load.first_byte_ms / mean_first_byte_ms_ : 1.0;
  return total_in_flight / endpoint.slots * std::max(1.0, slowness);
}

std::optional<std::uint32_t> Router::Choose(const Snapshot& snapshot,
                                            const ServingSet& set,
                                            const RouteQuery& ask,
                                            TimePoint now) {
  const auto count = static_cast<std::uint32_t>(set.endpoints.size());
  if (count == 0) {
    return std::nullopt;
  }
  // Power of two choices: the better of two random endpoints.
  std::optional<std::uint32_t> best;
  for (int i = 0; i < 2; ++i) {
    const std::uint32_t index = set.endpoints[RandomIndex(count)];
    if (CanAccept(snapshot, index, ask, now) &&
        (!best || Cost(snapshot, index) < Cost(snapshot, *best))) {
      best = index;
    }
  }
  // The prefix's preferred endpoint, unless it is clearly worse.
  const std::uint32_t preferred = set.endpoints[set.affinity[ask.prefix % set.affinity.size()]];
  if (CanAccept(snapshot, preferred, ask, now) &&
      (!best || Cost(snapshot, preferred) <= Cost(snapshot, *best) * kMaxAffinityCostRatio)) {
    return preferred;
  }
  if (best) {
    return best;
  }
  // Nearly all endpoints are full: probe a few consecutive ones.
  const std::uint32_t start = RandomIndex(count);
  for (std::uint32_t i = 0; i < std::min(count, kMaxProbes); ++i) {
    const std::uint32_t index = set.endpoints[(start + i) % count];
    if (CanAccept(snapshot, index, ask, now)) {
      return index;
    }
  }
  return std::nullopt;
}

void Router::RequestStarted(std::uint32_t id) {
  ++LoadOf(id).in_flight;
}

void Router::RequestEnded(std::uint32_t id,
                          RouteResult result,
                          Duration first_byte,
                          TimePoint now) {
  Load& load = LoadOf(id);
  load.in_flight -= std::min(1U, load.in_flight);
  if (result == RouteResult::kAbandoned) {
    return;
  }
  if (result == RouteResult::kFailed) {
    ++load.consecutive_failures;
    if (load.consecutive_failures >= kFailuresToEject) {
      load.ejected_until = now + kEjectionTime;
    }
    return;
  }
  load.consecutive_failures = 0;
  load.ejected_until.reset();
  if (result == RouteResult::kServed) {
    const auto sample = static_cast<double>(first_byte.count());
    Smooth(load.first_byte_ms, sample);
    Smooth(mean_first_byte_ms_, sample);
  }
}

std::uint32_t Router::AvailableShare(const Snapshot& snapshot, const ServingSet& set) const {
  std::uint32_t room = 0;
  for (const std::uint32_t index : set.endpoints) {
    const EndpointView& endpoint = snapshot.endpoints[index];
    room += EvenShare(snapshot, endpoint);
  }
  return room;
}

}  // namespace rudderloom
