/// @file
/// Settings of an entry node that routes requests to endpoints listed by the platform.
#ifndef RUDDERLOOM_FLEET_FLEET_SETTINGS_HPP
#define RUDDERLOOM_FLEET_FLEET_SETTINGS_HPP

#include <cstdint>      // for uint32_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <variant>      // for variant

#include "rudderloom/base/json_reader.hpp"  // for JsonErrors
#include "rudderloom/quota/spending.hpp"    // for QuotaBounds

namespace rudderloom {

/// @brief Addresses on which the node listens, each an IP address and a port.
/// @ingroup fleet
struct FleetListeners {
  std::string callers;
  std::string readiness;
  std::string peers;
  std::string metrics;  ///< Empty: no metrics endpoint.
  std::string gateway;  ///< For requests of nodes that are cut off from endpoints; empty: none.
};

/// @brief Time limits and other bounds that the deployment guarantees.
/// @ingroup fleet
struct FleetBounds {
  Duration drain{2'000};        ///< A leaving endpoint gets no new requests after this time.
  Duration grace{8'000};        ///< From the stop signal until the process is killed.
  Duration lease{3'000};        ///< No two nodes send orders to the same endpoint within this time.
  bool checks_fences = false;   ///< Endpoints reject orders with a lower fencing token.
  Duration load_window{5'000};  ///< Window over which started loads are counted.
  double load_overshoot =
      1.1;  ///< Started loads allowed in the window, relative to the weight store's rate.
  double retry_ratio = 0.2;       ///< Retries allowed per request.
  double retry_extra = 50.0;      ///< Additional retries in the window, over all nodes.
  Duration retry_window{10'000};  ///< Sliding window for retries.
  Duration configuration{
      2'000};         ///< A new configuration is in force on all nodes within this time.
  QuotaBounds quota;  ///< How far customers may exceed their limits.
};

/// @brief When requests are held, spaced and refused by the work at endpoints, and what all nodes
/// send to services with few slots is bounded.
/// @ingroup fleet
enum class OverloadControl {
  kOff,
  kOn,
  kAuto,  ///< While callers give up before a model can be loaded (see `RouteTable`).
};

/// @brief Contents of the settings file.
/// @ingroup fleet
struct FleetSettings {
  std::string name;
  std::string availability_zone;
  double processor_share = 1.0;  ///< Fraction of one core that the node may use.
  /// @brief Memory that the node may use, in MB; 0: not known, and what is held for clients and
  /// endpoints that read slowly is not bounded by it.
  std::uint64_t memory_mb = 0;
  OverloadControl overload_control = OverloadControl::kOff;
  bool first_start = false;  ///< The whole system is starting for the first time.
  /// @brief Number of nodes per relay, in fleets of more than one and a half times as many nodes.
  /// With 16, the holder of a fleet of 300 nodes answers about as many relays as each relay answers
  /// nodes.
  std::uint32_t group_size = 16;
  FleetListeners listen;
  std::string store_address;
  Duration store_call_time{1'500};
  Duration store_watch_time{10'000};
  FleetBounds bounds;
  std::uint32_t log_lines_per_second = 100;
};

/// @brief Returns true when a settings file selects this interface.
/// @ingroup fleet
bool IsFleetSettings(std::string_view text);

/// @brief Parses and validates settings; returns all errors, each with its JSON path.
/// @ingroup fleet
std::variant<FleetSettings, JsonErrors> ParseFleetSettings(std::string_view text);

}  // namespace rudderloom

#endif
