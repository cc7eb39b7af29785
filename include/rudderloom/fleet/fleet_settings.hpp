/// @file
/// Settings of an entry node that serves routes to endpoints which the platform lists.
#ifndef RUDDERLOOM_FLEET_FLEET_SETTINGS_HPP
#define RUDDERLOOM_FLEET_FLEET_SETTINGS_HPP

#include <cstdint>      // for uint32_t
#include <string>       // for string
#include <string_view>  // for string_view
#include <variant>      // for variant

#include "rudderloom/base/json_reader.hpp"  // for JsonErrors
#include "rudderloom/quota/spending.hpp"    // for QuotaBounds

namespace rudderloom {

/// @brief Addresses that the node listens on, each an IP number and a port.
/// @ingroup fleet
struct FleetListeners {
  std::string callers;
  std::string readiness;
  std::string peers;
  std::string metrics;  ///< Empty: metrics are not served.
};

/// @brief How long things may take, as the deployment promises it.
/// @ingroup fleet
struct FleetBounds {
  Duration drain{2'000};          ///< A leaving endpoint gets no new request later than this.
  Duration grace{8'000};          ///< From the signal to stop until the process is killed.
  Duration lease{3'000};          ///< Two nodes never order one endpoint within this time.
  bool checks_fences = false;     ///< Endpoints refuse orders with a lower token.
  Duration load_window{5'000};    ///< In which starts of loads are counted.
  double load_overshoot = 1.1;    ///< Over the weight store's rate, within the window.
  double retry_ratio = 0.2;       ///< Repeats allowed for each request.
  double retry_extra = 50.0;      ///< Beyond, over all nodes, within the window.
  Duration retry_window{10'000};  ///< Sliding.
  Duration configuration{2'000};  ///< A configuration is in force everywhere within this.
  QuotaBounds quota;              ///< How far customers may go over their limits.
};

/// @brief The whole settings file.
/// @ingroup fleet
struct FleetSettings {
  std::string name;
  std::string availability_zone;
  double processor_share = 1.0;  ///< Of one core, that the node may use.
  bool first_start = false;      ///< The whole system starts for the first time.
  /// @brief Nodes that one relay stands for in a fleet of more than one and a half times as many.
  /// Sixteen keep the number of relays of 300 nodes, which the holder answers, close to the number
  /// of nodes that each relay answers.
  std::uint32_t group_size = 16;
  FleetListeners listen;
  std::string store_address;
  Duration store_call_time{1'500};
  Duration store_watch_time{10'000};
  FleetBounds bounds;
  std::uint32_t log_lines_per_second = 100;
};

/// @brief True when a settings file asks for this interface.
/// @ingroup fleet
bool AsksForFleet(std::string_view text);

/// @brief Reads and checks settings; all mistakes are given, each with its JSON path.
/// @ingroup fleet
std::variant<FleetSettings, JsonErrors> ParseFleetSettings(std::string_view text);

}  // namespace rudderloom

#endif
