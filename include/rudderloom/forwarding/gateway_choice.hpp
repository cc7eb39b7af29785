/// @file
/// Chooses the node through which a request is sent when this node can't reach its endpoint.
#ifndef RUDDERLOOM_FORWARDING_GATEWAY_CHOICE_HPP
#define RUDDERLOOM_FORWARDING_GATEWAY_CHOICE_HPP

#include <cstdint>   // for uint32_t
#include <map>       // for map
#include <optional>  // for optional
#include <random>    // for mt19937_64
#include <set>       // for set
#include <string>    // for string

#include "rudderloom/base/clock.hpp"     // for TimePoint
#include "rudderloom/fleet/gateway.hpp"  // for GatewayList

namespace rudderloom {

/// @brief Spreads requests over gateways and avoids those that failed. Does no I/O; time is passed
/// in.
/// @ingroup forwarding
class GatewayChoice {
 public:
  /// @brief Chooses the one with fewer requests of this node among two random gateways. Those that
  /// failed recently are only used if there is no other.
  /// @param excluded Addresses that are not chosen.
  std::optional<Gateway> Choose(const GatewayList& gateways,
                                const std::set<std::string>& excluded,
                                std::mt19937_64& random,
                                TimePoint now) const;

  /// @brief Records that a request is sent through the gateway.
  void Started(const std::string& address) { ++in_flight_[address]; }

  /// @brief Records that the request has ended.
  void Ended(const std::string& address);

  /// @brief Records that the gateway did not answer, or could not forward a request.
  void Failed(const std::string& address, TimePoint now);

  /// @brief Drops expired entries.
  void Trim(TimePoint now);

 private:
  std::map<std::string, std::uint32_t> in_flight_;  // by address
  std::map<std::string, TimePoint> avoided_until_;  // by address
};

}  // namespace rudderloom

#endif
