/// @file
/// The process of one entry node: connects its components and runs until a graceful stop.
#ifndef RUDDERLOOM_APP_DAEMON_HPP
#define RUDDERLOOM_APP_DAEMON_HPP

#include "rudderloom/settings/settings.hpp"  // for Settings

namespace rudderloom {

/// @brief Runs an entry node; returns after SIGTERM or SIGINT, once no request is in
/// flight or the stop time is up.
/// Prints `ready callers=ADDRESS peers=ADDRESS` to standard output once it listens.
/// @return The exit status: 0 after a clean stop, 1 when requests were aborted.
/// @ingroup app
int RunDaemon(const Settings& settings);

}  // namespace rudderloom

#endif
