/** @file daemon_func.h Running a daemon. */

#pragma once

#include "settings/settings_type.h"

namespace cicadamux
{

/**
 * Runs a daemon until SIGTERM or SIGINT, then stops it gracefully.
 * @return The process's exit code: 0 after a graceful stop.
 * @throws cicadamux::error if it can't start, such as when an address can't be bound.
 */
int runDaemon(const daemon_settings &settings);

} // namespace cicadamux
