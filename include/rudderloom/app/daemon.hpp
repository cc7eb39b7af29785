/// @file
/// One entry node as a process: wires the slices together and runs until a planned stop.
#ifndef RUDDERLOOM_APP_DAEMON_HPP
#define RUDDERLOOM_APP_DAEMON_HPP

#include "rudderloom/settings/settings.hpp"  // for Settings

namespace rudderloom {

/// @brief Runs an entry node; returns after SIGTERM or SIGINT once nothing is in flight.
/// Prints `ready callers=ADDRESS peers=ADDRESS` on standard output once it listens.
/// @return The exit status: 0 after a clean stop, 1 when requests had to be cut.
/// @ingroup app
int RunDaemon(const Settings& settings);

}  // namespace rudderloom

#endif
