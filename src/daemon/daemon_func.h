/** @file daemon_func.h Main function of a daemon. */

#pragma once

#include "settings/settings_type.h"

namespace cicadamux
{

/**
 * Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.
 * @return The process's exit code: 0 after a graceful stop.
 * @throws cicadamux::error if it cannot start, for example if an address cannot be bound.
 */
int runDaemon(const daemon_settings &settings);

} // namespace cicadamux
