/// @file
/// The process of an entry node that routes requests to the platform's endpoints.
#ifndef RUDDERLOOM_APP_FLEET_DAEMON_HPP
#define RUDDERLOOM_APP_FLEET_DAEMON_HPP

#include <string>  // for string

#include "rudderloom/fleet/fleet_settings.hpp"  // for FleetSettings

namespace rudderloom {

/// @brief Runs until SIGTERM or SIGINT, then until no request is in flight or the grace period is
/// about to end.
/// @param settings_file Read again on SIGHUP.
/// @return The exit status: 0 after a clean stop, 1 when requests were aborted.
/// @ingroup app
int RunFleetDaemon(const FleetSettings& settings, const std::string& settings_file);

}  // namespace rudderloom

#endif
