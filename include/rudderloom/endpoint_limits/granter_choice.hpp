/// @file
/// Chooses the node that grants requests by the work in flight at an endpoint.
#ifndef RUDDERLOOM_ENDPOINT_LIMITS_GRANTER_CHOICE_HPP
#define RUDDERLOOM_ENDPOINT_LIMITS_GRANTER_CHOICE_HPP

#include <map>     // for map
#include <string>  // for string
#include <vector>  // for vector

#include "rudderloom/base/clock.hpp"          // for TimePoint
#include "rudderloom/fleet/endpoint_key.hpp"  // for EndpointKey

namespace rudderloom {

/// @brief Returns the node that rendezvous hashing chooses for the endpoint, the same on all nodes
/// that pass the same addresses in any order; empty if there are none. Empty addresses are ignored.
/// @ingroup endpoint_limits
std::string ChooseGranter(const std::vector<std::string>& addresses, EndpointKey endpoint);

/// @brief A granting node that gave no answer is passed over for this long: longer than most
/// restarts of a node take, and short against the time in which the fleet replaces a holder or
/// standby that ended.
/// @ingroup endpoint_limits
constexpr Duration kSilentGranterTime{3'000};

/// @brief Granting nodes that gave this node no answer lately. Owned by the traffic thread; time is
/// passed in.
/// @ingroup endpoint_limits
class SilentGranters {
 public:
  /// @brief Records that an ask at `asked_at` was not answered. Ignored if the node has answered a
  /// later ask.
  void NoAnswer(const std::string& address, TimePoint asked_at, TimePoint now);

  /// @brief Records an answer to an ask at `asked_at`.
  void Answered(const std::string& address, TimePoint asked_at);

  /// @brief Returns true while the node must not be asked.
  bool PassedOver(const std::string& address, TimePoint now) const;

 private:
  struct Contact {
    TimePoint answered_ask_at;  // when the latest answered ask was made
    TimePoint silent_until;
  };

  std::map<std::string, Contact> contacts_;
};

}  // namespace rudderloom

#endif
