/// @file
/// Chooses the endpoint for a request. Deterministic for a given seed.
#ifndef RUDDERLOOM_ROUTING_ROUTER_HPP
#define RUDDERLOOM_ROUTING_ROUTER_HPP

#include <cstdint>   // for uint64_t
#include <optional>  // for optional
#include <random>    // for mt19937_64
#include <vector>    // for vector

#include "rudderloom/base/clock.hpp"        // for TimePoint
#include "rudderloom/control/snapshot.hpp"  // for Snapshot

namespace rudderloom {

/// @brief Constraints of one request on the choice of an endpoint.
/// @ingroup routing
struct RouteQuery {
  std::uint64_t prefix = 0;  ///< Hash of the prompt's prefix.
  bool is_background =
      false;  ///< Background request: uses only capacity that urgent requests leave.
  std::vector<std::uint32_t> excluded;  ///< Ids of endpoints that failed this request.
};

/// @brief How a request on an endpoint ended, for later choices.
/// @ingroup routing
enum class RouteResult {
  kServed,
  kFailed,
  kRefused,
  kAbandoned,  ///< The caller left or the node stops, which says nothing about the endpoint.
};

/// @brief Tracks this node's requests per endpoint and chooses an endpoint for each request.
/// @ingroup routing
class Router {
 public:
  explicit Router(std::uint64_t seed) : random_(seed) {}

  /// @brief Chooses an endpoint, given as an index into the snapshot; empty if all are full.
  /// Prefers the endpoint that the prefix maps to while its expected wait is close to the others'.
  std::optional<std::uint32_t> Choose(const Snapshot& snapshot,
                                      const ServingSet& set,
                                      const RouteQuery& ask,
                                      TimePoint now);

  /// @brief Records the start of a request.
  void RequestStarted(std::uint32_t id);

  /// @brief Records the end of a request; `first_byte` is the time to its first byte, used to
  /// detect slow endpoints.
  void RequestEnded(std::uint32_t id, RouteResult result, Duration first_byte, TimePoint now);

  /// @brief Number of this node's requests in flight on an endpoint.
  std::uint32_t InFlight(std::uint32_t id) const;

  /// @brief Number of requests that this node may run on the endpoints of a set: the sum of its
  /// even shares.
  std::uint32_t AvailableShare(const Snapshot& snapshot, const ServingSet& set) const;

 private:
  struct Load {
    std::uint32_t in_flight = 0;
    double first_byte_ms = 0.0;  // moving average; 0 before the first sample
    std::uint32_t consecutive_failures = 0;
    std::optional<TimePoint> ejected_until;
  };

  Load& LoadOf(std::uint32_t id);
  bool CanAccept(const Snapshot& snapshot,
                 std::uint32_t index,
                 const RouteQuery& ask,
                 TimePoint now);
  double Cost(const Snapshot& snapshot, std::uint32_t index);
  std::uint32_t RandomIndex(std::uint32_t count);

  std::vector<Load> loads_;
  double mean_first_byte_ms_ = 0.0;  // time to the first byte, moving average over all endpoints
  std::mt19937_64 random_;
};

/// @brief Hashes the first bytes of a prompt, so that requests with a common prefix get the same
/// hash.
/// @ingroup routing
std::uint64_t PrefixHash(std::string_view model, std::string_view prompt);

}  // namespace rudderloom

#endif
